"""Requests beyond the capacity of targets, and the order of shedding."""

from __future__ import annotations

from tests.mesh import samples


def test_requests_beyond_the_slots_are_queued_or_rejected_early():
    world = samples.world_of(2, slots=2, work_s=0.2)
    requests = [samples.ask(world, "box-0") for _ in range(60)]
    world.run(3)
    served = [request for request in requests if request.answer.status == 200]
    rejected = [request for request in requests if request.answer.status == 503]
    assert len(served) + len(rejected) == 60
    assert served
    assert rejected
    for request in rejected:
        assert request.answer.at - request.at <= 0.25 * 1.0 + 0.05
        assert request.answer.retry_after_s > 0
    assert not any(not run.ran for run in world.targets.runs)


def test_postings_are_shed_last():
    world = samples.world_of(2, slots=2, work_s=0.1)
    posts, looks = [], []
    for _ in range(100):
        posts.append(samples.post(world, "box-0"))
        looks += [samples.ask(world, "box-0") for _ in range(3)]
        world.run(0.05)
    world.run(3)
    served = sum(request.answer.status == 200 for request in posts)
    assert served >= 98
    assert sum(request.answer.status == 200 for request in looks) < 200


def test_a_target_never_runs_more_requests_than_it_has_slots():
    world = samples.world_of(1, slots=3, work_s=0.1)
    for _ in range(50):
        samples.ask(world, "box-0")
        assert len(world.boxes["box-0"].target.running) <= 3
        world.run(0.01)
    assert all(run.ran for run in world.targets.runs)


def test_a_route_without_calls_is_not_shed_while_its_target_fails():
    world = samples.world_of(2)
    for box in world.boxes.values():
        box.target.loses_answers = True
    requests = samples.load(world, "box-0", 200, every_s=0.02)
    world.run(3)
    assert not [request for request in requests if request.answer.reason == "pressure"]


def test_a_lookup_without_any_ready_target_is_rejected_with_a_useful_retry_after():
    world = samples.world_of(2)
    for box in world.boxes.values():
        world.targets.drain(box)
    world.run(0.5)
    request = samples.ask(world, "box-0")
    world.run(0.3)
    assert request.answer.status == 503
    # The latency objective of the route is 1 s from the first attempt.
    assert 0.3 <= request.answer.retry_after_s < 1.0
