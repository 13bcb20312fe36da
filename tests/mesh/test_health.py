from __future__ import annotations

import pytest

from ferrydeck.mesh import health
from tests.mesh import samples


def test_the_share_of_failures_rises_and_falls_with_what_ends():
    held = health.Health()
    for step in range(50):
        held.ended(step * 0.01, failed=True)
    assert held.failed(0.5) > 0.9
    for step in range(50):
        held.ended(0.5 + step * 0.01, failed=False)
    assert held.failed(1.0) < 0.1


def test_it_halves_while_nothing_ends():
    held = health.Health()
    for _ in range(50):
        held.ended(1.0, failed=True)
    now = held.failed(1.0)
    assert held.failed(1.0 + health.HALF_S) == pytest.approx(now / 2)


def test_a_daemon_avoids_a_failing_server_that_it_never_asked():
    world = samples.world_of(4, slots=30)
    world.boxes["box-1"].server.fails = True
    for _ in range(100):
        samples.ask(world, "box-0")
        world.run(0.02)
    asked = [samples.ask(world, "box-2") for _ in range(20)]
    ids = {one.request_id for one in asked}
    world.run(1)
    at_failing = [o for o in world.runs if o.request_id in ids and o.box == "box-1"]
    assert len(at_failing) <= 3
