from __future__ import annotations

import random

from ferrydeck.mesh import callgraph


def played(calls_each: dict[str, int], rates: dict[str, float], seconds: float):
    """Return the estimates after Poisson traffic whose runs make calls later on."""
    rng = random.Random(5)
    estimate = callgraph.CallsEach()
    happenings = []
    for route, rate in rates.items():
        now = 0.0
        while now < seconds:
            now += rng.expovariate(rate)
            happenings.append((now, "began", route))
            end = now + 0.02 + 0.03 * calls_each[route]
            happenings.append((end, "ended", route))
            for number in range(calls_each[route]):
                happenings.append((now + 0.03 * (number + 1), "called", route))
    for now, what, route in sorted(happenings):
        if what == "began":
            estimate.began(now, route)
        elif what == "ended":
            estimate.ended(now, route)
        else:
            estimate.called(now)
    return estimate


def test_routes_that_make_calls_are_told_from_those_that_do_not():
    for calls in (1, 4):
        made = played({"look": calls, "sheet": 0}, {"look": 40, "sheet": 10}, 10)
        assert made.makes_calls("look")
        assert not made.makes_calls("sheet")


def test_a_rare_route_that_makes_calls_is_found():
    made = played({"call": 4, "sheet": 0}, {"call": 5, "sheet": 40}, 15)
    assert made.makes_calls("call")
    assert not made.makes_calls("sheet")


def test_nothing_is_assumed_before_it_is_seen():
    assert not callgraph.CallsEach().makes_calls("look")


def test_routes_that_one_service_sends_are_told_from_those_of_all():
    callers = callgraph.Callers()
    for number in range(300):
        callers.see("call", "desk")
        callers.see("look", ("desk", "book", "plan", "take")[number % 4])
    assert callers.by_servers("call")
    assert not callers.by_servers("look")
    assert not callers.by_servers("never seen")


def test_a_level_fades_without_a_new_word():
    downstream = callgraph.Downstream()
    for _ in range(50):
        downstream.told(1.0, 0.8)
    assert downstream.level(1.0) > 0.7
    assert 0.3 < downstream.level(1.5) < 0.5
    assert downstream.level(2.1) == 0.0
