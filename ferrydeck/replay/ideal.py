"""Computes the goodput that the slots of a case allow, by class priority."""

from __future__ import annotations

import collections
import urllib.parse
from typing import Any

from ferrydeck.replay import case as cases

EPSILON = 1e-9


def service_times(path: str) -> list[tuple[str, float]]:
    """Return the service and service time of a call and of its nested calls."""
    service, _, rest = path[1:].partition("/")
    query = dict(urllib.parse.parse_qsl(rest.partition("?")[2]))
    times = [(service, float(query.get("ms", "5")) / 1000)]
    for nested in filter(None, query.get("call", "").split(",")):
        times += service_times(urllib.parse.unquote(nested))
    return times


def slowdown(case: cases.Case, service: str, at: float) -> float:
    """Return the service time factor of a service at a time of the case."""
    for fault in case.faults:
        slow = fault.kind == "slow" and fault.service == service
        if slow and fault.at <= at < fault.until:
            return fault.factor
    return 1.0


def slot_seconds(case: cases.Case, path: str, at: float) -> dict[str, float]:
    """Return how many seconds a request occupies a slot of each service.

    A service occupies its slot until its nested calls are answered.
    """
    service, _, rest = path[1:].partition("/")
    query = dict(urllib.parse.parse_qsl(rest.partition("?")[2]))
    own_s = float(query.get("ms", "5")) / 1000 * slowdown(case, service, at)
    slot_s: dict[str, float] = collections.defaultdict(float)
    for nested in filter(None, query.get("call", "").split(",")):
        nested_seconds = slot_seconds(case, urllib.parse.unquote(nested), at)
        nested_service = urllib.parse.unquote(nested)[1:].partition("/")[0]
        own_s += nested_seconds[nested_service]
        for name, seconds in nested_seconds.items():
            slot_s[name] += seconds
    slot_s[service] += own_s
    return slot_s


def goodput(
    case: cases.Case,
    requests: list[Any],
    ranks: dict[str, int],
    seconds: float,
    scale: int = 1,
) -> float:
    """Return the successful requests a second that the slots allow.

    Ranks are allocated in order. Within a rank, all request kinds grow at the same
    rate until a service that they need is saturated.
    """
    free = collections.defaultdict(float)
    for group in case.boxes:
        free[group.service] += group.count * group.slots * scale * seconds
    total = 0.0
    for rank in sorted(set(ranks.values())):
        ranked = [one for one in requests if ranks[one.line.class_name] == rank]
        total += allocate(case, ranked, free)
    return total / seconds


def allocate(case: cases.Case, requests: list[Any], free: dict[str, float]) -> float:
    """Allocate capacity to one rank and return the number of requests served."""
    demand = collections.defaultdict(lambda: collections.defaultdict(float))
    counts: collections.Counter[frozenset[str]] = collections.Counter()
    begins = min((one.at for one in case.faults), default=0.0)
    for request in requests:
        slot_s = slot_seconds(case, request.line.path, begins)
        services = frozenset(slot_s)
        counts[services] += 1
        for service, seconds in slot_s.items():
            demand[services][service] += seconds
    shares = dict.fromkeys(demand, 0.0)
    unsaturated = set(demand)
    while unsaturated:
        increment = largest_step(demand, unsaturated, shares, free)
        for services in unsaturated:
            shares[services] += increment
            for service, seconds in demand[services].items():
                free[service] -= increment * seconds
        unsaturated = {
            services
            for services in unsaturated
            if shares[services] < 1 - EPSILON
            and all(free[service] > EPSILON for service in demand[services])
        }
    return sum(shares[services] * counts[services] for services in demand)


def largest_step(
    demand: dict[frozenset[str], dict[str, float]],
    unsaturated: set[frozenset[str]],
    shares: dict[frozenset[str], float],
    free: dict[str, float],
) -> float:
    """Return the largest equal increment before a kind or a service is saturated."""
    increment = min(1 - shares[services] for services in unsaturated)
    needed_s: dict[str, float] = collections.defaultdict(float)
    for services in unsaturated:
        for service, seconds in demand[services].items():
            needed_s[service] += seconds
    for service, seconds in needed_s.items():
        if seconds > EPSILON:
            increment = min(increment, free[service] / seconds)
    return max(0.0, increment)
