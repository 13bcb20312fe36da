"""Keeps requests to the local target within the rate that it states in its answers.

All requests reach the target through this daemon, so a token bucket here covers those
of all boxes. Owns the rate in force and the bucket. Relies on `runs` to ask before each
run, on the inbound side to pass on the facts of each answer, and on other daemons to
report the limit that they were told before this daemon started.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

from ferrydeck.mesh import context, events

BURST_S = 0.1
"""Time for which unused requests accumulate, seconds."""
MIN_RATE_PER_S = 0.2
"""Lowest rate that is applied, requests a second: only the answers of a target that
accepts nothing show when it does again."""
MAX_QUEUE_S = 0.25
"""Longest queue, as time at the rate limit, seconds, while all targets of the service
are limited. Otherwise requests do not wait here, since another target has room."""
MIN_RATE_CHANGE = 0.1
"""Smallest relative change of the rate that is logged and announced."""
MIN_ANNOUNCE_INTERVAL_S = 1.0
"""Shortest interval between announcements, which go to all daemons, seconds."""


@attrs.define(kw_only=True)
class RateLimit:
    """The rate that the target accepts, from the first answer that states it on."""

    ctx: context.Context
    on_change: Callable[[float], None]
    """Called when a change of the rate is to be announced."""
    rate_per_s: float | None = None
    """Requests a second that the target accepts; `None` without a limit."""
    service_limited: bool = False
    """Whether all targets of the service state a limit."""
    target_id: str = ""
    """The target that the limit is of; empty while no target is known."""
    _tokens: float = 0.0
    """Requests that may be started now."""
    _refilled_at: float = 0.0
    _answered: bool = False
    """Whether the target has answered a run since it opened."""
    _stated_at: float = 0.0
    """When an answer last stated the limit."""
    _announced: float | None = None
    """The rate in the last announcement."""
    _announced_at: float = float("-inf")

    def target_opened(self, now: float, target_id: str) -> None:
        """Drop the limit of another target, which was replaced."""
        if target_id == self.target_id:
            return
        self._answered = False
        self._set(now, None, target_id)
        self._announce(now, "replaced")

    def answer_received(
        self, now: float, target_id: str, started_at: float, facts: events.AnswerFacts
    ) -> None:
        """Update the limit by an answer to a run that began at `started_at`.

        An answer without a limit lifts it only if its run began after the limit was
        last stated: answers may arrive out of order, and a spoilt one proves nothing.
        Of several limits in one answer the lowest counts.
        """
        if facts.invalid_rate_limit:
            self.ctx.note(
                "server-limit",
                outcome="invalid",
                instance=target_id,
                value=facts.invalid_rate_limit,
            )
        elif not facts.rate_limits and facts.confirmed_complete:
            self._answered = True
            if self.rate_per_s is not None and started_at >= self._stated_at:
                self._set(now, None, target_id)
        if facts.rate_limits:
            self._answered = True
            self._stated_at = now
            self._set(now, min(facts.rate_limits), target_id)
        self._announce(now, "answer")

    def peer_reported(self, now: float, target_id: str, rate_per_s: float) -> bool:
        """Apply the limit that a peer was told before this daemon started.

        Returns whether it was applied: the target's own answers go before it.
        """
        if self._answered or self.target_id not in ("", target_id):
            return False
        self._stated_at = now
        self._set(now, rate_per_s, target_id)
        self._announce(now, "peer")
        return True

    def may_start(self, now: float) -> bool:
        """Return whether the rate allows another run."""
        if self.rate_per_s is None:
            return True
        self._refill(now)
        return self._tokens >= 1.0

    def count_start(self, now: float) -> None:
        """Count a run that starts."""
        if self.rate_per_s is not None:
            self._refill(now)
            self._tokens -= 1.0

    def capacity(self, slots: int, service_time_s: float) -> float:
        """Return the concurrent runs that slots and rate sustain."""
        if self.rate_per_s is None:
            return float(slots)
        return min(float(slots), self._applied_rate() * service_time_s)

    def max_waiting(self) -> int | None:
        """Return the maximum queue length; `None` without a limit."""
        if self.rate_per_s is None:
            return None
        return int(self._applied_rate() * MAX_QUEUE_S) if self.service_limited else 0

    def _applied_rate(self) -> float:
        return max(MIN_RATE_PER_S, self.rate_per_s or 0.0)

    def _refill(self, now: float) -> None:
        rate_per_s = self._applied_rate()
        added = rate_per_s * (now - self._refilled_at)
        self._tokens = min(1.0 + BURST_S * rate_per_s, self._tokens + added)
        self._refilled_at = now

    def _set(self, now: float, rate_per_s: float | None, target_id: str) -> None:
        if self.rate_per_s is None:
            self._tokens = 0.0
            self._refilled_at = now
        else:
            self._refill(now)
        self.rate_per_s = rate_per_s
        self.target_id = target_id

    def _announce(self, now: float, reason: str) -> None:
        """Log and announce the rate if it has changed and the interval has passed."""
        rate_per_s = self.rate_per_s
        if not _differs(rate_per_s, self._announced):
            return
        if now < self._announced_at + MIN_ANNOUNCE_INTERVAL_S:
            return
        self._announced = rate_per_s
        self._announced_at = now
        self.ctx.note(
            "server-limit",
            outcome="lifted" if rate_per_s is None else "stated",
            reason=reason,
            instance=self.target_id,
            rate_per_s=rate_per_s,
        )
        self.on_change(now)


def _differs(rate_per_s: float | None, old: float | None) -> bool:
    """Return whether two rates differ by more than `MIN_RATE_CHANGE`."""
    if rate_per_s is None or old is None:
        return rate_per_s is not old
    return abs(rate_per_s - old) > MIN_RATE_CHANGE * old
