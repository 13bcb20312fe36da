"""Incarnations of a target, which are told apart by its id and birth time."""

from __future__ import annotations

import pytest

from ferrydeck.mesh import events, incarnations, messages
from tests.mesh import samples

BORN = 1_772_790_870_304


@pytest.fixture
def watch():
    world = samples.world_of(2)
    return world.boxes["box-0"].core.inbound.target


def heartbeat(
    sequence: int, *, started_ms: int = BORN, ready: bool = True, **more
) -> events.Heartbeat:
    values = {
        "conn": 0,
        "target_id": "i-a",
        "service": "desk",
        "address": "10.0.0.1:80",
        "slots": 8,
        "sequence": sequence,
        "ready": ready,
        "terminating": False,
        "warmup_s": 0.0,
        "started_ms": started_ms,
    }
    return events.Heartbeat(**(values | more))


def open_target(watch, **more) -> None:
    watch.mark_replaced(2.0, "i-a")
    for sequence in (900, 901, 902):
        watch.heartbeat(2.0, heartbeat(sequence, **more))
    assert watch.phase is messages.Phase.READY


def test_target_restarted_under_its_id_is_ready_by_first_heartbeat(watch):
    open_target(watch)
    watch.mark_down(3.0, "refused")
    watch.heartbeat(4.0, heartbeat(1, started_ms=BORN + 3000))
    assert watch.phase is messages.Phase.READY
    assert watch.incarnation == incarnations.name("i-a", BORN + 3000)


def test_new_incarnation_of_leaving_target_is_ready(watch):
    open_target(watch)
    watch.heartbeat(3.0, heartbeat(903, ready=False))
    watch.heartbeat(3.1, heartbeat(904))
    assert watch.phase is messages.Phase.LEAVING
    watch.heartbeat(6.0, heartbeat(1, started_ms=BORN + 3000))
    assert watch.phase is messages.Phase.READY


@pytest.mark.parametrize("word", ["ready", "draining", "gone"])
def test_delayed_heartbeat_of_old_incarnation_is_ignored(watch, word):
    open_target(watch)
    watch.heartbeat(6.0, heartbeat(1, started_ms=BORN + 3000))
    delayed = heartbeat(990, ready=word == "ready", terminating=word == "gone")
    assert watch.heartbeat(6.5, delayed)
    assert watch.phase is messages.Phase.READY
    assert watch.incarnation == incarnations.name("i-a", BORN + 3000)


def test_target_without_birth_time_is_known_by_its_id(watch):
    open_target(watch, started_ms=0)
    assert watch.incarnation == "i-a"
    watch.mark_down(3.0, "refused")
    watch.heartbeat(4.0, heartbeat(1, started_ms=0))
    assert watch.phase is messages.Phase.DOWN
    watch.heartbeat(4.0, heartbeat(903, started_ms=0))
    assert watch.phase is messages.Phase.READY


def test_health_check_does_not_open_departed_id(watch):
    watch.receive_peer_report(2.0, [incarnations.name("i-z", BORN)])
    watch.mark_replaced(2.0, "i-z")
    answer = events.ProbeAnswered(healthy=True, target_id="i-z", slots=8)
    watch.probe_answered(2.1, answer)
    assert watch.phase is messages.Phase.UNKNOWN
    watch.heartbeat(2.2, heartbeat(1, target_id="i-z", started_ms=BORN + 5))
    watch.heartbeat(2.3, heartbeat(2, target_id="i-z", started_ms=BORN + 5))
    assert watch.phase is messages.Phase.READY


def test_restarted_target_serves_requests_under_its_id():
    world = samples.world_of(1, started_ms=BORN, reuse_id=True)
    box = world.boxes["box-0"]
    for _ in range(3):
        world.targets.crash(box, 0.5)
        world.run(1.0)
        request = samples.ask(world, "box-0")
        world.run(0.5)
        assert request.answer.status == 200


def test_request_in_flight_at_crash_may_have_run():
    world = samples.world_of(1, started_ms=BORN, reuse_id=True, work_s=0.4)
    box = world.boxes["box-0"]
    request = samples.post(world, "box-0")
    world.run(0.05)
    world.targets.crash(box, 0.05)
    world.run(2.0)
    assert request.answer.status == 502


def test_memory_of_incarnations_is_bounded(watch):
    for number in range(1000):
        watch.heartbeat(3.0, heartbeat(1, target_id=f"i-{number}"))
    assert len(watch._sequences) <= 64
    assert len(watch._newest) <= 64


@pytest.mark.parametrize("gone", [False, True])
def test_target_opened_by_health_check_leaves_by_first_heartbeat(watch, gone):
    watch.mark_replaced(2.0, "i-a")
    watch.probe_answered(
        2.1, events.ProbeAnswered(healthy=True, target_id="i-a", slots=8)
    )
    assert watch.phase is messages.Phase.READY
    watch.heartbeat(2.2, heartbeat(1, ready=False, terminating=gone))
    assert watch.phase is messages.Phase.LEAVING
    watch.probe_answered(
        2.3, events.ProbeAnswered(healthy=True, target_id="i-a", slots=8)
    )
    watch.heartbeat(2.4, heartbeat(2))
    assert watch.phase is messages.Phase.LEAVING


def test_delayed_heartbeat_does_not_open_id_departed_without_birth_time(
    watch,
):
    watch.mark_replaced(2.0, "i-a")
    watch.probe_answered(
        2.1, events.ProbeAnswered(healthy=True, target_id="i-a", slots=8)
    )
    watch.heartbeat(2.2, heartbeat(0, started_ms=0, ready=False, terminating=True))
    watch.heartbeat(2.5, heartbeat(7))
    assert watch.phase is messages.Phase.LEAVING
    watch.heartbeat(20.0, heartbeat(8, started_ms=BORN + 9000))
    assert watch.phase is messages.Phase.READY
