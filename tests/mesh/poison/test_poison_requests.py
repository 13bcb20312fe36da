"""Guards against retries that carry a poison request from target to target."""

from __future__ import annotations

import pytest

from ferrydeck.mesh import policy
from tests.mesh import samples, simulation
from tests.mesh.poison import fleets

COPIES = 12
COPY_INTERVAL_S = 0.7
"""Interval between copies of the request, seconds; crash reports arrive earlier."""
SEEDS = range(1, 6)
NESTED_SPLIT = (policy.SplitPart(service="cellar", weight=1.0),)


def send_copies(world, copies: int = COPIES) -> list:
    """Send copies of the poison request to one box after the other."""
    requests = []
    names = list(world.boxes)
    for copy in range(copies):
        name = names[copy % len(names)]
        requests += samples.load(world, name, 35, every_s=COPY_INTERVAL_S / 35)
        requests.append(samples.ask(world, name, path=fleets.PATH))
    world.run(4.0)
    return requests


def test_a_poison_request_crashes_at_most_three_targets():
    counts = []
    for seed in SEEDS:
        world = fleets.build_world(10, seed)
        send_copies(world)
        counts.append(fleets.crash_count(world))
    assert max(counts) <= 3, counts


def send_spaced(fleet: fleets.Fleet, copies: int = 10, every_s: float = 0.4) -> None:
    """Send copies of the poison request one after the other to random boxes."""
    for _ in range(copies):
        fleet.send_poison()
        fleet.run_load(every_s)
    fleet.finish()


@pytest.mark.parametrize("boxes", [10, 68, 194])
def test_three_targets_crash_regardless_of_fleet_size(boxes):
    fleet = fleets.loaded_fleet(boxes, seed=11)
    send_spaced(fleet, copies=6)
    assert fleets.crash_count(fleet.world) == 3
    assert fleet.suspect_rejections() == []
    assert fleet.served_ratio() > 0.99


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
@pytest.mark.parametrize("boxes", [5, 10])
def test_concurrent_copies_crash_at_most_three_targets(boxes, seed):
    fleet = fleets.loaded_fleet(boxes, seed)
    names = list(fleet.world.boxes)
    for copy in range(10):
        fleet.send_poison(box=names[copy % boxes])
        fleet.world.run(0.001)
    fleet.finish()
    send_spaced(fleet, copies=3)
    assert fleets.crash_count(fleet.world) <= 3
    assert fleet.suspect_rejections() == []


def test_immediate_retries_of_a_caller_crash_no_more_targets():
    fleet = fleets.loaded_fleet(10, seed=5)
    for _ in range(20):
        fleet.send_poison()
        while fleet.poison[-1].answer is None:
            fleet.run_load(0.02)
    fleet.finish()
    assert fleets.crash_count(fleet.world) == 3
    assert fleet.served_ratio() > 0.99


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_each_of_five_poison_requests_crashes_at_most_three_targets(seed):
    fleet = fleets.loaded_fleet(20, seed)
    paths = [f"{fleets.PATH}-{number}" for number in range(5)]
    for _ in range(5):
        for path in paths:
            fleet.send_poison(path)
            fleet.run_load(0.15)
    fleet.finish()
    assert max(fleets.crashes_caused(fleet, path) for path in paths) <= 3
    assert fleet.suspect_rejections() == []


@pytest.mark.parametrize("keeps_id", [False, True])
def test_targets_that_restart_after_a_second_do_not_crash_again(keeps_id):
    fleet = fleets.loaded_fleet(3, seed=6, reuse_id=keeps_id, started_ms=1, down_s=1.0)
    send_spaced(fleet, copies=12, every_s=0.8)
    assert fleets.crash_count(fleet.world) <= 3


def test_restarted_or_frozen_daemons_learn_records_from_peers():
    fleet = fleets.loaded_fleet(6, seed=7)
    send_spaced(fleet, copies=4)
    assert fleets.crash_count(fleet.world) == 3
    boxes = list(fleet.world.boxes.values())
    for box in boxes[:3]:
        fleet.world.kill(box, 0.3)
    boxes[3].frozen_until = fleet.world.now + 3.0
    fleet.run_load(4.0)
    for box in boxes:
        fleet.send_poison(box=box.name)
        fleet.run_load(0.2)
    fleet.finish()
    assert fleets.crash_count(fleet.world) == 3


def test_crashes_are_bounded_without_the_store():
    fleet = fleets.loaded_fleet(6, seed=8)
    fleet.world.store.up = False
    send_spaced(fleet)
    assert fleets.crash_count(fleet.world) == 3


def test_each_side_of_a_partition_loses_at_most_three_targets():
    fleet = fleets.loaded_fleet(12, seed=9)
    world = fleet.world
    world.links.cut = lambda one, other: (
        (one.data_centre == "hall-0") != (other.data_centre == "hall-0")
    )
    fleet.run_load(3.0)
    for _ in range(4):
        for part in ("hall-0", "hall-1"):
            names = [
                box.name for box in world.boxes.values() if box.data_centre == part
            ]
            fleet.send_poison(box=fleet.rng.choice(names))
            fleet.run_load(0.5)
    assert fleets.crash_count(world) <= 6
    before = fleets.crash_count(world)
    world.links.heal()
    fleet.run_load(4.0)
    send_spaced(fleet)
    assert fleets.crash_count(world) == before


def test_a_non_retryable_poison_request_is_not_retried_and_then_blocked():
    fleet = fleets.loaded_fleet(8, seed=10, lethal=("/pay/lethal",))
    for _ in range(6):
        fleet.send_poison("/pay/lethal", once=True)
        fleet.run_load(0.5)
    fleet.finish()
    assert [one.answer.status for one in fleet.poison] == [502] * 3 + [503] * 3
    assert fleets.crash_count(fleet.world) == 3
    assert simulation.violations(fleet.world) == []


def test_a_blocked_request_is_not_run_and_has_a_long_retry_after():
    fleet = fleets.loaded_fleet(8, seed=10)
    send_spaced(fleet, copies=6)
    last = fleet.poison[-1]
    assert (last.answer.status, last.answer.reason) == (503, "condemned")
    assert last.answer.retry_after_s > 600
    assert not [
        one for one in fleet.world.targets.runs if one.request_id == last.request_id
    ]


def test_retries_of_upper_levels_do_not_multiply_a_nested_poison_request():
    world = simulation.World(seed=3, call_host=samples.HOST)
    world.store.set_policy(
        samples.policy_of(samples.route(), samples.route("deep", parts=NESTED_SPLIT))
    )
    calls = (
        simulation.Calls(
            of="/look/", path=f"/deep{fleets.PATH}", times=1, deadline_s=1
        ),
    )
    for number in range(12):
        service = "desk" if number % 2 else "cellar"
        values = {"lethal": ("/deep",)} if service == "cellar" else {"calls": calls}
        world.add_box(f"box-{number}", "hall-0", service, slots=30, **values)
    world.run(2.0)
    requests = []
    for _ in range(10):
        requests.append(samples.ask(world, "box-1"))
        world.run(0.5)
    world.run(3.0)
    assert fleets.crash_count(world) == 3
    assert {one.answer.status for one in requests} <= {500, 502}
