"""Prices of overloaded targets, and the demand of each route on them.

An overloaded target sets a price on its slot time, which daemons report to each other
(`price_reports`). Each answer carries the demand of a run of its route on each service,
including its calls. So a daemon knows what a request will use of an overloaded service
before it is admitted, and sheds a share of the requests of the lowest priority, first
those of the most expensive routes.

Owns the price of the local target and the costs of each route. Relies on the inbound
side to count arrivals and ended runs, and on answers to carry the demand.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Mapping

import attrs

UPDATE_INTERVAL_S = 0.1
"""Interval between updates of the price, seconds."""
LOAD_WEIGHT = 0.3
"""Weight of the newest interval in the moving average of the offered load, low enough
that a few long requests at a small target set no price."""
AVERAGING_WINDOW_S = 0.8
"""Time over which past prices are averaged as the base of a new one, seconds. It covers
the feedback delay: a price based on the newest one alone would oscillate. A report
takes a quarter to half a second to the daemons that admit requests, and a run as long
to its first call."""
TOLERATED_WAIT_S = 0.01
"""Queued slot time per slot that is not counted as excess load, seconds. It is short,
since sequential calls wait several times within one run."""
WAIT_GAIN = 10.0
"""Excess load per second of queued slot time per slot. In a surge, overloaded services
upstream reduce the offered load, while the queue still shows the excess. A tenth of a
second weighs as much as twice the slots; with a third of that, a quarter fewer postings
behind a chain of calls are served at twice the load."""
MAX_IDLE_LOAD = 0.9
"""Upper limit of the load while the queue is empty, relative to the slots: the price
decreases until requests wait again."""
MIN_LOAD = 0.5
"""Lower limit of the load, relative to the slots; it bounds the decrease of the price
when no requests arrive for a moment."""
SPARE_LOAD = 0.85
"""Load below which the target has spare capacity, relative to the slots."""
SPARE_GAIN = 2.0
"""Additional decrease of the price below `SPARE_LOAD`. At a high price, the sheddable
requests are a small part of the load and have to grow many times over: without it, they
are shed for seconds after an outage while slots are free."""
MAX_PRICE = 3.0
"""Highest price, at which one request in twenty is admitted."""
MIN_PRICE = 0.02
"""Lower prices, which shed less than one request in fifty, count as 0."""
RUN_WEIGHT = 0.05
"""Weight of the newest run in a moving average."""
MIN_SERVICE_TIME_RUNS = 20
"""Ended runs from which on the service time counts as known."""
REPORT_WEIGHT = 0.3
"""Weight of the newest report in the moving average of a route's demand; each daemon
reports the runs that it has seen."""
MIN_RUNS = 5
"""Runs of a route after which its number of calls is known."""
MIN_CALLS_PER_RUN = 0.3
"""Calls per run from which on a route counts as making calls."""


@attrs.define(kw_only=True)
class SlotPrice:
    """The price of a target's slot time.

    Of the most expensive requests, the fraction `exp(-price)` is admitted. So the price
    changes by the logarithm of the offered load, which is the ratio of the requested
    slot time to the available one.
    """

    value: float = 0.0
    mean_load: float = 0.0
    """Moving average of the offered load; 1 fills all slots."""
    _offered_s: float = 0.0
    """Slot time requested since the last update, seconds."""
    _updated_at: float = 0.0
    _history: collections.deque[tuple[float, float]] = attrs.Factory(collections.deque)
    """Times and prices within the averaging window."""

    def add_offered(self, service_time_s: float) -> None:
        """Add the expected service time of a request to the offered load, seconds."""
        self._offered_s += service_time_s

    def update(self, now: float, slots: float, waiting_s: float) -> bool:
        """Update the price if the interval has elapsed; return whether it was updated.

        `waiting_s` is the slot time of the queued requests, seconds.
        """
        elapsed_s = now - self._updated_at
        if elapsed_s < UPDATE_INTERVAL_S:
            return False
        load = self._offered_s / (slots * elapsed_s)
        self._offered_s = 0.0
        self._updated_at = now
        self.mean_load += min(1.0, LOAD_WEIGHT * elapsed_s / UPDATE_INTERVAL_S) * (
            load - self.mean_load
        )
        price = min(MAX_PRICE, self._mean_price(now) + self._change(slots, waiting_s))
        self.value = price if price >= MIN_PRICE else 0.0
        self._history.append((now, self.value))
        return True

    def _change(self, slots: float, waiting_s: float) -> float:
        """Return the correction of the mean recent price."""
        load = self.mean_load if waiting_s else min(MAX_IDLE_LOAD, self.mean_load)
        excess_wait_s = max(0.0, waiting_s / slots - TOLERATED_WAIT_S)
        load = max(MIN_LOAD, load + WAIT_GAIN * excess_wait_s)
        change = math.log(load)
        if load < SPARE_LOAD:
            change += SPARE_GAIN * math.log(load / SPARE_LOAD)
        return change

    def _mean_price(self, now: float) -> float:
        """Return the time-weighted mean price over the averaging window."""
        window_start = now - AVERAGING_WINDOW_S
        total = 0.0
        until = now
        for set_at, price in reversed(self._history):
            total += price * (until - max(set_at, window_start))
            until = set_at
            if set_at <= window_start:
                break
        while len(self._history) > 1 and self._history[1][0] <= window_start:
            self._history.popleft()
        return total / AVERAGING_WINDOW_S


@attrs.define(kw_only=True)
class RouteCost:
    """Moving averages of the resources that a run of one route uses."""

    service_time_s: float = 0.0
    """Time for which a run holds a slot, seconds."""
    calls: float = 0.0
    """Calls per run."""
    callees: dict[str, float] = attrs.Factory(dict)
    """Calls per run, by called route."""
    runs: int = 0
    full_runs: int = 0
    """Successful runs, which made all of their calls."""

    def count_run(
        self,
        *,
        service_time_s: float,
        calls: int,
        callees: Mapping[str, int],
        full: bool,
    ) -> None:
        """Count an ended run; an incomplete one made only part of its calls."""
        weight = max(RUN_WEIGHT, 1.0 / (1 + self.runs))
        self.runs += 1
        self.service_time_s += weight * (service_time_s - self.service_time_s)
        if not full:
            return
        weight = max(RUN_WEIGHT, 1.0 / (1 + self.full_runs))
        self.full_runs += 1
        self.calls += weight * (calls - self.calls)
        for name in self.callees.keys() | callees.keys():
            mean = self.callees.get(name, 0.0)
            self.callees[name] = mean + weight * (callees.get(name, 0) - mean)


@attrs.define(kw_only=True)
class Costs:
    """Demand of each route on the local target and on the services that it calls."""

    initial_service_time_s: float
    """Assumed service time until a run has ended, seconds."""
    slot_price: SlotPrice = attrs.Factory(SlotPrice)
    """The price of the local target."""
    routes: dict[str, RouteCost] = attrs.Factory(dict)
    mean_service_time_s: float = attrs.field(init=False)
    """Moving average of the service time of all runs, seconds."""
    ended_runs: int = 0
    _reported_demand: dict[str, list[tuple[str, int]]] = attrs.Factory(dict)
    """Latest reported demand of a run of each route on each service, in hundredths of
    a mean run."""
    _sheddable_demand: dict[str, dict[str, float]] = attrs.Factory(dict)
    """Moving average of the reported demand, for routes that may be shed by price."""

    def __attrs_post_init__(self) -> None:
        self.mean_service_time_s = self.initial_service_time_s

    @property
    def service_time_ms(self) -> int:
        """Mean service time, milliseconds; 0 while unknown."""
        known = self.ended_runs >= MIN_SERVICE_TIME_RUNS
        return int(1000 * self.mean_service_time_s) if known else 0

    def route(self, name: str) -> RouteCost:
        """Return the costs of a route."""
        cost = self.routes.get(name)
        if cost is None:
            cost = self.routes[name] = RouteCost()
        return cost

    def service_time_s(self, name: str) -> float:
        """Return the expected service time of a route, seconds."""
        cost = self.route(name)
        return cost.service_time_s if cost.runs else self.mean_service_time_s

    def makes_calls(self, name: str) -> bool:
        """Return whether the runs of a route make calls."""
        return self.expected_calls(name) > 0

    def expected_calls(self, name: str) -> float:
        """Return the calls per run of a route; 0 while unknown or negligible."""
        cost = self.route(name)
        known = cost.runs >= MIN_RUNS and cost.calls > MIN_CALLS_PER_RUN
        return cost.calls if known else 0.0

    def demand(self, service: str, name: str) -> collections.Counter[str]:
        """Return the demand of a run on each service, in mean runs there.

        `service` is the service of the local target.
        """
        demand: collections.Counter[str] = collections.Counter()
        for called, calls in self.route(name).callees.items():
            for other, pct in self._reported_demand.get(called, ()):
                demand[other] += calls * pct / 100
        demand[service] += self.service_time_s(name) / self.mean_service_time_s
        return demand

    def demand_pct(self, service: str, name: str) -> list[tuple[str, int]]:
        """Return the demand of a run in hundredths, as reported to other daemons."""
        demand = self.demand(service, name)
        return [(other, round(100 * runs)) for other, runs in demand.items()]

    def set_demand(
        self, name: str, demand: list[tuple[str, int]], *, sheddable: bool = False
    ) -> None:
        """Store the demand of a run of a route, as reported by another daemon.

        `sheddable` says whether this daemon may shed requests of the route by price.
        """
        self._reported_demand[name] = demand
        if sheddable:
            self._average_demand(name, demand)

    def relative_demand(self, service: str, name: str, demand: float) -> float:
        """Return the demand on a service relative to the route with the highest one.

        Only sheddable routes count. `demand`, in mean runs, is used for a route without
        reports.
        """
        known = self._sheddable_demand.get(name)
        own = 100 * demand if known is None else known.get(service, 0.0)
        others = (run.get(service, 0.0) for run in self._sheddable_demand.values())
        highest = max(own, max(others, default=0.0))
        return own / highest if highest else 0.0

    def count_run(
        self,
        name: str,
        *,
        service_time_s: float,
        calls: int,
        callees: Mapping[str, int],
        full: bool,
    ) -> None:
        """Count an ended run; an incomplete one made only part of its calls."""
        self.route(name).count_run(
            service_time_s=service_time_s, calls=calls, callees=callees, full=full
        )
        self.ended_runs += 1
        weight = max(RUN_WEIGHT, 1.0 / (1 + self.ended_runs))
        self.mean_service_time_s += weight * (service_time_s - self.mean_service_time_s)

    def _average_demand(self, name: str, reported: list[tuple[str, int]]) -> None:
        known = self._sheddable_demand.setdefault(name, dict(reported))
        new = dict(reported)
        for service in known.keys() | new.keys():
            mean = known.get(service, 0.0)
            known[service] = mean + REPORT_WEIGHT * (new.get(service, 0.0) - mean)
