"""Targets that leave or are replaced, and daemons that stop as planned."""

from __future__ import annotations

import pytest

from tests import statements
from tests.mesh import samples, simulation


def test_leaving_target_gets_no_requests_after_acknowledgement():
    world = samples.world_of(3)
    leaving = world.boxes["box-1"]
    acks = world.targets.drain(leaving)
    world.run(0.01)
    assert acks == [True]
    acked_at = world.now
    requests = samples.load(world, "box-0", 100) + samples.load(world, "box-1", 20)
    world.run(1)
    late_runs = [
        one for one in world.targets.runs if one.box == "box-1" and one.at > acked_at
    ]
    assert late_runs == []
    assert samples.statuses(requests) == [200] * 120


def test_target_stays_leaving_after_its_daemon_is_killed():
    world = samples.world_of(3)
    leaving = world.boxes["box-1"]
    world.targets.drain(leaving, deregister=True)
    world.run(0.2)
    world.kill(leaving, 0.3)
    killed_at = world.now
    world.run(2)
    samples.load(world, "box-0", 100)
    late_runs = [
        one for one in world.targets.runs if one.box == "box-1" and one.at > killed_at
    ]
    assert late_runs == []


def test_delayed_heartbeat_does_not_reopen_leaving_target():
    world = samples.world_of(2)
    leaving = world.boxes["box-1"]
    world.targets.drain(leaving)
    world.run(0.1)
    leaving.sequence = 0
    world.targets.send_heartbeat(
        leaving, ready=True, terminating=False, answered=lambda accepted: None
    )
    world.run(0.1)
    assert leaving.core.inbound.target.phase != "ready"


def test_new_incarnation_gets_only_its_own_requests():
    world = samples.world_of(2)
    world.targets.replace(world.boxes["box-1"])
    requests = samples.load(world, "box-0", 40, every_s=0.05)
    world.run(3)
    assert samples.statuses(requests) == [200] * 40
    assert simulation.violations(world) == []


def test_dead_target_is_avoided_until_next_heartbeat():
    world = samples.world_of(3)
    world.boxes["box-1"].target.up = False
    requests = samples.load(world, "box-0", 60)
    world.run(1)
    assert samples.statuses(requests) == [200] * 60
    world.boxes["box-1"].target.up = True
    world.run(3)
    assert world.boxes["box-1"].core.inbound.target.phase == "ready"


def test_planned_stop_completes_all_requests_in_time():
    world = samples.world_of(3, work_s=0.3)
    requests = samples.load(world, "box-1", 20, every_s=0.02)
    world.stop(world.boxes["box-1"])
    requests += samples.load(world, "box-1", 40, every_s=0.02)
    assert not world.boxes["box-1"].core.ready(world.now)
    world.run(5)
    assert samples.statuses(requests) == [200] * 60
    assert not world.boxes["box-1"].up


def test_requests_long_after_stop_signal_are_rejected():
    world = samples.world_of(3, work_s=0.4)
    box = world.boxes["box-1"]
    world.stop(box)
    requests = samples.load(world, "box-1", 120, every_s=0.05)
    assert not box.up
    handled = [one for one in requests if one.at < 6.0 + 2.0 and one.answer is not None]
    assert {one.answer.status for one in handled} == {200, 503}
    unanswered = [one for one in requests if one.answer is None and one.at < 2.0 + 3.5]
    assert unanswered == []


def test_newer_heartbeat_does_not_reopen_departed_incarnation():
    world = samples.world_of(2)
    leaving = world.boxes["box-1"]
    world.targets.drain(leaving)
    world.run(0.1)
    leaving.sequence += 10
    world.targets.send_heartbeat(
        leaving, ready=True, terminating=False, answered=lambda accepted: None
    )
    world.run(0.1)
    assert leaving.core.inbound.target.phase != "ready"


def send_at_all(world, seconds: float) -> list:
    """Send requests at all boxes that are up, which keep the targets in use."""
    requests = []
    for _ in range(int(seconds / 0.02)):
        requests += [samples.ask(world, name) for name in up_boxes(world)]
        world.run(0.02)
    return requests


def up_boxes(world) -> list[str]:
    return [name for name, box in world.boxes.items() if box.up]


@pytest.mark.parametrize("kills", [0, 2])
def test_a_target_that_leaves_by_its_answers_alone_gets_no_requests(kills):
    world = samples.world_of(4, data_centres=2, work_s=0.05)
    send_at_all(world, 1.0)
    leaving = world.boxes["box-1"]
    leaving.target.says_leaving = True
    requests = send_at_all(world, 4.0)
    for _ in range(kills):
        # Its heartbeats and health checks say that it is ready.
        world.kill(leaving, 0.3)
        requests += send_at_all(world, 4.0)
    world.run(2)
    assert statements.sent_after_leaving(simulation.record_of(world)) == []
    kept = [one for one in requests if one.disconnected_at is None]
    assert samples.statuses(kept) == [200] * len(kept)


def test_the_next_target_of_a_box_takes_work_after_one_that_left_by_its_answers():
    world = samples.world_of(3, work_s=0.05)
    box = world.boxes["box-1"]
    box.target.says_leaving = True
    send_at_all(world, 2.0)
    box.target.says_leaving = False
    world.targets.crash(box, 0.5)
    send_at_all(world, 3.0)
    since = world.now
    send_at_all(world, 2.0)
    record = simulation.record_of(world)
    assert record.count(box.target.target_id, since, world.now) > 50


def test_a_target_that_left_before_its_birth_time_was_known_stays_closed():
    world = samples.world_of(3, work_s=0.05, started_ms=1_000)
    leaving = world.boxes["box-1"]
    # A daemon that has started opens its target by a health check, without birth time.
    world.kill(leaving, 0.3)
    leaving.target.says_leaving = True
    send_at_all(world, 16.0)
    assert statements.sent_after_leaving(simulation.record_of(world)) == []
