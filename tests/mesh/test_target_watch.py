"""When a daemon opens its target, also if the health check is wrong."""

from __future__ import annotations

from ferrydeck.mesh import messages
from tests.mesh import samples


def phase(world, name: str) -> str:
    return world.boxes[name].core.inbound.target.phase


def test_a_restarted_daemon_opens_by_heartbeats_if_the_health_check_fails():
    world = samples.world_of(3)
    world.boxes["box-1"].target.health = False
    world.kill(world.boxes["box-1"], 0.3)
    world.run(5)
    assert phase(world, "box-1") == messages.Phase.READY


def test_one_heartbeat_does_not_open_the_target():
    world = samples.world_of(3)
    box = world.boxes["box-1"]
    box.target.health = False
    world.kill(box, 0.3)
    world.run(0.4)
    box.target.draining = True
    world.targets.send_heartbeat(
        box, ready=True, terminating=False, answered=lambda accepted: None
    )
    world.run(4)
    assert phase(world, "box-1") != messages.Phase.READY


def test_a_successful_health_check_does_not_open_an_incarnation_that_left():
    world = samples.world_of(3)
    box = world.boxes["box-1"]
    world.targets.drain(box, deregister=True)
    world.run(0.2)
    box.target.health = True
    world.kill(box, 0.3)
    world.run(5)
    assert phase(world, "box-1") == messages.Phase.LEAVING
    assert not [run for run in world.targets.runs if run.box == "box-1"]


def test_a_single_daemon_opens_its_target():
    world = samples.world_of(1)
    world.kill(world.boxes["box-0"], 0.3)
    world.run(1.5)
    assert phase(world, "box-0") == messages.Phase.READY
