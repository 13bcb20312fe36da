"""What the slots of a case can serve of whole requests, top class first."""

from __future__ import annotations

import collections
import urllib.parse
from typing import Any

from ferrydeck.replay import case as cases

EPSILON = 1e-9


def service_times(path: str) -> list[tuple[str, float]]:
    """Return the service and the seconds of a call and of all that it calls."""
    service, _, rest = path[1:].partition("/")
    query = dict(urllib.parse.parse_qsl(rest.partition("?")[2]))
    times = [(service, float(query.get("ms", "5")) / 1000)]
    for nested in filter(None, query.get("call", "").split(",")):
        times += service_times(urllib.parse.unquote(nested))
    return times


def slowdown(case: cases.Case, service: str, at: float) -> float:
    """Return how much longer a service takes at a time of the case."""
    for fault in case.faults:
        slow = fault.kind == "slow" and fault.service == service
        if slow and fault.at <= at < fault.until:
            return fault.factor
    return 1.0


def slot_seconds(case: cases.Case, path: str, at: float) -> dict[str, float]:
    """Return how long a request holds a slot of each service, seconds.

    A service holds its slot while the calls that it makes are served.
    """
    service, _, rest = path[1:].partition("/")
    query = dict(urllib.parse.parse_qsl(rest.partition("?")[2]))
    own_s = float(query.get("ms", "5")) / 1000 * slowdown(case, service, at)
    held: dict[str, float] = collections.defaultdict(float)
    for nested in filter(None, query.get("call", "").split(",")):
        nested_seconds = slot_seconds(case, urllib.parse.unquote(nested), at)
        nested_service = urllib.parse.unquote(nested)[1:].partition("/")[0]
        own_s += nested_seconds[nested_service]
        for name, seconds in nested_seconds.items():
            held[name] += seconds
    held[service] += own_s
    return held


def goodput(
    case: cases.Case,
    requests: list[Any],
    ranks: dict[str, int],
    seconds: float,
    scale: int = 1,
) -> float:
    """Return the whole requests a second that the slots can serve.

    Ranks are filled in their order; within one, all kinds grow alike until a
    service that they need is full.
    """
    capacity = collections.defaultdict(float)
    for group in case.boxes:
        capacity[group.service] += group.count * group.slots * scale * seconds
    total = 0.0
    for rank in sorted(set(ranks.values())):
        requests_of_rank = [
            one for one in requests if ranks[one.line.class_name] == rank
        ]
        total += allocate(case, requests_of_rank, capacity)
    return total / seconds


def allocate(
    case: cases.Case, requests: list[Any], capacity: dict[str, float]
) -> float:
    """Serve as much of one rank as the room allows; return how many requests."""
    demand = collections.defaultdict(lambda: collections.defaultdict(float))
    counts: collections.Counter[frozenset[str]] = collections.Counter()
    begins = min((one.at for one in case.faults), default=0.0)
    for request in requests:
        held = slot_seconds(case, request.line.path, begins)
        services = frozenset(held)
        counts[services] += 1
        for service, seconds in held.items():
            demand[services][service] += seconds
    shares = dict.fromkeys(demand, 0.0)
    unsaturated = set(demand)
    while unsaturated:
        increment = largest_step(demand, unsaturated, shares, capacity)
        for services in unsaturated:
            shares[services] += increment
            for service, seconds in demand[services].items():
                capacity[service] -= increment * seconds
        unsaturated = {
            services
            for services in unsaturated
            if shares[services] < 1 - EPSILON
            and all(capacity[service] > EPSILON for service in demand[services])
        }
    return sum(shares[services] * counts[services] for services in demand)


def largest_step(
    demand: dict[frozenset[str], dict[str, float]],
    unsaturated: set[frozenset[str]],
    shares: dict[frozenset[str], float],
    capacity: dict[str, float],
) -> float:
    """Return how far all growing kinds can grow before one is done or a room full."""
    increment = min(1 - shares[services] for services in unsaturated)
    needed_s: dict[str, float] = collections.defaultdict(float)
    for services in unsaturated:
        for service, seconds in demand[services].items():
            needed_s[service] += seconds
    for service, seconds in needed_s.items():
        if seconds > EPSILON:
            increment = min(increment, capacity[service] / seconds)
    return max(0.0, increment)
