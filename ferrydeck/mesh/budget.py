"""The retry budget that all daemons share: each spends its own part of it."""

from __future__ import annotations

import collections

import attrs

SHARE_OF_RATIO = 0.25
"""Part of the agreed ratio that is spent on own requests. Calls that a repeated run
makes again count at the services that they go to: with chains of four services each
level may add as much as the one above it."""
SLACK_SHARE = 0.5
"""Part of the agreed slack that all daemons together spend without requests."""


@attrs.define(kw_only=True)
class RetryBudget:
    """A token bucket a service: requests fill it, further sendings empty it."""

    ratio: float
    """Agreed repeats for each request, over all daemons."""
    slack: float
    """Agreed repeats in a window without any request, over all daemons."""
    window_s: float
    daemons: int = 1
    """How many daemons share the slack; never less than were ever seen."""
    _tokens: dict[str, float] = attrs.Factory(dict)
    _filled: dict[str, float] = attrs.Factory(dict)
    spent: collections.Counter[str] = attrs.Factory(collections.Counter)

    def see_daemons(self, count: int) -> None:
        """Note how many daemons there are; the share only shrinks."""
        self.daemons = max(self.daemons, count)

    def fresh(self, now: float, service: str) -> None:
        """Note a request that is sent for the first time."""
        self._refill(now, service, self.ratio * SHARE_OF_RATIO)

    def may_spend(self, now: float, service: str) -> bool:
        """Take one repeat from the budget of a service, if there is one left."""
        self._refill(now, service, 0.0)
        if self._tokens[service] < 1.0:
            return False
        self._tokens[service] -= 1.0
        self.spent[service] += 1
        return True

    @property
    def _burst(self) -> float:
        return max(1.0, self.slack * SLACK_SHARE / self.daemons)

    def _refill(self, now: float, service: str, tokens: float) -> None:
        burst = self._burst
        last = self._filled.get(service)
        self._filled[service] = now
        if last is None:
            self._tokens[service] = burst
            return
        drip = (now - last) * burst / (2 * self.window_s)
        ceiling = 2 * burst
        held = self._tokens[service]
        self._tokens[service] = max(held, min(ceiling, held + drip + tokens))
