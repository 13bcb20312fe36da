"""Boxes that freeze, are killed or are partitioned."""

from __future__ import annotations

from ferrydeck.mesh.members import failure_detector, peers
from tests.mesh import samples, simulation


def test_requests_at_frozen_box_are_retried_elsewhere():
    world = samples.world_of(3, work_s=0.3)
    frozen = world.boxes["box-1"]
    requests = samples.load(world, "box-0", 20, every_s=0.01)
    frozen.frozen_until = world.now + 4
    world.run(3)
    assert samples.statuses(requests).count(200) >= 18
    later = samples.load(world, "box-0", 20, every_s=0.02)
    world.run(1.5)
    assert samples.statuses(later) == [200] * 20
    world.run(4)
    assert simulation.violations(world) == []


def test_frozen_box_does_not_run_expired_requests():
    world = samples.world_of(2, work_s=0.05)
    frozen = world.boxes["box-1"]
    frozen.frozen_until = world.now + 3
    world.boxes["box-0"].target.slots = 1
    requests = [samples.post(world, "box-0", deadline_s=0.5) for _ in range(20)]
    world.run(6)
    late = [one for one in world.targets.runs if one.at > requests[0].at + 0.6]
    assert late == []
    assert simulation.violations(world) == []


def test_killed_daemons_cause_no_wrong_answers():
    world = samples.world_of(5, data_centres=2, seed=3)
    requests = []
    for step in range(200):
        for name in world.boxes:
            if world.boxes[name].up:
                send = samples.post if step % 3 == 0 else samples.ask
                requests.append(send(world, name))
        if step % 40 == 20:
            killed = world.rng.choice(list(world.boxes.values()))
            if killed.up:
                world.kill(killed)
        world.run(0.02)
    world.run(5)
    assert simulation.violations(world) == []
    assert samples.statuses(requests).count(200) > 0.9 * len(requests)


def test_partitioned_data_centres_serve_their_own_requests():
    world = samples.world_of(4, data_centres=2)
    world.links.cut = lambda one, other: one.data_centre != other.data_centre
    requests = samples.load(world, "box-0", 50, every_s=0.05)
    world.run(2)
    assert samples.statuses(requests) == [200] * 50
    world.links.heal()
    world.run(4)
    link_states = [
        peer.link
        for box in world.boxes.values()
        for peer in box.core.peers.by_address.values()
    ]
    assert link_states == [peers.LinkState.UP] * 12


def test_one_unanswered_request_makes_partitioned_data_centre_suspect():
    world = samples.world_of(40, data_centres=2)
    world.run(3)
    remote = [box for box in world.boxes.values() if box.data_centre == "hall-1"]
    world.links.cut = lambda one, other: one.data_centre != other.data_centre
    table = world.boxes["box-0"].core.peers
    for box in remote:
        table.by_address[box.address].last_sent_at = world.now
    table.by_address[remote[0].address].unanswered_since = world.now
    world.run(1.0)
    suspects = [table.by_address[box.address] for box in remote]
    assert all(
        failure_detector.is_suspect(world.now, one) or not one.accepts_requests
        for one in suspects
    )
