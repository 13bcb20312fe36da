"""Choice of targets when all of them are healthy."""

from __future__ import annotations

from tests.mesh import samples, simulation


def test_requests_are_served_in_the_same_data_centre():
    world = samples.world_of(4, data_centres=2)
    requests = samples.load(world, "box-0", 50)
    world.run(1)
    assert samples.statuses(requests) == [200] * 50
    used = {one.box for one in world.targets.runs}
    assert used <= {"box-0", "box-2"}
    assert simulation.violations(world) == []


def test_a_faster_target_gets_more_requests_at_low_load():
    world = samples.world_of(3, slots=40)
    world.boxes["box-0"].target.work_s = 0.12
    world.boxes["box-2"].target.work_s = 0.03
    requests = samples.load(world, "box-1", 400, every_s=0.02)
    world.run(1)
    assert samples.statuses(requests) == [200] * 400
    last = [one.box for one in world.targets.runs[200:]]
    assert last.count("box-2") > 4 * last.count("box-0")
