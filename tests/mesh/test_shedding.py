from __future__ import annotations

from ferrydeck.mesh.inbound import route_shedding


def count_shed(control: route_shedding.RouteShedding, now: float, n: int = 100) -> int:
    return sum(control.shed_next(now) for _ in range(n))


def test_nothing_is_shed_without_failures():
    control = route_shedding.RouteShedding()
    for step in range(200):
        control.count_answer(step * 0.02, 0.0)
    assert count_shed(control, 4.0) == 0


def test_nothing_is_shed_with_few_failures():
    control = route_shedding.RouteShedding()
    for step in range(200):
        control.count_answer(step * 0.02, float(step % 20 == 0))
    assert count_shed(control, 4.0) == 0


def test_many_failures_increase_the_shed_ratio_up_to_its_limit():
    control = route_shedding.RouteShedding()
    for step in range(400):
        control.count_answer(step * 0.02, 1.0)
    assert 90 <= count_shed(control, 8.0) < 100


def test_the_shed_ratio_decreases_with_successful_answers():
    control = route_shedding.RouteShedding()
    for step in range(100):
        control.count_answer(step * 0.02, 1.0)
    for step in range(100, 600):
        control.count_answer(step * 0.02, 0.0)
    assert count_shed(control, 12.0) == 0


def test_the_shed_ratio_decreases_without_answers():
    control = route_shedding.RouteShedding()
    for step in range(100):
        control.count_answer(step * 0.02, 1.0)
    assert count_shed(control, 2.0) > 50
    assert count_shed(control, 10.0) == 0
