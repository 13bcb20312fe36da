"""Admission of a team's requests by its quota, and rejections within the quota."""

from __future__ import annotations

import bisect
import collections

import pytest

from ferrydeck.mesh.teams import quota
from tests.mesh import samples
from tests.mesh.teams import fleets

RATE = 40.0
KEY = "key-of-farm"
MAX_REJECTED_RATIO = 0.02
"""Ratio of requests within the quota that may be rejected, as arrivals are random."""

MAX_PEAK_REJECTED_RATIO = 0.05
"""The same for a peak that just fits the burst, and for a start above the rate."""


def world_of(boxes: int = 9, rate: float = RATE, **more):
    return fleets.world_of(
        fleets.team_keys(rate=rate), boxes=boxes, data_centres=3, settle_s=5.0, **more
    )


def send_load(world, per_s: float, seconds: float, *, among: int | None = None):
    """Send the team's requests to random boxes of the first `among`."""
    names = list(world.boxes)[:among]
    requests = []
    ends = world.now + seconds
    while world.now < ends:
        requests.append(fleets.ask(world, world.rng.choice(names), KEY))
        world.run(world.rng.expovariate(per_s))
    world.run(0.5)
    return requests


def count_statuses(requests) -> collections.Counter[int]:
    return collections.Counter(samples.statuses(requests))


def max_runs_in_window(world) -> int:
    times = sorted(one.at for one in world.targets.runs if one.ran)
    indexed = enumerate(times)
    return max(i + 1 - bisect.bisect_left(times, at - 5.0) for i, at in indexed)


@pytest.mark.parametrize("among", [None, 3, 1])
def test_team_within_rate_is_served_at_any_boxes(among):
    world = world_of()
    counts = count_statuses(send_load(world, 0.95 * RATE, 15.0, among=among))
    assert counts[429] <= MAX_REJECTED_RATIO * counts.total()


def test_team_slightly_above_rate_is_served():
    # Rate and burst allow 1.2 times the rate in each window.
    world = world_of()
    counts = count_statuses(send_load(world, 1.1 * RATE, 15.0))
    assert counts[429] <= MAX_PEAK_REJECTED_RATIO * counts.total()


def test_idle_team_has_its_full_burst():
    world = world_of()
    world.run(6.0)
    counts = count_statuses(send_load(world, 1.3 * RATE, 3.0))
    assert counts[429] <= MAX_REJECTED_RATIO * counts.total()


def test_short_peak_is_served_from_burst():
    world = world_of()
    send_load(world, 0.6 * RATE, 3.0)
    peak = count_statuses(send_load(world, 3.0 * RATE, 0.4))
    assert peak[429] <= MAX_PEAK_REJECTED_RATIO * peak.total()


@pytest.mark.parametrize("times", [3.0, 7.5])
@pytest.mark.parametrize("boxes", [9, 30])
@pytest.mark.parametrize("rate", [4.0, 40.0])
def test_overloading_team_gets_its_rate_but_not_more(times, boxes, rate):
    # Guards against an overloading team above, or far below, its quota.
    world = world_of(boxes, rate)
    send_load(world, 0.6 * rate, 3.0)
    requests = send_load(world, 0.6 * rate * times, 10.0)
    allowed = (rate * 5 + rate) * 1.1 + 20
    assert max_runs_in_window(world) <= allowed
    assert count_statuses(requests)[200] >= 0.85 * min(len(requests), 10 * rate)


def test_rejected_caller_gets_retry_after():
    world = world_of()
    requests = send_load(world, 5 * RATE, 3.0)
    rejected = [one for one in requests if one.answer.status == 429]
    assert rejected
    assert all(0.1 < one.answer.retry_after_s < 3.0 for one in rejected)


def test_a_request_that_was_not_run_uses_nothing():
    world = world_of()
    for box in world.boxes.values():
        box.target.sheds = True
    send_load(world, 0.9 * RATE, 8.0)
    for box in world.boxes.values():
        box.target.sheds = False
    counts = count_statuses(send_load(world, 1.5 * RATE, 1.0))
    assert counts[429] == 0


@pytest.mark.parametrize("seed", [2, 16, 18, 26])
def test_a_peak_after_an_unused_window_is_served(seed):
    # Guards against 429 while most of the quota of a window is unused.
    world = world_of(seed=seed)
    world.run(6.0)
    counts = count_statuses(send_load(world, 1.5 * RATE, 1.5))
    assert counts[429] == 0


def test_the_count_of_a_window_does_not_grow_with_the_reports():
    account = quota.Account(tokens=0.0, updated_at=0.0)
    for report in range(5_000):
        account.add_admitted(report / 1000, 1)
    assert account.used == 5_000
    assert len(account._admitted) <= 51
    account.drop_admitted(2.5)
    assert 2_400 <= account.used <= 2_500
    account.drop_admitted(9.0)
    assert account.used == 0


def test_lowered_rate_holds_after_one_window():
    world = world_of()
    send_load(world, 0.9 * RATE, 5.0)
    lower = fleets.team_keys(rate=RATE / 4)
    world.store.set_policy(fleets.policy_of(lower, version=9))
    send_load(world, 0.9 * RATE, 5.0)
    world.targets.runs.clear()
    send_load(world, 0.9 * RATE, 8.0)
    assert max_runs_in_window(world) <= (RATE / 4 * 6) * 1.1 + 20


def test_fleet_without_quotas_sends_no_reports():
    with_quota, without_quota = world_of(), fleets.world_of(fleets.team_keys(), boxes=9)
    for world, expected in ((with_quota, True), (without_quota, False)):
        running = [box.core.quota_exchange._running for box in world.boxes.values()]
        assert running == [expected] * 9
