"""Admission control: decides whether a request may run at the local target.

A target is reached only through the daemon of its box. So a request that is rejected
here has not run, and all conditions of a run are checked here, regardless of the state
that other daemons assume: the target accepts requests, it is the chosen incarnation,
time is left, and load and retries are within their limits.

`decide` owns no state. The last two checks count requests, in the shedding control and
in the retry budget, so they follow the checks without side effects.
"""

from __future__ import annotations

import attrs

from ferrydeck.mesh import messages
from ferrydeck.mesh.inbound import load_shedding, retry_budget

MIN_REMAINING_S = 0.01
"""Remaining time below which a request is not started, seconds: its answer would be
too late."""
STALL_TIMEOUT_S = 1.0
"""Time without an answer to any run after which a target is stalled, seconds, if its
heartbeats are missing as well."""
MAX_MISSED_HEARTBEATS = 2
"""Heartbeat intervals without a heartbeat after which a target may be stalled."""


@attrs.define(kw_only=True)
class Inputs:
    """Inputs of the admission decision.

    It is never modified, but not frozen, since that slows down its construction.
    """

    forward: messages.Forward
    left_s: float
    """Time until the deadline of the request, seconds."""
    blocked: bool
    """Whether the request is blocked, since it crashed too many targets."""
    open: bool
    """Whether the target accepts requests, and this daemon is not stopping."""
    service: str
    """Service of the target."""
    incarnation: str
    """Incarnation of the target that accepts requests."""
    silent_s: float
    """Time for which the target has had runs without answering any, seconds."""
    heartbeat_age_s: float
    """Time since its last report that it is ready, seconds; 0 if none."""
    heartbeat_s: float
    """Heartbeat interval, seconds."""


@attrs.define(kw_only=True, frozen=True)
class Admitted:
    """The request may run, possibly after it has been queued."""


@attrs.define(kw_only=True, frozen=True)
class Rejected:
    """The request will not run here."""

    reason: messages.Reason


Result = Admitted | Rejected
ADMITTED = Admitted()


def decide(
    inputs: Inputs,
    now: float,
    *,
    shedder: load_shedding.LoadShedder,
    retries: retry_budget.RetryBudget,
    notice_stalled: bool,
) -> Result:
    """Admit a request or reject it with a reason."""
    forward = inputs.forward
    if inputs.blocked:
        return Rejected(reason=messages.Reason.BLOCKED)
    if expired(inputs.left_s):
        return Rejected(reason=messages.Reason.EXPIRED)
    if not inputs.open:
        return Rejected(reason=messages.Reason.CLOSED)
    if forward.service != inputs.service:
        return Rejected(reason=messages.Reason.WRONG_INCARNATION)
    if forward.incarnation != inputs.incarnation:
        return Rejected(reason=messages.Reason.WRONG_INCARNATION)
    if notice_stalled and _stalled(inputs):
        return Rejected(reason=messages.Reason.CLOSED)
    if forward.sheddable and shedder.should_shed(now, forward):
        return Rejected(reason=messages.Reason.SHED)
    if forward.retry is not messages.Retry.MAY_HAVE_RUN:
        return ADMITTED
    makes_calls = shedder.costs.makes_calls(forward.route)
    if not retries.grant_rerun(now, makes_calls=makes_calls):
        return Rejected(reason=messages.Reason.RETRY_BUDGET)
    return ADMITTED


def expired(left_s: float) -> bool:
    """Return whether the remaining time is too short to start a request."""
    return left_s < MIN_REMAINING_S


def _stalled(inputs: Inputs) -> bool:
    """Return whether the target has stopped answering and sending heartbeats.

    A target that has never sent a heartbeat is not distinguishable from a slow one.
    """
    late_s = MAX_MISSED_HEARTBEATS * inputs.heartbeat_s
    return inputs.silent_s > STALL_TIMEOUT_S and inputs.heartbeat_age_s > late_s
