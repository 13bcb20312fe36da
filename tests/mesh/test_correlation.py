from __future__ import annotations

import attrs

from ferrydeck.mesh.inbound import correlation


@attrs.define(kw_only=True)
class Run:
    name: str
    deadline: float
    call_priority: int = 1
    expected_calls: float = 4.0
    ended_calls: int = 0
    open_calls: int = 0
    resumed_at: float = 0.0


RUNS = [Run(name="a", deadline=5.3), Run(name="b", deadline=5.5)]


def test_a_call_is_matched_by_the_deadline_of_its_run():
    correlator = correlation.CallCorrelator()
    assert correlator.match(5.0, "call", 0.5, RUNS).run.name == "b"
    assert correlator.match(5.1, "call", 0.199, RUNS).run.name == "a"


def test_of_two_runs_with_one_deadline_the_more_urgent_one_matches():
    runs = [
        Run(name="low", deadline=5.5),
        Run(name="high", deadline=5.5, call_priority=0),
    ]
    assert correlation.CallCorrelator().match(5.0, "call", 0.5, runs).run.name == "high"


def test_a_request_that_ends_later_than_all_runs_is_no_call():
    assert correlation.CallCorrelator().match(5.0, "look", 5.0, RUNS) is None


def test_a_bounded_call_matches_a_run_that_ends_later():
    correlator = correlation.CallCorrelator()
    correlator.set_called("call", called=True)
    assert correlator.match(5.0, "call", 0.4, RUNS).run.name == "b"
    # It is shorter than the timeout and ends with no run, so it is no call of them.
    assert correlator.match(5.0, "call", 0.25, RUNS) is None


def with_timeout() -> correlation.CallCorrelator:
    correlator = correlation.CallCorrelator()
    correlator.set_called("call", called=True)
    correlator.match(0.0, "call", 0.7, [])
    return correlator


def test_a_bounded_call_matches_the_run_whose_call_was_just_answered():
    runs = [
        Run(name="first", deadline=7.0, resumed_at=5.0),
        Run(name="waits", deadline=7.1, ended_calls=1, resumed_at=4.9),
        Run(name="goes-on", deadline=7.3, ended_calls=2, resumed_at=4.9995),
        Run(name="has-made-all", deadline=7.3, ended_calls=4, resumed_at=4.9998),
        Run(
            name="is-calling",
            deadline=7.2,
            ended_calls=1,
            open_calls=1,
            resumed_at=4.9999,
        ),
    ]
    assert with_timeout().match(5.0, "call", 0.7, runs).run.name == "goes-on"


def test_a_first_bounded_call_matches_a_new_run_of_a_route_that_makes_calls():
    runs = [
        Run(name="calls-none", deadline=6.0, expected_calls=0.0),
        Run(name="has-called", deadline=6.1, ended_calls=1),
        Run(name="new", deadline=6.5, resumed_at=4.9),
        Run(name="newer", deadline=6.4, resumed_at=4.95, call_priority=0),
    ]
    match = with_timeout().match(5.0, "call", 0.7, runs)
    assert match.run.name == "new"
    # It may belong to the other new run, whose calls must not be shed.
    assert match.priority == 0


def test_a_route_that_no_target_calls_has_no_bounded_calls():
    correlator = correlation.CallCorrelator()
    correlator.set_called("look", called=True)
    correlator.set_called("look", called=False)
    assert correlator.match(5.0, "look", 0.4, RUNS) is None


def test_routes_called_by_one_service_are_distinguished_from_those_of_callers():
    callers = correlation.RouteCallers()
    for number in range(300):
        callers.count("call", "desk")
        callers.count("look", ("desk", "book", "plan", "take")[number % 4])
    assert callers.called_by_targets("call")
    assert not callers.called_by_targets("look")
    assert not callers.called_by_targets("never seen")
