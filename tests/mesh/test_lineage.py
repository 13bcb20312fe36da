from __future__ import annotations

import attrs

from ferrydeck.mesh import lineage


@attrs.define(kw_only=True)
class Run:
    name: str
    deadline: float
    rank: int = 1


RUNS = [Run(name="a", deadline=5.3), Run(name="b", deadline=5.5)]


def test_a_call_ends_with_its_run():
    parents = lineage.Lineage()
    assert parents.parent(5.0, "call", 0.5, RUNS).name == "b"
    assert parents.parent(5.1, "call", 0.199, RUNS).name == "a"


def test_of_two_runs_that_end_together_the_more_urgent_is_taken():
    runs = [Run(name="low", deadline=5.5), Run(name="high", deadline=5.5, rank=0)]
    assert lineage.Lineage().parent(5.0, "call", 0.5, runs).name == "high"


def test_a_request_of_a_caller_ends_later_than_any_run():
    assert lineage.Lineage().parent(5.0, "look", 5.0, RUNS) is None


def test_a_bounded_call_belongs_to_a_run_that_ends_later():
    parents = lineage.Lineage()
    parents.told("call", called=True)
    assert parents.parent(5.0, "call", 0.4, RUNS).name == "b"
    # It states less than its bound and ends with no run: it is no call of these.
    assert parents.parent(5.0, "call", 0.25, RUNS) is None


def test_a_route_that_no_server_calls_has_no_bounded_calls():
    parents = lineage.Lineage()
    parents.told("look", called=True)
    parents.told("look", called=False)
    assert parents.parent(5.0, "look", 0.4, RUNS) is None


def test_routes_that_one_service_sends_are_told_from_those_of_all():
    callers = lineage.Callers()
    for number in range(300):
        callers.see("call", "desk")
        callers.see("look", ("desk", "book", "plan", "take")[number % 4])
    assert callers.by_servers("call")
    assert not callers.by_servers("look")
    assert not callers.by_servers("never seen")
