"""Crash records: matching, merging, expiry, eviction and their cost."""

from __future__ import annotations

import random
import tracemalloc

import pytest

from ferrydeck.mesh import messages
from ferrydeck.mesh.poison import fingerprints, known_good, records
from tests.mesh import samples
from tests.mesh.poison import fleets

MEGABYTE = 1024 * 1024


def new_forward(path: str = "/look/1", body: bytes = b"", **more) -> messages.Forward:
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
        "is_first_call": False,
        "sheddable": False,
        "retryable": True,
        "caller_retry": False,
        "first_attempt": True,
        "retry": messages.Retry.NO,
    }
    team = more.pop("team", "")
    made = values | {"path": path, "body": body} | more
    if team:
        return messages.TeamForward(team=team, **made)
    return messages.Forward(**made)


def records_of(*forwards: messages.Forward, crashes: int = 1) -> records.SuspectRecords:
    suspects = records.SuspectRecords()
    ran = [fingerprints.of_forward(one) for one in forwards]
    for i in range(crashes):
        suspects.attribute_crash(1.0, i, ran, isolated=ran if i else ())
    return suspects


def test_memory_is_bounded_for_a_million_distinct_requests():
    rng = random.Random(1)
    suspects, good = records.SuspectRecords(), known_good.KnownGood()
    tracemalloc.start()
    for i in range(6250):
        suspects.attribute_crash(i * 0.1, i, [rng.randbytes(16) for _ in range(160)])
    for number in range(100_000):
        good.add(new_forward(f"/look/{number}"))
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(suspects.by_fingerprint) <= records.MAX_RECORDS
    assert used < MEGABYTE


def test_records_with_the_most_crashes_are_evicted_last():
    blocked = new_forward("/look/lethal")
    suspects = records_of(blocked, crashes=3)
    rng = random.Random(1)
    for i in range(100, 200):
        suspects.attribute_crash(2.0, i, [rng.randbytes(16) for _ in range(160)])
    assert suspects.find_forward(blocked).blocked


@pytest.mark.parametrize(
    "other",
    [
        new_forward("/look/2"),
        new_forward(body=b"another"),
        new_forward(method="POST"),
        new_forward(fields=[("host", "other.example")]),
        new_forward(team="another"),
    ],
)
def test_different_requests_have_different_records(other):
    suspects = records_of(new_forward(), crashes=3)
    assert suspects.find_forward(new_forward()).blocked
    assert suspects.find_forward(other) is None


def test_request_id_and_caller_do_not_matter():
    suspects = records_of(new_forward(), crashes=3)
    assert suspects.find_forward(new_forward(request_id="r2", caller="book")).blocked


def test_the_body_is_not_hashed_when_the_head_does_not_match():
    def body() -> bytes:
        raise AssertionError("hashed")

    suspects = records_of(new_forward(), crashes=3)
    fields = [("host", "calls.example")]
    values = {"method": "GET", "fields": fields, "team": "", "body": body}
    assert suspects.find(path="/look/2", **values) is None


def test_reports_may_arrive_late_repeatedly_and_in_any_order():
    first, second = records_of(new_forward()), records_of(new_forward(), crashes=3)
    record = second.find_forward(new_forward())
    reports = [first.reports(1.0), second.reports(1.0), [second.clear(1.0, record)]]
    orders = [(0, 1, 2), (2, 1, 0), (1, 2, 1, 0, 0)]
    for order in orders:
        suspects = records.SuspectRecords()
        for index in order:
            suspects.merge(1.0, reports[index])
        assert suspects.find_forward(new_forward()) is None
        [merged] = suspects.by_fingerprint.values()
        assert len(merged.crashes) == 3


def test_records_expire():
    suspects = records_of(new_forward(), crashes=3)
    assert suspects.find_forward(new_forward()).remaining_s(1.0) == records.RECORD_TTL_S
    suspects.reports(1.0 + records.RECORD_TTL_S + 1.0)
    assert suspects.find_forward(new_forward()) is None


def test_no_reports_are_sent_without_a_crash():
    fleet = fleets.loaded_fleet(5, seed=1)
    fleet.run_load(3.0)
    assert fleet.world.links.sent["SuspectReports"] == 0


def test_the_number_of_reports_per_crash_is_bounded():
    fleet = fleets.loaded_fleet(10, seed=1)
    fleet.send_poison()
    fleet.finish()
    crashes = fleets.crash_count(fleet.world)
    boxes = len(fleet.world.boxes)
    # Each crash is broadcast once, and each box that sees suspects succeed afterwards
    # sends at most one report per 0.1 s.
    assert (
        0
        < fleet.world.links.sent["SuspectReports"]
        <= 6 * crashes * boxes * (boxes - 1)
    )


def test_a_popular_request_is_not_blocked_after_unrelated_crashes():
    world = samples.world_of(5, slots=30)
    requests = []
    for crash in range(5):
        requests += samples.load(world, "box-0", 60, every_s=0.004)
        world.targets.crash(world.boxes[f"box-{crash % 5}"], 0.3)
        requests += samples.load(world, "box-0", 60, every_s=0.004)
    world.run(3.0)
    assert {one.answer.reason for one in requests}.isdisjoint({"condemned", "suspect"})
    assert samples.statuses(requests).count(200) > 0.99 * len(requests)


def test_a_popular_request_is_not_blocked_before_its_first_success():
    world = samples.world_of(5, slots=30)
    requests = [samples.ask(world, f"box-{number % 5}") for number in range(20)]
    world.run(0.01)
    for number in range(3):
        world.targets.crash(world.boxes[f"box-{number}"], 0.5)
    requests += samples.load(world, "box-4", 50)
    world.run(3.0)
    assert {one.answer.reason for one in requests}.isdisjoint({"condemned"})
    assert samples.statuses(requests[-25:]) == [200] * 25
