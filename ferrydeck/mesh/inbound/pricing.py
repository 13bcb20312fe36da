"""What a request costs targets that are short of slots.

A target that gets more work than its slots can carry sets a price on slot time, which
daemons report to each other (`price_reports`). Each answer carries the demand of a run
of its route on each service, its calls included. So the daemon that admits a caller's
request knows what the run will use of what is short, and rejects a share before it has
used anything: of the lowest priority, and first of the routes that use most.

Owns the price of this box's target and the costs of each route. Relies on the inbound
side to count arrivals and ended runs, and on answers to carry the demand further on.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Mapping

import attrs

UPDATE_S = 0.1
"""How often the price is set anew, seconds."""
SMOOTH = 0.3
"""Weight of the newest step in the running mean of the offered load: a third of a
second, so that a few long requests at a small target make no price."""
LOOP_S = 0.8
"""Over how long the prices are averaged that a new one starts from, seconds. What is
offered now was admitted at the price of some time ago: a report takes a quarter to half
a second to the daemons that admit callers' requests, and a run works for as long before
its first call. A price that starts from its newest value adds the same excess again and
again until then, and swings between all and nothing. With this one, twice what fits
settles within a tenth of the slots at delays of up to 0.6 s and within a third at 0.8 s
(computed).
"""
WAIT_GOAL_S = 0.01
"""How much slot time a slot may wait for before that counts as excess load, seconds:
calls in turn wait several times within one run's time."""
WAIT_GAIN = 10.0
"""Excess load that a second of waiting counts as: a tenth of a second weighs as much as
twice the slots. In a surge the services in between fill up and hide what would be
offered, while the queue shows it. With a third of it postings behind a chain of calls
were served 0.64 to 0.68 in twice the load, and 0.86 to 0.88 with this (virtual
time)."""
IDLE_LOAD_MOST = 0.9
"""Highest load that counts while nothing waits, as a part of the slots: the price falls
by a tenth in each loop until something waits again."""
LOAD_LEAST = 0.5
"""Lowest load that counts, as a part of the slots: a target that was sent nothing for a
moment lets the price fall by 1.8 in a loop."""
ROOM = 0.85
"""Part of the slots below which the offered load leaves room for sure."""
ROOM_GAIN = 2.0
"""How much faster a price falls for what is missing below that. What may be shed is a
small part of the offered load while the price is high, so it has to grow many times
over to fill the slots: with the plain logarithm lookups were shed for three seconds
after all boxes had lost power, at 0.7 of the slots."""
MOST = 3.0
"""The highest price: one request in twenty is admitted."""
LEAST = 0.02
"""A lower price counts as none: a request in fifty."""
WEIGHT = 0.05
"""Weight of the newest run or call in a running mean."""
REPORT_WEIGHT = 0.3
"""Weight of the newest report in the running mean of a route's demand: the daemons
that it leads to have each seen runs of their own."""
RUNS_LEAST = 5
"""Runs of a route after which its calls are taken as known."""
CALLS_LEAST = 0.3
"""Calls a run from which on a route's work depends on them."""


@attrs.define(kw_only=True)
class SlotPrice:
    """The price that a target sets on its slots.

    Of the requests that use most of it, `exp(-price)` are admitted. So the price has to
    grow by the logarithm of the offered load, which is the slot time that requests ask
    for over what there is.
    """

    value: float = 0.0
    mean_load: float = 0.0
    """Offered load, running mean; 1 fills the slots."""
    _offered_s: float = 0.0
    """Slot time that was asked for since the last update, seconds."""
    _updated_at: float = 0.0
    _past: collections.deque[tuple[float, float]] = attrs.Factory(collections.deque)
    """Times and prices of the last loop."""

    def add_offered(self, service_time_s: float) -> None:
        """Count a request that would hold a slot for a time, seconds."""
        self._offered_s += service_time_s

    def update(self, now: float, slots: int, waiting_s: float) -> bool:
        """Set the price anew when it is time; return whether it was.

        `waiting_s` is the slot time that the requests in the queue wait for, seconds.
        """
        passed_s = now - self._updated_at
        if passed_s < UPDATE_S:
            return False
        load = self._offered_s / (slots * passed_s)
        self._offered_s = 0.0
        self._updated_at = now
        self.mean_load += min(1.0, SMOOTH * passed_s / UPDATE_S) * (
            load - self.mean_load
        )
        price = min(MOST, self._mean_past(now) + self._step(slots, waiting_s))
        self.value = price if price >= LEAST else 0.0
        self._past.append((now, self.value))
        return True

    def _step(self, slots: int, waiting_s: float) -> float:
        """Return by how much the price of the last loop is wrong."""
        load = self.mean_load if waiting_s else min(IDLE_LOAD_MOST, self.mean_load)
        late_s = max(0.0, waiting_s / slots - WAIT_GOAL_S)
        load = max(LOAD_LEAST, load + WAIT_GAIN * late_s)
        step = math.log(load)
        if load < ROOM:
            step += ROOM_GAIN * math.log(load / ROOM)
        return step

    def _mean_past(self, now: float) -> float:
        """Return the mean price over the last loop, each price until the next one."""
        begins = now - LOOP_S
        total = 0.0
        until = now
        for at, price in reversed(self._past):
            total += price * (until - max(at, begins))
            until = at
            if at <= begins:
                break
        while len(self._past) > 1 and self._past[1][0] <= begins:
            self._past.popleft()
        return total / LOOP_S


