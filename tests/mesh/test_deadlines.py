"""Deadlines of requests, and callers that disconnect."""

from __future__ import annotations

from tests.mesh import samples


def test_a_retryable_request_is_cancelled_when_its_caller_disconnects():
    world = samples.world_of(2, work_s=1.0)
    request = samples.ask(world, "box-0")
    world.run(0.1)
    world.callers.disconnect(request)
    world.run(0.05)
    assert not any(box.target.running for box in world.boxes.values())


def test_a_non_retryable_request_runs_on_when_its_caller_disconnects():
    world = samples.world_of(2, work_s=0.5)
    request = samples.post(world, "box-0")
    world.run(0.1)
    world.callers.disconnect(request)
    world.run(0.05)
    assert any(box.target.running for box in world.boxes.values())


def test_a_request_times_out_at_the_timeout_of_its_route():
    world = samples.world_of(1, work_s=10)
    request = samples.ask(world, "box-0", deadline_s=5.0)
    world.run(2.1)
    assert request.answer.status == 504
    assert request.answer.at - request.at <= 2.0


def test_a_target_is_given_no_more_than_the_remaining_time():
    world = samples.world_of(2)
    samples.ask(world, "box-0", deadline_s=0.4)
    world.run(1)
    assert all(one.left_s <= 0.4 for one in world.targets.runs)
