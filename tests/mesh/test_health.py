from __future__ import annotations

import pytest

from ferrydeck.mesh.inbound import health
from tests.mesh import samples


def test_the_failure_ratio_follows_the_results():
    state = health.Health()
    for step in range(50):
        state.count(step * 0.01, failed=True)
    assert state.failure_ratio(0.5) > 0.9
    for step in range(50):
        state.count(0.5 + step * 0.01, failed=False)
    assert state.failure_ratio(1.0) < 0.1


def test_the_failure_ratio_decays_without_requests():
    state = health.Health()
    for _ in range(50):
        state.count(1.0, failed=True)
    ratio = state.failure_ratio(1.0)
    assert state.failure_ratio(1.0 + health.HALF_LIFE_S) == pytest.approx(ratio / 2)


def test_a_daemon_avoids_a_target_that_others_report_as_failing():
    world = samples.world_of(4, slots=30)
    world.boxes["box-1"].target.fails = True
    for _ in range(100):
        samples.ask(world, "box-0")
        world.run(0.02)
    requests = [samples.ask(world, "box-2") for _ in range(20)]
    ids = {request.request_id for request in requests}
    world.run(1)
    at_failing = [
        r for r in world.targets.runs if r.request_id in ids and r.box == "box-1"
    ]
    assert len(at_failing) <= 3


def test_requests_are_spread_over_targets_that_all_fail():
    world = samples.world_of(4, slots=30)
    world.run(1)
    picker = world.boxes["box-0"].core.outbound.picker
    others = list(world.boxes["box-0"].core.peers.by_address.values())
    for peer, ratio in zip(others, (0.3, 0.4, 0.5), strict=True):
        peer.reported_failure_ratio, peer.load_reported_at = ratio, world.now
    for _ in range(4):
        world.boxes["box-0"].core.inbound.health.count(world.now, failed=True)
    own = {world.boxes["box-0"].address}
    chosen = [picker.pick(world.now, "desk", own).peer.box for _ in range(300)]
    assert min(chosen.count(peer.box) for peer in others) > 60
