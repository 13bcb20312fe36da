"""Boxes that freeze, are killed or are cut off."""

from __future__ import annotations

from ferrydeck.mesh.members import failure_detector, peers
from tests.mesh import samples, simulation


def test_requests_at_a_frozen_box_are_asked_of_another():
    world = samples.world_of(3, work_s=0.3)
    frozen = world.boxes["box-1"]
    asked = samples.load(world, "box-0", 20, every_s=0.01)
    frozen.frozen_until = world.now + 4
    world.run(3)
    assert samples.statuses(asked).count(200) >= 18
    after = samples.load(world, "box-0", 20, every_s=0.02)
    world.run(1.5)
    assert samples.statuses(after) == [200] * 20
    world.run(4)
    assert simulation.faults(world) == []


def test_what_reaches_a_frozen_box_late_is_not_started():
    world = samples.world_of(2, work_s=0.05)
    frozen = world.boxes["box-1"]
    frozen.frozen_until = world.now + 3
    world.boxes["box-0"].target.slots = 1
    asked = [samples.post(world, "box-0", deadline_s=0.5) for _ in range(20)]
    world.run(6)
    late = [one for one in world.targets.runs if one.at > asked[0].at + 0.6]
    assert late == []
    assert simulation.faults(world) == []


def test_kills_of_daemons_leave_no_wrong_answer():
    world = samples.world_of(5, data_centres=2, seed=3)
    asked = []
    for step in range(200):
        for name in world.boxes:
            if world.boxes[name].up:
                send = samples.post if step % 3 == 0 else samples.ask
                asked.append(send(world, name))
        if step % 40 == 20:
            victim = world.rng.choice(list(world.boxes.values()))
            if victim.up:
                world.kill(victim)
        world.run(0.02)
    world.run(5)
    assert simulation.faults(world) == []
    assert samples.statuses(asked).count(200) > 0.9 * len(asked)


def test_a_cut_between_zones_leaves_each_serving_itself():
    world = samples.world_of(4, data_centres=2)
    world.links.cut = lambda one, other: one.data_centre != other.data_centre
    asked = samples.load(world, "box-0", 50, every_s=0.05)
    world.run(2)
    assert samples.statuses(asked) == [200] * 50
    world.links.mend()
    world.run(4)
    link_states = [
        peer.link
        for box in world.boxes.values()
        for peer in box.core.peers.by_address.values()
    ]
    assert link_states == [peers.LinkState.UP] * 12


def test_a_zone_that_is_cut_off_is_found_silent_by_one_request():
    world = samples.world_of(40, data_centres=2)
    world.run(3)
    far = [box for box in world.boxes.values() if box.data_centre == "hall-1"]
    world.links.cut = lambda one, other: one.data_centre != other.data_centre
    own = world.boxes["box-0"].core.peers
    for box in far:
        own.by_address[box.address].last_sent_at = world.now
    own.by_address[far[0].address].unanswered_since = world.now
    world.run(1.0)
    suspects = [own.by_address[box.address] for box in far]
    assert all(
        failure_detector.is_suspect(world.now, one) or not one.accepts_requests
        for one in suspects
    )
