"""Decides whether a request is admitted to the target of this box.

Only the daemon beside a target can reach it. So a request that is rejected here has
not run, and what must hold for every run (the target takes work, it is the incarnation
that was chosen, time is left, the load and the retries stay in bounds) is checked here
alone, whatever the other daemons believe.

`decide` is the whole decision; the checks are made in the order in which they stand.
It owns no state. The last two checks count what they are asked, in the shedding control
and the retry budget, so they come after all checks that are free of effects.
"""

from __future__ import annotations

import attrs

from ferrydeck.mesh import messages
from ferrydeck.mesh.inbound import load_shedding, retry_budget

MIN_LEFT_S = 0.01
"""A request with less time left than this is not started, seconds: its caller would be
gone before an answer could reach it."""
STALL_S = 1.0
"""A target that has runs and has answered nothing for this long is stalled, seconds,
where its heartbeats are missing as well."""
MISSED_HEARTBEATS = 2
"""Heartbeat intervals without a heartbeat after which a silent target is stalled."""


@attrs.define(kw_only=True)
class Inputs:
    """What is known of a request, and of the target, as the request arrives.

    Nothing changes it. It is not frozen, since one is made for each request: a frozen
    one took 3.0 microseconds to make, and this one 1.1.
    """

    forward: messages.Forward
    left_s: float
    """Time until its caller stops waiting, seconds."""
    blocked: bool
    """Whether targets have crashed under it too often."""
    open: bool
    """Whether the target takes work, and this daemon is not stopping."""
    service: str
    """The service of the target."""
    incarnation: str
    """The incarnation of the target that takes work."""
    silent_s: float
    """How long the target has runs and has answered nothing, seconds."""
    heartbeat_age_s: float
    """Time since its last heartbeat that said it is ready, seconds; 0 if none came."""
    heartbeat_s: float
    """Agreed interval of its heartbeats, seconds."""


@attrs.define(kw_only=True, frozen=True)
class Admitted:
    """The request may run, at once or after it has waited for a slot."""


@attrs.define(kw_only=True, frozen=True)
class Rejected:
    """The request does not run here."""

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
    """Return whether a request is admitted, or why it is rejected."""
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
    if forward.lowest and shedder.sheds(now, forward):
        return Rejected(reason=messages.Reason.SHED)
    if forward.retry is not messages.Retry.MAY_HAVE_RUN:
        return ADMITTED
    makes_calls = shedder.costs.makes_calls(forward.route)
    if not retries.grant_rerun(now, makes_calls=makes_calls):
        return Rejected(reason=messages.Reason.RETRY_BUDGET)
    return ADMITTED


def expired(left_s: float) -> bool:
    """Return whether too little time is left to start a request."""
    return left_s < MIN_LEFT_S


def _stalled(inputs: Inputs) -> bool:
    """Return whether the target has stopped answering and sending heartbeats.

    Without any heartbeat a stalled target looks like a slow one.
    """
    late_s = MISSED_HEARTBEATS * inputs.heartbeat_s
    return inputs.silent_s > STALL_S and inputs.heartbeat_age_s > late_s