@attrs.define(kw_only=True)
class RouteCost:
    """What the runs of one route use, as running means."""

    service_time_s: float = 0.0
    """How long a run holds a slot, seconds."""
    calls: float = 0.0
    """Calls that a run makes."""
    calls_by_route: dict[str, float] = attrs.Factory(dict)
    """The same by the route that is called."""
    runs: int = 0
    whole_runs: int = 0
    """Runs that made all of their calls."""

    def count_run(
        self,
        *,
        service_time_s: float,
        calls: int,
        calls_by_route: Mapping[str, int],
        whole: bool,
    ) -> None:
        """Count a run that ended; one that is not `whole` made a part of its calls."""
        weight = max(WEIGHT, 1.0 / (1 + self.runs))
        self.runs += 1
        self.service_time_s += weight * (service_time_s - self.service_time_s)
        if not whole:
            return
        weight = max(WEIGHT, 1.0 / (1 + self.whole_runs))
        self.whole_runs += 1
        self.calls += weight * (calls - self.calls)
        for name in self.calls_by_route.keys() | calls_by_route.keys():
            mean = self.calls_by_route.get(name, 0.0)
            self.calls_by_route[name] = mean + weight * (
                calls_by_route.get(name, 0) - mean
            )


@attrs.define(kw_only=True)
class Costs:
    """What the runs of each route use of this target and of the services behind it."""

    initial_service_time_s: float
    """How long a run is assumed to hold a slot before one has ended, seconds."""
    slots: SlotPrice = attrs.Factory(SlotPrice)
    """The price of this target."""
    routes: dict[str, RouteCost] = attrs.Factory(dict)
    mean_service_time_s: float = attrs.field(init=False)
    """How long a run of any route holds a slot, running mean, seconds."""
    ended_runs: int = 0
    _reported_demand: dict[str, list[tuple[str, int]]] = attrs.Factory(dict)
    """Demand of a run of each route on each service, by the newest report from where
    the route leads, in hundredths of a mean run."""
    _sheddable_demand: dict[str, dict[str, float]] = attrs.Factory(dict)
    """Running mean of the same, of the routes whose requests may be shed by price."""

    def __attrs_post_init__(self) -> None:
        self.mean_service_time_s = self.initial_service_time_s

    def route(self, name: str) -> RouteCost:
        """Return what is known of a route."""
        cost = self.routes.get(name)
        if cost is None:
            cost = self.routes[name] = RouteCost()
        return cost

    def service_time_s(self, name: str) -> float:
        """Return how long a run of a route will hold a slot, seconds."""
        cost = self.route(name)
        return cost.service_time_s if cost.runs else self.mean_service_time_s

    def makes_calls(self, name: str) -> bool:
        """Return whether the runs of a route depend on calls."""
        return self.expected_calls(name) > 0

    def expected_calls(self, name: str) -> float:
        """Return the calls that runs of a route make, 0 while not known or few."""
        cost = self.route(name)
        known = cost.runs >= RUNS_LEAST and cost.calls > CALLS_LEAST
        return cost.calls if known else 0.0

    def demand(self, service: str, name: str) -> collections.Counter[str]:
        """Return the demand of a run on each service, in mean runs there.

        `service` is the service of this target.
        """
        demand: collections.Counter[str] = collections.Counter()
        for called, times in self.route(name).calls_by_route.items():
            for other, pct in self._reported_demand.get(called, ()):
                demand[other] += times * pct / 100
        demand[service] += self.service_time_s(name) / self.mean_service_time_s
        return demand

    def demand_pct(self, service: str, name: str) -> list[tuple[str, int]]:
        """Return the demand of a run as it is reported, in hundredths."""
        demand = self.demand(service, name)
        return [(other, round(100 * runs)) for other, runs in demand.items()]

    def set_demand(
        self, name: str, demand: list[tuple[str, int]], *, sheddable: bool = False
    ) -> None:
        """Take the demand of a run of a route, as its inbound side reports it.

        `sheddable` says that requests of the route may be shed by price here.
        """
        self._reported_demand[name] = demand
        if sheddable:
            self._average_demand(name, demand)

    def weight(self, service: str, name: str, demand: float) -> float:
        """Return a run's demand on a service relative to the route with the most.

        Only routes count that may be shed. `demand`, in mean runs, stands for a route
        of which there is no report.
        """
        known = self._sheddable_demand.get(name)
        own = 100 * demand if known is None else known.get(service, 0.0)
        others = (one.get(service, 0.0) for one in self._sheddable_demand.values())
        most = max(own, max(others, default=0.0))
        return own / most if most else 0.0

    def count_run(
        self,
        name: str,
        *,
        service_time_s: float,
        calls: int,
        calls_by_route: Mapping[str, int],
        whole: bool,
    ) -> None:
        """Count a run that ended; one that is not `whole` made a part of its calls."""
        self.route(name).count_run(
            service_time_s=service_time_s,
            calls=calls,
            calls_by_route=calls_by_route,
            whole=whole,
        )
        self.ended_runs += 1
        weight = max(WEIGHT, 1.0 / (1 + self.ended_runs))
        self.mean_service_time_s += weight * (service_time_s - self.mean_service_time_s)

    def _average_demand(self, name: str, reported: list[tuple[str, int]]) -> None:
        known = self._sheddable_demand.setdefault(name, dict(reported))
        new = dict(reported)
        for service in known.keys() | new.keys():
            mean = known.get(service, 0.0)
            known[service] = mean + REPORT_WEIGHT * (new.get(service, 0.0) - mean)
