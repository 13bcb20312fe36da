from __future__ import annotations

import pytest

from ferrydeck.mesh.inbound import health
from tests.mesh import samples


def test_the_share_of_failures_rises_and_falls_with_what_ends():
    held = health.Health()
    for step in range(50):
        held.count(step * 0.01, failed=True)
    assert held.failure_ratio(0.5) > 0.9
    for step in range(50):
        held.count(0.5 + step * 0.01, failed=False)
    assert held.failure_ratio(1.0) < 0.1


def test_it_halves_while_nothing_ends():
    held = health.Health()
    for _ in range(50):
        held.count(1.0, failed=True)
    now = held.failure_ratio(1.0)
    assert held.failure_ratio(1.0 + health.HALF_LIFE_S) == pytest.approx(now / 2)


def test_a_daemon_avoids_a_failing_server_that_it_never_asked():
    world = samples.world_of(4, slots=30)
    world.boxes["box-1"].target.fails = True
    for _ in range(100):
        samples.ask(world, "box-0")
        world.run(0.02)
    asked = [samples.ask(world, "box-2") for _ in range(20)]
    ids = {one.request_id for one in asked}
    world.run(1)
    at_failing = [
        o for o in world.targets.runs if o.request_id in ids and o.box == "box-1"
    ]
    assert len(at_failing) <= 3


def test_servers_that_all_fail_get_requests_alike():
    world = samples.world_of(4, slots=30)
    world.run(1)
    picker = world.boxes["box-0"].core.outbound.picker
    others = list(world.boxes["box-0"].core.peers.by_address.values())
    for peer, share in zip(others, (0.3, 0.4, 0.5), strict=True):
        peer.reported_failure_ratio, peer.load_reported_at = share, world.now
    for _ in range(4):
        world.boxes["box-0"].core.inbound.health.count(world.now, failed=True)
    own = {world.boxes["box-0"].address}
    chosen = [picker.pick(world.now, "desk", own).peer.box for _ in range(300)]
    assert min(chosen.count(peer.box) for peer in others) > 60
