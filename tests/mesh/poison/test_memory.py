"""What is remembered of requests: how much of it, for how long, and at what cost."""

from __future__ import annotations

import random
import tracemalloc

import pytest

from ferrydeck.mesh import messages
from ferrydeck.mesh.poison import fingerprints, known_good, records
from tests.mesh import samples
from tests.mesh.poison import lethal

MEGABYTE = 1024 * 1024


def forward(path: str = "/look/1", body: bytes = b"", **more) -> messages.Forward:
    values = {
        "number": 1,
        "request_id": "r1",
        "incarnation": "i",
        "service": "desk",
        "caller": "desk",
        "method": "GET",
        "fields": [("host", "calls.example")],
        "sent_s": 0.0,
        "left_s": 1.0,
        "wait_s": 1.0,
        "objective_s": 1.0,
        "route": "look",
        "priority": 0,
        "begins": False,
        "lowest": False,
        "retryable": True,
        "came_back": False,
        "first": True,
        "retry": messages.Retry.NO,
    }
    team = more.pop("team", "")
    made = values | {"path": path, "body": body} | more
    if team:
        return messages.TeamForward(team=team, **made)
    return messages.Forward(**made)


def known(*forwards: messages.Forward, crashes: int = 1) -> records.SuspectRecords:
    made = records.SuspectRecords()
    ran = [fingerprints.of_forward(one) for one in forwards]
    for end in range(crashes):
        made.attribute_crash(1.0, end, ran, isolated=ran if end else ())
    return made


def test_a_million_different_requests_take_less_than_a_megabyte():
    rng = random.Random(1)
    made, well = records.SuspectRecords(), known_good.KnownGood()
    tracemalloc.start()
    for end in range(6250):
        made.attribute_crash(end * 0.1, end, [rng.randbytes(16) for _ in range(160)])
    for number in range(100_000):
        well.add(forward(f"/look/{number}"))
    taken, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(made.by_fingerprint) <= records.MAX_RECORDS
    assert taken < MEGABYTE


def test_what_most_servers_ended_under_is_forgotten_last():
    blocked = forward("/look/lethal")
    made = known(blocked, crashes=3)
    rng = random.Random(1)
    for end in range(100, 200):
        made.attribute_crash(2.0, end, [rng.randbytes(16) for _ in range(160)])
    assert made.find_forward(blocked).blocked


@pytest.mark.parametrize(
    "other",
    [
        forward("/look/2"),
        forward(body=b"another"),
        forward(method="POST"),
        forward(fields=[("host", "other.example")]),
        forward(team="another"),
    ],
)
def test_only_the_same_request_of_the_same_caller_is_meant(other):
    made = known(forward(), crashes=3)
    assert made.find_forward(forward()).blocked
    assert made.find_forward(other) is None


def test_the_id_and_the_box_make_no_difference():
    made = known(forward(), crashes=3)
    assert made.find_forward(forward(request_id="r2", caller="book")).blocked


def test_no_body_is_hashed_while_nothing_else_of_the_request_is_suspect():
    def body() -> bytes:
        raise AssertionError("hashed")

    made = known(forward(), crashes=3)
    fields = [("host", "calls.example")]
    values = {"method": "GET", "fields": fields, "team": "", "body": body}
    assert made.find(path="/look/2", **values) is None


def test_words_may_come_late_twice_and_in_any_order():
    first, second = known(forward()), known(forward(), crashes=3)
    record = second.find_forward(forward())
    words = [first.reports(1.0), second.reports(1.0), [second.clear(1.0, record)]]
    orders = [(0, 1, 2), (2, 1, 0), (1, 2, 1, 0, 0)]
    for order in orders:
        made = records.SuspectRecords()
        for word in order:
            made.merge(1.0, words[word])
        assert made.find_forward(forward()) is None
        [held] = made.by_fingerprint.values()
        assert len(held.crashes) == 3


def test_it_is_forgotten_after_its_time():
    made = known(forward(), crashes=3)
    assert made.find_forward(forward()).remaining_s(1.0) == records.RECORD_TTL_S
    made.reports(1.0 + records.RECORD_TTL_S + 1.0)
    assert made.find_forward(forward()) is None


def test_calm_daemons_say_no_word_of_it():
    played = lethal.play(5, seed=1)
    played.load(3.0)
    assert played.world.links.sent["SuspectReports"] == 0


def test_an_end_costs_a_bounded_number_of_words():
    played = lethal.play(10, seed=1)
    played.strike()
    played.settle()
    crashes = lethal.crashes(played.world)
    boxes = len(played.world.boxes)
    # Each end is told once to all, and what has succeeded since by each box that saw it
    # within a tenth of a second.
    assert (
        0
        < played.world.links.sent["SuspectReports"]
        <= 6 * crashes * boxes * (boxes - 1)
    )


def test_a_popular_request_that_stood_by_at_three_ends_goes_on():
    world = samples.world_of(5, slots=30)
    asked = []
    for crash in range(5):
        asked += samples.load(world, "box-0", 60, every_s=0.004)
        world.targets.crash(world.boxes[f"box-{crash % 5}"], 0.3)
        asked += samples.load(world, "box-0", 60, every_s=0.004)
    world.run(3.0)
    assert {one.answer.reason for one in asked}.isdisjoint({"condemned", "suspect"})
    assert samples.statuses(asked).count(200) > 0.99 * len(asked)


def test_a_popular_request_before_its_first_success_is_not_condemned():
    world = samples.world_of(5, slots=30)
    asked = [samples.ask(world, f"box-{number % 5}") for number in range(20)]
    world.run(0.01)
    for number in range(3):
        world.targets.crash(world.boxes[f"box-{number}"], 0.5)
    asked += samples.load(world, "box-4", 50)
    world.run(3.0)
    assert {one.answer.reason for one in asked}.isdisjoint({"condemned"})
    assert samples.statuses(asked[-25:]) == [200] * 25
