from __future__ import annotations

import pytest

from ferrydeck.replay import world
from ferrydeck.signed.core import (
    admission,
    levels,
    priority,
    retry_limits,
    shard_records,
)
from ferrydeck.signed.wire import messages
from tests import worlds


def offer(adm, job, *, rank=2, depth=0, deadline=10.0, now=0.0):
    number = rank * priority.BUCKETS + 5
    return adm.offer(now, job, priority=number, depth=depth, deadline=deadline)


def test_jobs_over_the_limit_wait_and_the_top_class_goes_first():
    adm = admission.Admission(slots=1)
    assert offer(adm, "first") == [admission.Start(job="first")]
    assert offer(adm, "lookup") == []
    assert offer(adm, "posting", rank=0) == []
    assert adm.finish(1.0, service_s=1.0) == [admission.Start(job="posting")]


def test_a_queue_that_is_full_refuses_its_last():
    adm = admission.Admission(slots=1)
    offer(adm, "running")
    for number in range(admission.MIN_QUEUE_LENGTH):
        assert offer(adm, f"lookup-{number}") == []
    [refused] = offer(adm, "posting", rank=0)
    assert refused.job == f"lookup-{admission.MIN_QUEUE_LENGTH - 1}"
    assert refused.reason is messages.Reason.OVERLOAD


def test_a_job_that_can_not_end_in_time_is_refused_at_once():
    adm = admission.Admission(slots=1, mean_service_s=1.0)
    offer(adm, "running")
    [refused] = offer(adm, "late", deadline=1.5)
    assert refused.job == "late"


def test_a_cold_target_is_ramped():
    adm = admission.Admission(slots=100, cold_start_s=10.0)
    assert [adm.limit(now) for now in (0.0, 5.0, 10.0)] == [25, 62, 100]


def test_broken_answers_lower_the_limit_and_a_busy_calm_raises_it():
    adm = admission.Admission(slots=10)
    offer(adm, "job")
    adm.finish(0.05, service_s=0.05, overloaded=True)
    adm.advance_window(0.2)
    assert adm.limit(0.2) == 8
    for number in range(8):
        offer(adm, number, now=0.25)
    adm.advance_window(0.4)
    assert adm.limit(0.4) == 9


def test_a_level_rises_faster_and_faster_until_it_is_open():
    level = levels.Level()
    level.lower(0.0, 0)
    values = []
    for step in range(1, 9):
        level.raise_if_due(step * levels.INTERVAL_S)
        values.append(level.value)
    assert values[:3] == [64, 192, 448]
    assert level.is_open


def test_a_budget_holds_retries_to_a_share():
    budget = retry_limits.RetryBudget(ratio=0.1)
    spent = 0
    for _ in range(1000):
        budget.record_call()
        spent += budget.try_spend()
    assert spent == pytest.approx(100 + retry_limits.MAX_BUDGET_TOKENS, abs=2)


@pytest.mark.parametrize("count", [1, 2, 3, 5, 31, 40])
def test_shards_are_spread_evenly_and_alike(count):
    boxes = tuple(f"box-{number}" for number in range(count))
    found = shard_records.assign_shards("ledger", boxes)
    shares = [list(found.values()).count(box) for box in boxes]
    assert sum(shares) == 32
    assert max(shares) <= -(-32 // count)
    assert found == shard_records.assign_shards("ledger", boxes)


def test_shards_are_spread_however_long_the_lease():
    made = world.World(seed=1)
    made.use(worlds.bundle_of(worlds.LEDGER.replace("lease_s = 2", "lease_s = 3600")))
    made.add_box("first", "north", service="payments-ledger", slots=4)
    made.run(3)
    assert len(made.boxes["first"].core.shard_owner.owned) == 32
    made.add_box("second", "north", service="payments-ledger", slots=4)
    made.run(5)
    owned = [len(box.core.shard_owner.owned) for box in made.boxes.values()]
    assert owned == [16, 16]


def test_a_lease_that_the_platform_serves_stale_brings_no_flood_of_reads():
    made = worlds.ledger_world()
    made.store.make_stale()
    made.restart("north-ledger")
    made.run(1)
    before = made.store.reads + made.store.writes
    made.run(10)
    assert made.store.reads + made.store.writes - before < 400


def test_a_platform_out_for_less_than_the_lease_stops_nothing():
    made = worlds.ledger_world()
    made.faults.platform_down = True
    made.run(1.0)
    call = made.call("north-entry", "POST", f"{worlds.POSTING}?ms=1", key="k")
    made.run(0.2)
    assert call.outcome == "done"
    made.run(2.0)
    late = made.call("north-entry", "POST", f"{worlds.POSTING}?ms=1", key="l")
    made.run(1.2)
    assert late.outcome == "unknown"
    made.faults.platform_down = False
    made.run(2.0)
    again = made.call("north-entry", "POST", f"{worlds.POSTING}?ms=1", key="l")
    made.run(0.2)
    # Nobody fenced the owner meanwhile, so it goes on with its table.
    assert again.outcome == "done"
    worlds.check_effects(made)


def test_a_silent_data_centre_is_left_for_one_that_answers():
    made = worlds.ledger_world()
    made.freeze("north-ledger")
    path = "/payments-ledger/balances?ms=1"
    for _ in range(3):
        made.call("north-entry", "GET", path)
    made.run(1.5)
    late = [made.call("north-entry", "GET", path) for _ in range(5)]
    made.run(0.1)
    # One call a second is a probe of the silent box.
    answered = [call for call in late if call.outcome == "done"]
    assert len(answered) >= 4
    assert {world_box(call) for call in answered} == {"south-ledger"}


def world_box(call):
    return next(one.value for one in call.answer.headers if one.name == "ferrydeck-box")


def test_a_box_of_which_nobody_hears_is_forgotten_everywhere():
    made = worlds.ledger_world()
    made.kill("south-ledger")
    for box in made.boxes.values():
        for peer in box.core.members.peers.values():
            if peer.member.box == "south-ledger":
                peer.last_message -= 10_000
    made.run(10)
    for name, box in made.boxes.items():
        if name != "south-ledger":
            assert "south-ledger" not in box.core.members.peers, name
