"""The retry budget that all daemons share: each spends its own part of it."""

from __future__ import annotations

import random

import attrs

SHARE = 0.25
"""Part of the agreed ratio that is spent on requests that may have run. The calls
that a repeated run makes again count at the services that they go to: with chains of
four services each level may add as much as the one above it. What servers shed is
paid for by their gates (`shed`)."""
SLACK_SHARE = 0.5
"""Part of the agreed slack that all daemons together spend without requests: a box
that is lost takes some requests of all others with it at once."""
DRIP_WINDOWS = 4.0
"""Windows over which a share fills up again without any request: what is held at the
begin of a window and what drips into it stay within the slack together."""
LEND_WHOLE = 2.0
"""A share below this many repeats is lent whole: with many daemons each holds less
than one repeat, and only what several hold together is of use."""


@attrs.define(kw_only=True)
class RetryBudget:
    """A token bucket a service: requests fill it, further sendings empty it."""

    ratio: float
    """Agreed repeats for each request, over all daemons."""
    slack: float
    """Agreed repeats in a window without any request, over all daemons."""
    window_s: float
    rng: random.Random
    daemons: int = 1
    """How many daemons share the slack; never less than were ever seen."""
    _tokens: dict[str, float] = attrs.Factory(dict)
    _filled: dict[str, float] = attrs.Factory(dict)

    def see_daemons(self, count: int) -> None:
        """Note how many daemons there are; the share only shrinks."""
        self.daemons = max(self.daemons, count)

    def fresh(self, now: float, service: str) -> None:
        """Note a request that is sent for the first time."""
        self._refill(now, service, self.ratio * SHARE)

    def may_spend(self, now: float, service: str) -> bool:
        """Take one repeat from the budget of a service, if there is one left."""
        self._refill(now, service, 0.0)
        held = self._tokens[service]
        if held >= 1.0:
            self._tokens[service] = held - 1.0
            return True
        if self._burst >= 1.0:
            return False
        # A share that can't grow to one repeat is drawn for, so that all daemons
        # together spend what they hold; a lost draw spends it as well.
        self._tokens[service] = 0.0
        return self.rng.random() < held

    def lend(self, now: float, service: str) -> float:
        """Take half of what is held off this share, all of it where it is little."""
        self._refill(now, service, 0.0)
        held = self._tokens[service]
        lent = held if held < LEND_WHOLE else held / 2
        self._tokens[service] = held - lent
        return lent

    def receive(self, now: float, service: str, tokens: float) -> None:
        """Add what another daemon has taken off its share."""
        self._refill(now, service, 0.0)
        self._tokens[service] += tokens

    @property
    def _burst(self) -> float:
        """The most repeats that this daemon saves up, also less than one."""
        return self.slack * SLACK_SHARE / self.daemons

    def _refill(self, now: float, service: str, tokens: float) -> None:
        burst = self._burst
        last = self._filled.get(service)
        self._filled[service] = now
        if last is None:
            self._tokens[service] = burst
            return
        drip = (now - last) * burst / (DRIP_WINDOWS * self.window_s)
        held = self._tokens[service]
        self._tokens[service] = max(held, min(burst, held + drip + tokens))
