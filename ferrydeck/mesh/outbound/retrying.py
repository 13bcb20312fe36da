"""Retry decisions: what to do when an attempt fails.

There is one pure function for each way in which an attempt can fail. It takes the state
of the request (`Progress`) and returns the next step, which `outbound` executes. The
daemon that receives a retry additionally checks it against its retry budget.
"""

from __future__ import annotations

import attrs

from ferrydeck.mesh import messages

MAX_SENDS = 5
"""Maximum number of daemons a request is sent to, rejections included."""
MAX_REJECTED_ATTEMPTS = 8
"""Maximum number of targets a request is offered to while they reject it. If targets
reject half of all requests, one in 250 is given up."""
MIN_ATTEMPT_S = 0.03
"""Minimum time before the deadline for another attempt, seconds."""
SHEDDABLE_SEARCH_TIMEOUT_S = 0.15
"""How long a sheddable request searches for an available target, seconds. A target that
has restarted announces itself within 0.1 s; longer searches are mostly in vain, since
the last target of the service in reach has gone."""
SEARCH_TIMEOUT_S = 0.4
"""How long other requests search, seconds; longer than a daemon restart."""
SEARCH_INTERVAL_S = 0.03
"""Interval between searches for an available target, seconds."""

FINAL_REJECTIONS = frozenset(
    {messages.Reason.SHED, messages.Reason.RETRY_BUDGET, messages.Reason.BLOCKED}
)
"""Rejection reasons of a daemon that apply at every other daemon too."""

BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504


@attrs.define(kw_only=True, frozen=True)
class Progress:
    """State of a request that retry decisions depend on; times in seconds."""

    now: float
    started: float
    give_up_at: float
    """When the search for an available target ends."""
    deadline: float
    retryable: bool
    """Whether it may run more than once."""
    max_attempts: int
    """Limit on `attempts` that its route sets."""
    attempts: int
    """Number of targets it was offered to."""
    sends: int
    """Number of daemons it was sent to."""
    may_have_run: bool
    streaming: bool
    """Whether the caller has received part of the response."""
    sheddable: bool
    """Whether it has the priority that is shed first and no parent request."""

    @property
    def daemon_rejections(self) -> int:
        """Number of daemons that rejected it without offering it to their target."""
        return self.sends - self.attempts


@attrs.define(kw_only=True, frozen=True)
class Retry:
    """Retry a request that may have run at another target."""

    reason: str


@attrs.define(kw_only=True, frozen=True)
class TryElsewhere:
    """Send a request that has not run to another daemon."""


@attrs.define(kw_only=True, frozen=True)
class SearchAgain:
    """Repeat the search for a target after `SEARCH_INTERVAL_S`."""


@attrs.define(kw_only=True, frozen=True)
class Wait:
    """Keep waiting for the current attempt."""


@attrs.define(kw_only=True, frozen=True)
class Deliver:
    """Return the target's response to the caller."""


@attrs.define(kw_only=True, frozen=True)
class Reject:
    """Respond that the request was not run, with a `Retry-After`."""

    reason: str


@attrs.define(kw_only=True, frozen=True)
class GiveUp:
    """Respond that the request may or may not have run."""

    status: int
    reason: str


@attrs.define(kw_only=True, frozen=True)
class Abort:
    """Close the caller's connection in the middle of a response."""

    reason: str


Step = Retry | TryElsewhere | SearchAgain | Wait | Deliver | Reject | GiveUp | Abort


def has_time_for_attempt(now: float, deadline: float) -> bool:
    """Return whether there is time for an attempt before the deadline."""
    return deadline - now >= MIN_ATTEMPT_S


def after_failed_answer(
    progress: Progress, *, outlier: bool, complete: bool
) -> Retry | Deliver:
    """Decide after a target responded with a server error.

    `outlier` is whether the target fails more often than others: if all fail alike, a
    retry only adds load. `complete` is whether the response has arrived completely, so
    that none of it was sent to the caller.
    """
    if outlier and complete and _may_retry(progress):
        return Retry(reason="failed")
    return Deliver()


def after_lost_attempt(progress: Progress, reason: str) -> Retry | GiveUp | Abort:
    """Decide after an attempt that may have run but will not be answered."""
    if progress.streaming:
        return Abort(reason=reason)
    if _may_retry(progress):
        return Retry(reason=reason)
    return GiveUp(status=BAD_GATEWAY, reason=reason)


def after_silence(progress: Progress) -> Retry | Wait:
    """Decide while an attempt is at a silent box (`failure_detector.is_silent`)."""
    if not progress.streaming and _may_retry(progress):
        return Retry(reason="silent")
    return Wait()


def after_daemon_rejection(
    progress: Progress, reason: str
) -> TryElsewhere | Reject | GiveUp:
    """Decide after a daemon rejected a request on behalf of its target."""
    if reason in FINAL_REJECTIONS or progress.daemon_rejections >= MAX_SENDS:
        return end_unanswered(progress, reason)
    if progress.now >= progress.give_up_at:
        return end_unanswered(progress, reason)
    return TryElsewhere()


def after_target_rejection(
    progress: Progress, reason: str, *, retry_granted: bool
) -> TryElsewhere | Reject | GiveUp:
    """Decide after a target rejected a request.

    `retry_granted` is whether the retry budget of its daemon allows another attempt.
    """
    if not retry_granted or progress.attempts >= MAX_REJECTED_ATTEMPTS:
        return end_unanswered(progress, reason)
    if not has_time_for_attempt(progress.now, progress.deadline):
        return end_unanswered(progress, reason)
    return TryElsewhere()


def after_no_target(progress: Progress) -> SearchAgain | Reject | GiveUp:
    """Decide when no target is available: search again until the search times out."""
    search_s = SHEDDABLE_SEARCH_TIMEOUT_S if progress.sheddable else SEARCH_TIMEOUT_S
    search_until = min(progress.give_up_at, progress.started + search_s)
    search_at = progress.now + SEARCH_INTERVAL_S
    if search_at < search_until and progress.daemon_rejections < MAX_SENDS:
        return SearchAgain()
    return end_unanswered(progress, messages.Reason.NO_TARGET)


def after_expiry(progress: Progress) -> Reject | GiveUp:
    """Decide when too little time is left for an attempt."""
    if progress.may_have_run:
        return GiveUp(status=GATEWAY_TIMEOUT, reason=messages.Reason.TIMEOUT)
    return Reject(reason=messages.Reason.EXPIRED)


def when_time_is_up(progress: Progress, reason: str, *, sent: bool) -> Reject | GiveUp:
    """Decide at the deadline, or when the daemon exits.

    `sent` is whether an attempt is in progress.
    """
    if sent or progress.may_have_run:
        timeout = reason == messages.Reason.TIMEOUT
        return GiveUp(status=GATEWAY_TIMEOUT if timeout else BAD_GATEWAY, reason=reason)
    return Reject(reason=reason)


def end_unanswered(progress: Progress, reason: str) -> Reject | GiveUp:
    """Decide how a request ends that has no response and is not retried."""
    if progress.may_have_run:
        return GiveUp(status=BAD_GATEWAY, reason=reason)
    return Reject(reason=reason)


def _may_retry(progress: Progress) -> bool:
    """Return whether a request that may have run may be retried."""
    if not progress.retryable or progress.attempts >= progress.max_attempts:
        return False
    if progress.sends >= MAX_SENDS:
        return False
    return has_time_for_attempt(progress.now, progress.deadline)
