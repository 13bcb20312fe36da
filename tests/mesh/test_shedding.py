from __future__ import annotations

from ferrydeck.mesh.inbound import route_shedding


def turned_away(
    control: route_shedding.RouteShedding, now: float, count: int = 100
) -> int:
    return sum(control.shed_next(now) for _ in range(count))


def test_nothing_is_turned_away_while_answers_are_good():
    control = route_shedding.RouteShedding()
    for step in range(200):
        control.count_answer(step * 0.02, 0.0)
    assert turned_away(control, 4.0) == 0


def test_a_few_failures_turn_nothing_away():
    control = route_shedding.RouteShedding()
    for step in range(200):
        control.count_answer(step * 0.02, float(step % 20 == 0))
    assert turned_away(control, 4.0) == 0


def test_many_failures_turn_more_and_more_away_but_never_all():
    control = route_shedding.RouteShedding()
    for step in range(400):
        control.count_answer(step * 0.02, 1.0)
    assert 90 <= turned_away(control, 8.0) < 100


def test_good_answers_let_requests_in_again():
    control = route_shedding.RouteShedding()
    for step in range(100):
        control.count_answer(step * 0.02, 1.0)
    for step in range(100, 600):
        control.count_answer(step * 0.02, 0.0)
    assert turned_away(control, 12.0) == 0


def test_a_quiet_time_counts_as_good_windows():
    control = route_shedding.RouteShedding()
    for step in range(100):
        control.count_answer(step * 0.02, 1.0)
    assert turned_away(control, 2.0) > 50
    assert turned_away(control, 10.0) == 0
