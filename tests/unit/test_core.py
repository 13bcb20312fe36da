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


def offer(control, job, *, rank=2, depth=0, deadline=10.0, now=0.0):
    value = rank * priority.BUCKETS + 5
    return control.offer(now, job, priority=value, depth=depth, deadline=deadline)


def test_jobs_over_the_limit_queue_and_the_top_class_starts_first():
    control = admission.Admission(slots=1)
    assert offer(control, "first") == [admission.Start(job="first")]
    assert offer(control, "lookup") == []
    assert offer(control, "posting", rank=0) == []
    assert control.finish(1.0, service_s=1.0) == [admission.Start(job="posting")]


def test_a_full_queue_rejects_its_lowest_priority_job():
    control = admission.Admission(slots=1)
    offer(control, "running")
    for number in range(admission.MIN_QUEUE_LENGTH):
        assert offer(control, f"lookup-{number}") == []
    [rejected] = offer(control, "posting", rank=0)
    assert rejected.job == f"lookup-{admission.MIN_QUEUE_LENGTH - 1}"
    assert rejected.reason is messages.Reason.OVERLOAD


def test_a_job_that_would_miss_its_deadline_is_rejected_at_once():
    control = admission.Admission(slots=1, mean_service_s=1.0)
    offer(control, "running")
    [rejected] = offer(control, "late", deadline=1.5)
    assert rejected.job == "late"


def test_the_limit_of_a_cold_target_ramps_up():
    control = admission.Admission(slots=100, cold_start_s=10.0)
    assert [control.limit(now) for now in (0.0, 5.0, 10.0)] == [25, 62, 100]


def test_overload_lowers_the_limit_and_full_use_without_overload_raises_it():
    control = admission.Admission(slots=10)
    offer(control, "job")
    control.finish(0.05, service_s=0.05, overloaded=True)
    control.advance_window(0.2)
    assert control.limit(0.2) == 8
    for number in range(8):
        offer(control, number, now=0.25)
    control.advance_window(0.4)
    assert control.limit(0.4) == 9


def test_a_level_recovers_in_doubling_steps():
    level = levels.Level()
    level.lower(0.0, 0)
    values = []
    for step in range(1, 9):
        level.raise_if_due(step * levels.INTERVAL_S)
        values.append(level.value)
    assert values[:3] == [64, 192, 448]
    assert level.is_open


def test_the_retry_budget_limits_retries_to_a_share_of_requests():
    budget = retry_limits.RetryBudget(ratio=0.1)
    spent = 0
    for _ in range(1000):
        budget.record_call()
        spent += budget.try_spend()
    assert spent == pytest.approx(100 + retry_limits.MAX_BUDGET_TOKENS, abs=2)


@pytest.mark.parametrize("count", [1, 2, 3, 5, 31, 40])
def test_shard_assignment_is_even_and_deterministic(count):
    boxes = tuple(f"box-{number}" for number in range(count))
    assigned = shard_records.assign_shards("ledger", boxes)
    shares = [list(assigned.values()).count(box) for box in boxes]
    assert sum(shares) == 32
    assert max(shares) <= -(-32 // count)
    assert assigned == shard_records.assign_shards("ledger", boxes)


def test_shards_are_rebalanced_soon_even_with_a_long_lease():
    sim = world.World(seed=1)
    sim.activate(worlds.parse(worlds.LEDGER.replace("lease_s = 2", "lease_s = 3600")))
    sim.add_box("first", "north", service="payments-ledger", slots=4)
    sim.run(3)
    assert len(sim.boxes["first"].core.shard_owner.owned) == 32
    sim.add_box("second", "north", service="payments-ledger", slots=4)
    sim.run(5)
    owned = [len(box.core.shard_owner.owned) for box in sim.boxes.values()]
    assert owned == [16, 16]


def test_stale_reads_of_a_lease_cause_no_flood_of_requests():
    sim = worlds.ledger_world()
    sim.store.make_stale()
    sim.restart("north-ledger")
    sim.run(1)
    before = sim.store.reads + sim.store.writes
    sim.run(10)
    assert sim.store.reads + sim.store.writes - before < 400


def test_a_platform_outage_shorter_than_the_lease_interrupts_nothing():
    sim = worlds.ledger_world()
    sim.faults.platform_down = True
    sim.run(1.0)
    call = sim.call("north-entry", "POST", f"{worlds.POSTING}?ms=1", key="k")
    sim.run(0.2)
    assert call.outcome == "done"
    sim.run(2.0)
    late = sim.call("north-entry", "POST", f"{worlds.POSTING}?ms=1", key="l")
    sim.run(1.2)
    assert late.outcome == "unknown"
    sim.faults.platform_down = False
    sim.run(2.0)
    again = sim.call("north-entry", "POST", f"{worlds.POSTING}?ms=1", key="l")
    sim.run(0.2)
    # No other box fenced the owner meanwhile, so it continues with its key table.
    assert again.outcome == "done"
    worlds.check_at_most_once(sim)


def test_calls_fail_over_from_a_silent_data_centre():
    sim = worlds.ledger_world()
    sim.freeze("north-ledger")
    path = "/payments-ledger/balances?ms=1"
    for _ in range(3):
        sim.call("north-entry", "GET", path)
    sim.run(1.5)
    late = [sim.call("north-entry", "GET", path) for _ in range(5)]
    sim.run(0.1)
    # One call per second may still be sent to the silent box as a probe.
    answered = [call for call in late if call.outcome == "done"]
    assert len(answered) >= 4
    assert {box_of(call) for call in answered} == {"south-ledger"}


def box_of(call):
    return next(one.value for one in call.answer.headers if one.name == "ferrydeck-box")


def test_a_box_that_stays_silent_is_removed_from_all_member_tables():
    sim = worlds.ledger_world()
    sim.kill("south-ledger")
    for box in sim.boxes.values():
        for peer in box.core.members.peers.values():
            if peer.member.box == "south-ledger":
                peer.last_message -= 10_000
    sim.run(10)
    for name, box in sim.boxes.items():
        if name != "south-ledger":
            assert "south-ledger" not in box.core.members.peers, name
