"""Conditions for retries, and their limits."""

from __future__ import annotations

from tests.mesh import samples, simulation


def test_a_non_retryable_request_whose_response_is_lost_runs_once():
    world = samples.world_of(3)
    for box in world.boxes.values():
        box.target.loses_answers = True
    requests = samples.load(world, "box-0", 30, send=samples.post)
    world.run(3)
    assert samples.statuses(requests) == [502] * 30
    assert simulation.violations(world) == []


def test_a_retryable_request_whose_response_is_lost_is_retried():
    world = samples.world_of(3)
    world.boxes["box-0"].target.loses_answers = True
    requests = samples.load(world, "box-1", 10, every_s=0.3)
    world.run(2)
    assert samples.statuses(requests) == [200] * 10


def test_a_non_retryable_request_is_sent_on_after_a_rejection():
    world = samples.world_of(2)
    world.boxes["box-0"].target.sheds = True
    requests = samples.load(world, "box-0", 3, every_s=0.5, send=samples.post)
    world.run(2)
    assert samples.statuses(requests) == [200] * 3
    assert simulation.violations(world) == []


def test_retries_stay_within_the_budget_when_all_targets_fail():
    world = samples.world_of(5)
    for box in world.boxes.values():
        box.target.fails = True
    count = 0
    for _ in range(200):
        for name in world.boxes:
            samples.ask(world, name)
            count += 1
        world.run(0.02)
    world.run(3)
    retries = len(world.targets.runs) - len(
        {one.request_id for one in world.targets.runs}
    )
    assert retries <= 0.2 * count + 48
    assert retries > 0


def test_failed_requests_are_not_retried_when_all_targets_fail():
    world = samples.world_of(4)
    for box in world.boxes.values():
        box.target.fails = True
    requests = [one for name in world.boxes for one in samples.load(world, name, 60)]
    world.run(2)
    retries = len(world.targets.runs) - len(
        {one.request_id for one in world.targets.runs}
    )
    assert retries <= 0.05 * len(requests)


def test_failed_requests_are_retried_when_one_target_fails():
    world = samples.world_of(4)
    world.boxes["box-1"].target.fails = True
    requests = samples.load(world, "box-0", 100, every_s=0.02)
    world.run(2)
    assert samples.statuses(requests).count(200) >= 97


def test_requests_of_a_lost_box_use_the_unspent_retry_budget_of_others():
    world = samples.world_of(15, slots=40, work_s=1.0)
    requests = [samples.ask(world, "box-0") for _ in range(150)]
    world.run(0.3)
    on_lost = [one for one in world.targets.runs if one.box == "box-1"]
    # More retries than the budget share of a single daemon, about 2.4, allows.
    assert len(on_lost) >= 8
    world.kill(world.boxes["box-1"], 30)
    world.run(2.5)
    ids = {one.request_id for one in on_lost}
    lost = [one for one in requests if one.request_id in ids]
    assert samples.statuses(lost).count(200) == len(lost)
    assert simulation.violations(world) == []
