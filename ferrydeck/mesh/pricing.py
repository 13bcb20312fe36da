"""What a request costs servers that are short of room.

A server that gets more work than its slots can carry sets a price on slot time. Each
answer to a call tells the price of what the call used, its own calls included; added
up over a run, this is the price of the run's route at the gate that lets it in. There
a share of the requests of the lowest rank is turned away that follows the price: first
those that use most of what is short, and before they have used anything.
"""

from __future__ import annotations

import attrs

FULL = 1.0
"""Offered slot time over what there is, above which the price rises. From 0.9 on, calm
times in which 0.99 of the worth is served had 0.81: a slow server that is nearly full
still serves in time."""
SETTLE_S = 0.1
"""How often the price is set anew, seconds."""
SMOOTH = 0.3
"""Weight of the newest step in the running mean of what is offered: a third of a
second, so that a few long requests at a small server make no price."""
GAIN = 8.0
"""Rise of the price a second for each unit that is offered too much, as a part of
itself. In virtual time a surge of twice the slots is served alike with half of it, this
and twice of it (1,338, 1,356 and 1,352 requests)."""
START = 0.2
"""What the price grows from: at twice what there is, a sixth of the mean requests are
held back after 0.1 s."""
MOST = 1.0
"""The highest price: all requests that use the mean are held back; a higher one would
only take longer to fall again."""
WAIT_GOAL_S = 0.01
"""How much slot time a slot may wait for before that counts as offered too much,
seconds: calls in turn wait several times within one run's time."""
WAIT_GAIN = 3.0
"""What a second of waiting counts as offered too much: a tenth of a second weighs as
much as a surge of a quarter."""
FADE_S = 1.0
"""Without a new word a route's price fades over this time, seconds."""
WEIGHT = 0.05
"""Weight of the newest run or call in a running mean."""
RUNS_LEAST = 5
"""Runs of a route after which its calls are taken as known."""
CALLS_LEAST = 0.3
"""Calls a run from which on a route's work hangs on them."""


@attrs.define(kw_only=True)
class SlotPrice:
    """The price that a server sets on its slots.

    It is the share that is turned away of requests that hold a slot for the mean
    time; one that holds it twice as long costs twice as much.
    """

    value: float = 0.0
    mean: float = 0.0
    """Offered slot time over what there is, running mean."""
    _offered_s: float = 0.0
    _settled: float = 0.0

    def offered(self, hold_s: float) -> None:
        """Note a request that would hold a slot for `hold_s`."""
        self._offered_s += hold_s

    def settle(self, now: float, slots: int, waiting_s: float) -> None:
        """Set the price anew when it is time.

        `waiting_s` is the slot time that the requests in the queue wait for.
        """
        passed_s = now - self._settled
        if passed_s < SETTLE_S:
            return
        offered = self._offered_s / (slots * passed_s)
        self._offered_s = 0.0
        self._settled = now
        self.mean += min(1.0, SMOOTH * passed_s / SETTLE_S) * (offered - self.mean)
        late_s = max(0.0, waiting_s / slots - WAIT_GOAL_S)
        over = self.mean - FULL + WAIT_GAIN * late_s
        step_s = min(passed_s, FADE_S)
        grown = self.value + GAIN * over * step_s * (self.value + START)
        self.value = min(MOST, max(0.0, grown))


@attrs.define(kw_only=True)
class RouteCost:
    """What the runs of one route use, as running means."""

    hold_s: float = 0.0
    """How long a run holds a slot, seconds."""
    calls: float = 0.0
    """Calls that a run makes."""
    runs: int = 0
    _call_price: float = 0.0
    _told_at: float = -1e9

    def price(self, now: float) -> float:
        """Return the price of the calls of a run."""
        return self.calls * self._call_price_at(now)

    def called(self, now: float, price: float) -> None:
        """Note the price of a call that a run made, also of one that was refused."""
        held = self._call_price_at(now)
        self._call_price = held + WEIGHT * (price - held)
        self._told_at = now

    def ended(self, *, hold_s: float, calls: int, whole: bool) -> None:
        """Note a run that ended; one that is not `whole` made a part of its calls."""
        weight = max(WEIGHT, 1.0 / (1 + self.runs))
        self.runs += 1
        self.hold_s += weight * (hold_s - self.hold_s)
        if whole:
            self.calls += weight * (calls - self.calls)

    def _call_price_at(self, now: float) -> float:
        age = (now - self._told_at) / FADE_S
        return self._call_price * max(0.0, 1.0 - age)


@attrs.define(kw_only=True)
class Costs:
    """What the routes of one server use, and its price."""

    start_hold_s: float
    """What a request is taken to hold a slot for before one has ended, seconds."""
    slots: SlotPrice = attrs.Factory(SlotPrice)
    routes: dict[str, RouteCost] = attrs.Factory(dict)
    mean_hold_s: float = attrs.field(init=False)
    ended_runs: int = 0

    def __attrs_post_init__(self) -> None:
        self.mean_hold_s = self.start_hold_s

    def route(self, name: str) -> RouteCost:
        """Return what is known of a route."""
        cost = self.routes.get(name)
        if cost is None:
            cost = self.routes[name] = RouteCost()
        return cost

    def hold_s(self, name: str) -> float:
        """Return how long a run of a route will hold a slot, seconds."""
        cost = self.route(name)
        return cost.hold_s if cost.runs else self.mean_hold_s

    def makes_calls(self, name: str) -> bool:
        """Tell whether the runs of a route hang on calls."""
        cost = self.route(name)
        return cost.runs >= RUNS_LEAST and cost.calls > CALLS_LEAST

    def price(self, now: float, name: str) -> float:
        """Return the price of a run of a route, its calls included."""
        return self.own_price(name) + self.route(name).price(now)

    def own_price(self, name: str) -> float:
        """Return the price of the slot time alone."""
        if not self.slots.value:
            return 0.0
        return self.slots.value * self.hold_s(name) / self.mean_hold_s

    def ended(self, name: str, *, hold_s: float, calls: int, whole: bool) -> None:
        """Note a run that ended."""
        self.route(name).ended(hold_s=hold_s, calls=calls, whole=whole)
        self.ended_runs += 1
        weight = max(WEIGHT, 1.0 / (1 + self.ended_runs))
        self.mean_hold_s += weight * (hold_s - self.mean_hold_s)
