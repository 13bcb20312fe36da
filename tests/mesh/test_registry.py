"""Number of calls of the store, and how soon records are restored."""

from __future__ import annotations

from tests.mesh import samples
from tests.mesh.simulation import links


def count_calls(world, seconds: float) -> dict[str, int]:
    world.store.calls.clear()
    world.run(seconds)
    return dict(world.store.calls)


def test_idle_fleet_makes_cheap_calls_and_few_watches():
    world = samples.world_of(12, data_centres=2)
    world.run(20)
    calls = count_calls(world, 30)
    # Four daemons of each data centre watch, each for ten seconds at a time.
    assert calls.pop("WatchPolicy") <= 2 * 4 * 4
    assert set(calls) == {"KeepLease", "ReadBoxes"}


def test_policy_reaches_daemons_that_do_not_watch():
    world = samples.world_of(12, data_centres=2)
    world.run(20)
    world.store.set_policy(samples.policy_of(samples.route("new"), version=9))
    world.run(0.5)
    assert {box.core.ctx.version for box in world.boxes.values()} == {9}


def test_other_daemons_watch_after_watchers_are_killed():
    world = samples.world_of(6)
    world.run(20)
    for name in ("box-0", "box-1", "box-2", "box-3"):
        world.kill(world.boxes[name], 30)
    world.run(1)
    world.store.set_policy(samples.policy_of(samples.route("new"), version=9))
    world.run(1)
    assert {world.boxes[name].core.ctx.version for name in ("box-4", "box-5")} == {9}


def test_store_outage_causes_single_cheap_calls():
    world = samples.world_of(6)
    world.run(20)
    world.store.up = False
    world.run(4)
    calls = count_calls(world, 10)
    assert set(calls) <= {"KeepLease", "ReadBoxes"}
    # A call fails after one second and is retried half a second later.
    assert sum(calls.values()) <= 6 * 10


def test_lapsed_records_are_back_two_seconds_after_outage():
    world = samples.world_of(6)
    world.run(20)
    world.store.up = False
    world.store.expire_leases()
    world.run(5)
    assert world.store.records == {}
    world.store.up = True
    world.run(2)
    assert set(world.store.records) == set(world.boxes)


def test_rejected_daemon_calls_store_at_most_once_per_second():
    world = samples.world_of(6)
    world.run(20)
    world.store.rejects = lambda box: box.name in ("box-1", "box-2")
    world.run(4)
    before = dict(world.store.calls)
    world.run(10)
    rejected = world.store.calls["KeepLease"] - before["KeepLease"] - 4 * 5
    assert rejected <= 2 * 10


def test_records_are_back_two_seconds_after_rejections_end():
    world = samples.world_of(6)
    world.run(20)
    world.store.rejects = lambda box: True
    world.store.expire_leases()
    world.run(9)
    assert world.store.records == {}
    world.store.rejects = lambda box: False
    world.run(2)
    assert len(world.store.records) == 6


def test_deleted_record_is_written_again():
    world = samples.world_of(3)
    world.run(10)
    world.store.records.clear()
    world.run(8)
    assert set(world.store.records) == set(world.boxes)


def test_daemons_started_together_find_each_other():
    world = samples.world_of(4, data_centres=2)
    linked = [box.core.peers.any_link_up() for box in world.boxes.values()]
    assert all(linked)
    assert all(len(box.core.peers.by_address) == 3 for box in world.boxes.values())


# Guards against missing a policy change in a partitioned data centre where the store
# does not answer the watching daemons.
def test_partitioned_daemons_watch_policy_themselves():
    world = samples.world_of(12, data_centres=2)
    world.run(10.0)
    watching = [
        box.name
        for box in world.boxes.values()
        if box.data_centre == "hall-0" and box.core.peers.data_centre_rank() < 4
    ]
    assert len(watching) == 4
    world.store.cut = lambda box: box.name in watching
    world.links.cut = links.isolate_data_centre("hall-0")
    world.run(4.0)
    world.store.set_policy(samples.policy_of(samples.route("new"), version=9))
    world.run(2.0)
    assert {box.core.ctx.version for box in world.boxes.values()} == {9}
