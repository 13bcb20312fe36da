"""The request rate that the local target accepts, as it states in its answers.

Owns the rate in force and the incarnation that stated it. Relies on the inbound side to
pass on the facts of each answer.
"""

from __future__ import annotations

import attrs

from ferrydeck.mesh import context, events, incarnations

MIN_RATE_CHANGE = 0.1
"""Smallest relative change of the rate that is logged."""


@attrs.define(kw_only=True)
class RateLimit:
    """The rate that the target accepts, from the first answer that states it on."""

    ctx: context.Context
    rate_per_s: float | None = None
    """Requests a second; `None` without a limit."""
    _target_id: str = ""
    _stated_at: float = 0.0
    """When an answer last stated the limit."""
    _logged: float | None = None
    """The rate in the last log line."""

    def target_opened(self, target_id: str) -> None:
        """Drop the limit of another target, which was replaced."""
        if self.rate_per_s is not None and target_id != self._target_id:
            self._set(None, target_id, "replaced")

    def answer_received(
        self, now: float, target_id: str, started_at: float, facts: events.AnswerFacts
    ) -> None:
        """Update the limit by an answer to a run that began at `started_at`.

        An answer without a limit lifts it only if its run began after the limit was
        last stated: answers may arrive out of order, and a spoilt one proves nothing.
        """
        if facts.invalid_rate_limit:
            self.ctx.note(
                "server-limit",
                outcome="invalid",
                instance=target_id,
                value=facts.invalid_rate_limit,
            )
        if facts.rate_limit is not None:
            self._stated_at = now
            self._set(facts.rate_limit, target_id, "answer")
            return
        if self.rate_per_s is None or facts.invalid_rate_limit:
            return
        if facts.confirmed_complete and started_at >= self._stated_at:
            self._set(None, target_id, "answer")

    def _set(self, rate_per_s: float | None, target_id: str, reason: str) -> None:
        self.rate_per_s = rate_per_s
        self._target_id = target_id
        if not _differs(rate_per_s, self._logged):
            return
        self._logged = rate_per_s
        self.ctx.note(
            "server-limit",
            outcome="lifted" if rate_per_s is None else "stated",
            reason=reason,
            instance=target_id,
            rate_per_s=rate_per_s,
        )


def target_id_of(run_incarnation: str, facts: events.AnswerFacts) -> str | None:
    """Return the id of the expected target, or `None` if another one answered."""
    expected = incarnations.target_id_of(run_incarnation)
    return expected if facts.target_id in ("", expected) else None


def _differs(rate_per_s: float | None, old: float | None) -> bool:
    """Return whether two rates differ by more than `MIN_RATE_CHANGE`."""
    if rate_per_s is None or old is None:
        return rate_per_s is not old
    return abs(rate_per_s - old) > MIN_RATE_CHANGE * old
