"""What the lines tell of a server that ended, and of answers that were lost."""

from __future__ import annotations

import attrs

from ferrydeck.mesh import effects, events, messages
from tests.mesh import samples
from tests.mesh.poison import lethal


def ended_lines(world) -> list:
    return [note for _, _, note in world.decisions if note.kind == "server-ended"]


def test_each_server_that_ends_gets_one_line_with_all_that_ran_there():
    world = lethal.fleet(3, seed=2)
    box = world.boxes["box-1"]
    asked = samples.load(world, "box-1", 12, every_s=0.001)
    at_work = len(box.target.at_work)
    world.targets.crash(box, 1.0)
    world.run(0.2)
    assert asked
    [line] = ended_lines(world)
    assert line.inputs["count"] == at_work > 1
    assert len(line.inputs["ran"]) == at_work


def test_one_digest_stands_in_the_lines_of_all_ends_by_the_same_request():
    world = lethal.fleet(3, seed=2)
    for name in world.boxes:
        samples.ask(world, name, path=lethal.PATH)
        world.run(2.0)
    lines = ended_lines(world)
    assert len(lines) >= 3
    assert set.intersection(*(set(line.inputs["ran"]) for line in lines))


def test_a_health_check_on_a_connection_that_was_lost_too_is_made_again():
    world = lethal.fleet(1, seed=2)
    samples.ask(world, "box-0", path="/look/alone")
    box = world.boxes["box-0"]
    [dispatch] = box.target.at_work
    box.target.up = False
    now = world.clock(box)

    def asked_again(event: events.Event) -> bool:
        made = box.core.handle(now, event)
        return any(isinstance(one, effects.Probe) for one in made)

    lost = events.TargetFailed(
        dispatch=dispatch, sent=True, refused=False, detail="connection ended"
    )
    silent = events.ProbeAnswered(well=False, target_id="", slots=0, answered=False)
    assert asked_again(lost)
    assert asked_again(silent)
    assert asked_again(silent)
    assert box.core.inbound.suspects.crash_detector.lost
    assert not asked_again(attrs.evolve(silent, refused=True))
    [record] = box.core.inbound.suspects.records.by_fingerprint.values()
    assert record.crash_count == 1


def test_lost_answers_beside_others_that_go_on_are_no_end_of_a_server():
    world = samples.world_of(1, slots=30)
    samples.load(world, "box-0", 10, every_s=0.001)
    box = world.boxes["box-0"]
    dispatch = next(iter(box.target.at_work))
    world.targets.lose_answer(box, dispatch)
    world.run(1.0)
    assert [
        n for _, _, n in world.decisions if (n.kind, n.outcome) == ("gate", "broken")
    ]
    assert ended_lines(world) == []


def test_a_request_that_was_refused_a_connection_as_the_server_ended_has_not_run():
    world = lethal.fleet(1, seed=2)
    for number in range(2):
        samples.ask(world, "box-0", path=f"/look/{number}")
    box = world.boxes["box-0"]
    first, second = box.target.at_work
    inbound = box.core.inbound
    words = []
    inbound.results.send = lambda now, job, message: words.append(
        (job.dispatch, type(message))
    )
    now = world.clock(box)
    common = {"detail": "connection ended"}
    lost = events.TargetFailed(dispatch=first, sent=True, refused=False, **common)
    box.core.handle(now, lost)
    refused = events.TargetFailed(dispatch=second, sent=False, refused=True, **common)
    box.core.handle(now, refused)
    assert sorted(words, key=str) == sorted(
        [(first, messages.Broken), (second, messages.Rejected)], key=str
    )
