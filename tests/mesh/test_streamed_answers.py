"""Slots of targets while their long answers are sent in parts."""

from __future__ import annotations

import pytest

from tests.mesh import samples

SLOTS = 4
WORK_S = 0.05
DEADLINE_S = 2.0
ANSWER_PARTS = 5


def world_of_long_answers(boxes: int = 2):
    return samples.world_of(
        boxes, slots=SLOTS, work_s=WORK_S, answer_parts=ANSWER_PARTS
    )


def posts(world, count: int):
    return [samples.post(world, "box-0", deadline_s=DEADLINE_S) for _ in range(count)]


def runs_at_all(world) -> int:
    return sum(len(box.core.inbound.runs) for box in world.boxes.values())


def check_all_served(world) -> None:
    """Check that as many postings as there are slots are served at once."""
    requests = posts(world, 2 * (SLOTS - 1))
    world.run(1.0)
    assert samples.statuses(requests) == [200] * len(requests)
    assert runs_at_all(world) == 0


def test_a_long_answer_is_complete():
    world = world_of_long_answers()
    requests = posts(world, 4) + [samples.ask(world, "box-0") for _ in range(2)]
    world.run(1.0)
    assert samples.statuses(requests) == [200] * 6
    assert {one.answer.body for one in requests} == {b"whole" * (1 + ANSWER_PARTS)}


# Guards against slots that are held for good, until a service is served no more: the
# answer to a posting whose caller is gone waited for credit that nobody grants.
@pytest.mark.parametrize("leave_after_s", [0.001, WORK_S / 2, WORK_S, 2 * WORK_S])
def test_callers_that_leave_during_long_answers_free_their_slots(leave_after_s):
    world = world_of_long_answers()
    for _ in range(4):
        requests = posts(world, SLOTS)
        for one in requests:
            one.reads = False
        world.run(leave_after_s)
        for one in requests:
            world.callers.disconnect(one)
        world.run(4 * WORK_S)
        assert runs_at_all(world) == 0
    check_all_served(world)


# Guards against the same where the box of the callers is lost.
def test_callers_whose_box_is_killed_during_long_answers_free_their_slots():
    world = world_of_long_answers(3)
    for _ in range(4):
        for one in posts(world, 2 * SLOTS):
            one.reads = False
        world.run(2 * WORK_S)
        world.kill(world.boxes["box-0"], 0.3)
        world.run(2.0)
    assert runs_at_all(world) == 0
    check_all_served(world)


# Guards against the same by callers that stay but read nothing, or whose box falls
# silent without closing its links.
@pytest.mark.parametrize("silent", [False, True])
def test_callers_that_read_nothing_free_their_slots_after_the_deadline(silent):
    world = world_of_long_answers(3)
    requests = posts(world, 2 * SLOTS)
    requests += [samples.ask(world, "box-0") for _ in range(SLOTS)]
    for one in requests:
        one.reads = False
    world.run(2 * WORK_S)
    if silent:
        box = world.boxes["box-0"]
        world.links.cut = lambda one, other: box in (one, other)
    world.run(DEADLINE_S + 6.0)
    assert runs_at_all(world) == 0
