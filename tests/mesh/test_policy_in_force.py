"""Which policy is in force, and how requests are handled without one."""

from __future__ import annotations

import pytest

from ferrydeck.mesh import policy
from tests.mesh import samples, simulation


def test_request_without_policy_is_rejected_as_retryable():
    world = simulation.World(seed=1)
    world.add_box("box-0", "hall-0", "desk")
    world.run(2)
    box = world.boxes["box-0"]
    assert not box.core.ready(world.now)
    request = samples.ask(world, "box-0")
    assert request.answer.status == 503
    assert request.answer.retry_after_s > 0


def test_unknown_path_has_no_route():
    world = samples.world_of(1)
    request = samples.ask(world, "box-0", path="/nowhere/1")
    assert request.answer.status == 404


def test_policy_of_peer_applies_at_box_cut_off_from_store():
    world = samples.world_of(3)
    isolated = world.boxes["box-1"]
    world.store.cut = lambda box: box is isolated
    world.store.set_policy(samples.policy_of(samples.route("new"), version=9))
    world.run(1.5)
    assert [box.core.ctx.version for box in world.boxes.values()] == [9, 9, 9]


def test_older_policy_is_ignored():
    world = samples.world_of(2)
    world.store.set_policy(samples.policy_of(samples.route("new"), version=9))
    world.run(1)
    world.store.set_policy(samples.policy_of(samples.route("old"), version=8))
    world.run(1)
    assert {box.core.ctx.version for box in world.boxes.values()} == {9}


def test_box_started_in_store_outage_gets_policy_from_peers():
    world = samples.world_of(3)
    world.store.up = False
    world.kill(world.boxes["box-2"], 0.5)
    world.run(4)
    box = world.boxes["box-2"]
    assert box.core.ready(world.now)
    assert box.core.ctx.version == 4
    request = samples.ask(world, "box-2")
    world.run(1)
    assert request.answer.status == 200


def test_traffic_split_follows_weights():
    world = simulation.World(seed=2)
    parts = (
        policy.SplitPart(service="desk", weight=90),
        policy.SplitPart(service="book", weight=10),
    )
    world.store.set_policy(samples.policy_of(samples.route(parts=parts)))
    world.add_box("box-0", "hall-0", "desk")
    world.add_box("box-1", "hall-0", "book")
    world.run(2)
    samples.load(world, "box-0", 200, every_s=0.02)
    share = sum(one.box == "box-1" for one in world.targets.runs) / len(
        world.targets.runs
    )
    assert share == pytest.approx(0.1, abs=0.02)


def test_daemon_without_policy_gets_it_on_incoming_link():
    world = samples.world_of(2)
    world.store.up = False
    box = world.boxes["box-1"]
    world.kill(box, 0.5)
    world.run(2.5)
    assert box.core.ctx.version == 4
