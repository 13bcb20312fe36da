"""The retry budget that all daemons share: each spends its own part of it."""

from __future__ import annotations

import enum
import random

import attrs

RUN_SHARE = 0.25
"""Part of the agreed ratio that is spent on requests that may have run. The calls
that a repeated run makes again count at the services that they go to: with chains of
four services each level may add as much as the one above it."""
NOT_RUN_SHARE = 0.6
"""Part of the agreed ratio that is spent on requests that a server did not run: these
add nothing further down."""
RUN_SLACK = 0.5
NOT_RUN_SLACK = 0.25
"""Parts of the agreed slack that all daemons together spend on each without requests:
a box that is lost takes some requests of all others with it at once."""


DRIP_WINDOWS = 4.0
"""Windows over which a share fills up again without any request: what is held at the
begin of a window and what drips into it stay within the slack together."""
LEND_WHOLE = 2.0
"""A share below this many repeats is lent whole: with many daemons each holds less
than one repeat, and only what several hold together is of use."""


class Repeat(enum.Enum):
    """Why a request is sent again."""

    MAY_HAVE_RUN = "may-have-run"
    NOT_RUN = "not-run"


SHARES = {Repeat.MAY_HAVE_RUN: RUN_SHARE, Repeat.NOT_RUN: NOT_RUN_SHARE}
SLACKS = {Repeat.MAY_HAVE_RUN: RUN_SLACK, Repeat.NOT_RUN: NOT_RUN_SLACK}


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
    _tokens: dict[tuple[str, Repeat], float] = attrs.Factory(dict)
    _filled: dict[tuple[str, Repeat], float] = attrs.Factory(dict)

    def see_daemons(self, count: int) -> None:
        """Note how many daemons there are; the share only shrinks."""
        self.daemons = max(self.daemons, count)

    def fresh(self, now: float, service: str) -> None:
        """Note a request that is sent for the first time."""
        for repeat, share in SHARES.items():
            self._refill(now, (service, repeat), self.ratio * share)

    def may_spend(self, now: float, service: str, repeat: Repeat) -> bool:
        """Take one repeat from the budget of a service, if there is one left."""
        key = (service, repeat)
        self._refill(now, key, 0.0)
        held = self._tokens[key]
        if held >= 1.0:
            self._tokens[key] = held - 1.0
            return True
        if self._burst(repeat) >= 1.0:
            return False
        # A share that can't grow to one repeat is drawn for, so that all daemons
        # together spend what they hold; a lost draw spends it as well.
        self._tokens[key] = 0.0
        return self.rng.random() < held

    def lend(self, now: float, service: str, repeat: Repeat) -> float:
        """Take half of what is held off this share, all of it where it is little."""
        key = (service, repeat)
        self._refill(now, key, 0.0)
        held = self._tokens[key]
        lent = held if held < LEND_WHOLE else held / 2
        self._tokens[key] = held - lent
        return lent

    def receive(self, now: float, service: str, repeat: Repeat, tokens: float) -> None:
        """Add what another daemon has taken off its share."""
        key = (service, repeat)
        self._refill(now, key, 0.0)
        self._tokens[key] += tokens

    def _burst(self, repeat: Repeat) -> float:
        """Return the most repeats that this daemon saves up, also less than one."""
        return self.slack * SLACKS[repeat] / self.daemons

    def _refill(self, now: float, key: tuple[str, Repeat], tokens: float) -> None:
        burst = self._burst(key[1])
        last = self._filled.get(key)
        self._filled[key] = now
        if last is None:
            self._tokens[key] = burst
            return
        drip = (now - last) * burst / (DRIP_WINDOWS * self.window_s)
        held = self._tokens[key]
        self._tokens[key] = max(held, min(burst, held + drip + tokens))
