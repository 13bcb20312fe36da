"""Log entries for target crashes and lost responses."""

from __future__ import annotations

import attrs

from ferrydeck.mesh import effects, events, messages
from tests.mesh import samples
from tests.mesh.poison import fleets


def crash_lines(world) -> list:
    return [note for _, _, note in world.decisions if note.kind == "server-ended"]


def test_each_crash_is_logged_once_with_all_running_requests():
    world = fleets.build_world(3, seed=2)
    box = world.boxes["box-1"]
    requests = samples.load(world, "box-1", 12, every_s=0.001)
    running = len(box.target.running)
    world.targets.crash(box, 1.0)
    world.run(0.2)
    assert requests
    [line] = crash_lines(world)
    assert line.inputs["count"] == running > 1
    assert len(line.inputs["ran"]) == running


def test_crashes_by_the_same_request_log_the_same_digest():
    world = fleets.build_world(3, seed=2)
    for name in world.boxes:
        samples.ask(world, name, path=fleets.PATH)
        world.run(2.0)
    lines = crash_lines(world)
    assert len(lines) >= 3
    assert set.intersection(*(set(line.inputs["ran"]) for line in lines))


def test_a_health_check_whose_connection_was_lost_is_repeated():
    world = fleets.build_world(1, seed=2)
    samples.ask(world, "box-0", path="/look/alone")
    box = world.boxes["box-0"]
    [dispatch] = box.target.running
    box.target.up = False
    now = world.clock(box)

    def triggers_probe(event: events.Event) -> bool:
        emitted = box.core.handle(now, event)
        return any(isinstance(one, effects.Probe) for one in emitted)

    lost = events.TargetFailed(
        dispatch=dispatch, sent=True, refused=False, detail="connection ended"
    )
    silent = events.ProbeAnswered(healthy=False, target_id="", slots=0, answered=False)
    assert triggers_probe(lost)
    assert triggers_probe(silent)
    assert triggers_probe(silent)
    assert box.core.inbound.suspects.crash_detector.lost
    assert not triggers_probe(attrs.evolve(silent, refused=True))
    [record] = box.core.inbound.suspects.records.by_fingerprint.values()
    assert record.crash_count == 1


def test_a_single_lost_response_is_not_a_crash():
    world = samples.world_of(1, slots=30)
    samples.load(world, "box-0", 10, every_s=0.001)
    box = world.boxes["box-0"]
    dispatch = next(iter(box.target.running))
    world.targets.lose_answer(box, dispatch)
    world.run(1.0)
    assert [
        n for _, _, n in world.decisions if (n.kind, n.outcome) == ("gate", "broken")
    ]
    assert crash_lines(world) == []


def test_a_request_whose_connection_was_refused_has_not_run():
    world = fleets.build_world(1, seed=2)
    for number in range(2):
        samples.ask(world, "box-0", path=f"/look/{number}")
    box = world.boxes["box-0"]
    first, second = box.target.running
    inbound = box.core.inbound
    sent = []
    inbound.results.send = lambda now, job, message: sent.append(
        (job.dispatch, type(message))
    )
    now = world.clock(box)
    common = {"detail": "connection ended"}
    lost = events.TargetFailed(dispatch=first, sent=True, refused=False, **common)
    box.core.handle(now, lost)
    refused = events.TargetFailed(dispatch=second, sent=False, refused=True, **common)
    box.core.handle(now, refused)
    assert sorted(sent, key=str) == sorted(
        [(first, messages.AttemptFailed), (second, messages.Rejected)], key=str
    )
