"""Whether a request is sent again: what follows when an attempt brings no good answer.

Owns the limits on attempts and the rules below, one function for each way in which an
attempt fails. Each takes how far the request has come (`Progress`) and returns the next
step. The inbound side that a retry reaches decides further whether its retry budget
grants it; `outbound` carries the steps out.
"""

from __future__ import annotations

import attrs

from ferrydeck.mesh import messages

MAX_SENDS = 5
"""Daemons that one request is sent to at most, those that reject it included."""
MAX_ATTEMPTS = 8
"""Targets that are asked to run one request at most where they reject it: of requests
to targets that reject half, one in 250 is given up."""
LEAST_LEFT_S = 0.03
"""A request with less time left than this is not sent again, seconds."""
SEARCH_S = 0.15
"""How long a request of the lowest priority looks for an open target, seconds: one that
opens again after a restart announces it within a tenth. Longer waits are mostly in
vain, since the last target of a service in reach has gone."""
URGENT_SEARCH_S = 0.4
"""The same for requests of other priorities, seconds: a daemon restarts in that
time."""
SEARCH_PAUSE_S = 0.03
"""Pause before a target is looked for again where none was open, seconds."""

FINAL_REJECTIONS = frozenset(
    {messages.Reason.SHED, messages.Reason.RETRY_BUDGET, messages.Reason.BLOCKED}
)
"""Rejections of one daemon that every other one would give as well."""

MAYBE_RUN_STATUS = 502
LATE_STATUS = 504


@attrs.define(kw_only=True, frozen=True)
class Progress:
    """How far a request has come; times are on this daemon's clock, seconds."""

    now: float
    started: float
    give_up_at: float
    """Until when a target is looked for."""
    deadline: float
    retryable: bool
    """Whether it may run more than once."""
    max_attempts: int
    """Targets that may be asked, by its route."""
    attempts: int
    """Targets that were asked."""
    sends: int
    """Daemons that it was sent to."""
    may_have_run: bool
    streaming: bool
    """Whether its caller has a part of the answer."""
    lowest: bool
    """Whether it is a caller's own request of the priority that is shed first."""

    @property
    def daemon_rejections(self) -> int:
        """How many daemons rejected it without asking their targets."""
        return self.sends - self.attempts


@attrs.define(kw_only=True, frozen=True)
class Retry:
    """Have another target run a request that may have run."""

    reason: str


@attrs.define(kw_only=True, frozen=True)
class TryElsewhere:
    """Send a request that has not run to another daemon."""


@attrs.define(kw_only=True, frozen=True)
class SearchAgain:
    """Look for a target again after `SEARCH_PAUSE_S`."""


@attrs.define(kw_only=True, frozen=True)
class Wait:
    """Leave the attempt that is out alone."""


@attrs.define(kw_only=True, frozen=True)
class Deliver:
    """Give the caller the target's answer."""


@attrs.define(kw_only=True, frozen=True)
class Reject:
    """Answer that the request was not run, and when to come back."""

    reason: str


@attrs.define(kw_only=True, frozen=True)
class GiveUp:
    """Answer that it is not known whether the request has run."""

    status: int
    reason: str


@attrs.define(kw_only=True, frozen=True)
class Abort:
    """End the caller's connection in the middle of an answer."""

    reason: str


Step = Retry | TryElsewhere | SearchAgain | Wait | Deliver | Reject | GiveUp | Abort


def enough_time(now: float, deadline: float) -> bool:
    """Return whether a request has time for an attempt."""
    return deadline - now >= LEAST_LEFT_S


def after_failed_answer(
    progress: Progress, *, outlier: bool, whole: bool
) -> Retry | Deliver:
    """Decide after a target's answer that states a failure of its own.

    `outlier` says whether the target fails more often than others: where all fail
    alike, a retry would only add to the load. `whole` says whether the answer is in
    one piece, so that none of it has gone to the caller.
    """
    if outlier and whole and _may_retry(progress):
        return Retry(reason="failed")
    return Deliver()


def after_loss(progress: Progress, reason: str) -> Retry | GiveUp | Abort:
    """Decide after an attempt that may have run and of which no answer will come."""
    if progress.streaming:
        return Abort(reason=reason)
    if _may_retry(progress):
        return Retry(reason=reason)
    return GiveUp(status=MAYBE_RUN_STATUS, reason=reason)


def after_silence(progress: Progress) -> Retry | Wait:
    """Decide while an attempt is at a silent box (`failure_detector.is_silent`)."""
    if not progress.streaming and _may_retry(progress):
        return Retry(reason="silent")
    return Wait()


def after_daemon_rejection(
    progress: Progress, reason: str
) -> TryElsewhere | Reject | GiveUp:
    """Decide after a daemon rejected a request without asking its target."""
    if reason in FINAL_REJECTIONS or progress.daemon_rejections >= MAX_SENDS:
        return unserved(progress, reason)
    if progress.now >= progress.give_up_at:
        return unserved(progress, reason)
    return TryElsewhere()


def after_target_rejection(
    progress: Progress, reason: str, *, retry_granted: bool
) -> TryElsewhere | Reject | GiveUp:
    """Decide after a target rejected a request.

    `retry_granted` says whether its daemon's retry budget grants a further attempt.
    """
    if not retry_granted or progress.attempts >= MAX_ATTEMPTS:
        return unserved(progress, reason)
    if not enough_time(progress.now, progress.deadline):
        return unserved(progress, reason)
    return TryElsewhere()


def without_target(progress: Progress) -> SearchAgain | Reject | GiveUp:
    """Decide where no target is open: search on while a rejection is still early."""
    search_s = SEARCH_S if progress.lowest else URGENT_SEARCH_S
    ends = min(progress.give_up_at, progress.started + search_s)
    again_at = progress.now + SEARCH_PAUSE_S
    if again_at < ends and progress.daemon_rejections < MAX_SENDS:
        return SearchAgain()
    return unserved(progress, messages.Reason.NO_TARGET)


def without_time(progress: Progress) -> Reject | GiveUp:
    """Decide where too little time is left for an attempt."""
    if progress.may_have_run:
        return GiveUp(status=LATE_STATUS, reason=messages.Reason.TIMEOUT)
    return Reject(reason=messages.Reason.EXPIRED)


def at_deadline(progress: Progress, *, sent: bool) -> Reject | GiveUp:
    """Decide as the caller's time is over; `sent` says whether an attempt is out."""
    if sent or progress.may_have_run:
        return GiveUp(status=LATE_STATUS, reason=messages.Reason.TIMEOUT)
    return Reject(reason=messages.Reason.TIMEOUT)


def unserved(progress: Progress, reason: str) -> Reject | GiveUp:
    """Decide how a request ends that is not sent again and has no answer."""
    if progress.may_have_run:
        return GiveUp(status=MAYBE_RUN_STATUS, reason=reason)
    return Reject(reason=reason)


def _may_retry(progress: Progress) -> bool:
    """Return whether a request that may have run may run at another target."""
    if not progress.retryable or progress.attempts >= progress.max_attempts:
        return False
    if progress.sends >= MAX_SENDS:
        return False
    return enough_time(progress.now, progress.deadline)
