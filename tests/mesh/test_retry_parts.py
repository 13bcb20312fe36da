"""The parts of the retry bound that inbound sides keep, added up over a service."""

from __future__ import annotations

import random

import pytest

from ferrydeck.mesh.inbound import retry_budget
from tests.mesh import samples

RATIO, SLACK, WINDOW_S = 0.2, 50.0, 10.0
TARGETS = 5


class Service:
    """The inbound sides of a service, and how the users count their retries."""

    def __init__(self, count: int = TARGETS) -> None:
        self.sides = [self.side(-1e9, count) for _ in range(count)]
        self.requests: list[float] = []
        self.retries: list[float] = []

    def side(self, started: float, targets: int = TARGETS) -> retry_budget.RetryBudget:
        made = retry_budget.RetryBudget(
            ratio=RATIO, slack=SLACK, window_s=WINDOW_S, started_at=started
        )
        if targets:
            made.observe_target_count(targets)
        return made

    def request(self, now: float, index: int) -> None:
        self.sides[index].count_request(now, 1)
        self.requests.append(now)

    def retry(self, now: float, index: int) -> None:
        if self.sides[index].grant_rerun(now, makes_calls=False):
            self.retries.append(now)

    def exchange(self, now: float) -> None:
        """Have each side report its counts to all others."""
        for index, side in enumerate(self.sides):
            counts = side.report(now)
            for other in self.sides:
                if counts is not None and other is not side:
                    other.report_received(now, f"box-{index}", *counts)

    def over(self) -> float:
        """Return by how much any window has more retries than was agreed."""
        worst = float("-inf")
        for end in self.retries:
            spent = count(self.retries, end)
            ends = (end, end - WINDOW_S / 2, end - WINDOW_S)
            most = max(count(self.requests, one) for one in ends)
            worst = max(worst, spent - RATIO * most - SLACK)
        return worst


def count(times: list[float], end: float) -> int:
    return sum(end - WINDOW_S < one <= end for one in times)


# Guards against the whole slack at each of five sides that have just started: each took
# itself for the only target until it had counted the others.
def test_sides_that_know_of_no_other_target_spend_no_slack():
    service = Service()
    service.sides = [service.side(0.0, targets=0) for _ in range(TARGETS)]
    for number in range(40 * TARGETS):
        service.retry(0.5 + number * 0.001, number % TARGETS)
    assert len(service.retries) <= SLACK


# Guards against slack that is spent anew after each start of a daemon.
def test_a_side_that_starts_anew_spends_no_slack_again_within_the_window():
    service = Service()
    for start in range(8):
        service.sides = [service.side(start * 1.0) for _ in range(TARGETS)]
        for number in range(20 * TARGETS):
            service.retry(start + 0.5 + number * 0.001, number % TARGETS)
    assert len(service.retries) <= SLACK


# Guards against a slack that a side never gets: a window after its start it has it.
def test_a_side_has_its_part_of_the_slack_a_window_after_its_start():
    service = Service()
    service.sides = [service.side(0.0) for _ in range(TARGETS)]
    for number in range(20 * TARGETS):
        service.retry(WINDOW_S + 0.6 + number * 0.001, number % TARGETS)
    part = int(SLACK * retry_budget.SLACK_SHARE / TARGETS)
    assert len(service.retries) == part * TARGETS


# Guards against twice the bound where requests move from some targets to others: the
# sum of each side's largest window is more than the largest window of all.
def test_requests_that_move_to_another_target_are_not_reckoned_with_twice():
    service = Service()
    for step in range(2000):
        now = step * 0.01
        before = step < 1000
        service.request(now, 0 if before else 1)
        if step % 50 == 1:
            service.exchange(now)
        if not before:
            for index in (0, 1):
                service.retry(now, index)
    assert service.over() <= 0.0


# Guards against the same where five targets take over from each other, and against a
# bound that is not used.
@pytest.mark.parametrize("every_s", [1.0, 3.0, 7.0])
def test_requests_that_go_from_target_to_target_bring_no_more_retries(every_s):
    service = Service()
    for step in range(4000):
        now = step * 0.01
        service.request(now, int(now / every_s) % TARGETS)
        if step % 50 == 1:
            service.exchange(now)
        for index in range(TARGETS):
            service.retry(now, index)
    assert service.over() <= 0.0
    assert len(service.retries) > 0.8 * RATIO * retry_budget.RATIO_SHARE * 4000


# Guards against any other way in which parts that hold add up to more than the bound.
@pytest.mark.parametrize("reports", [False, True])
@pytest.mark.parametrize("seed", range(12))
def test_sides_stay_within_the_bound_together_whatever_moves_and_restarts(
    seed, reports
):
    rng = random.Random(seed)
    service = Service()
    weights = [1.0] * TARGETS
    per_step = 2
    for step in range(4000):
        now = step * 0.01
        if rng.random() < 0.005:
            weights = [rng.choice((0.0, 0.2, 1.0, 5.0)) + 1e-9 for _ in weights]
        if rng.random() < 0.003:
            per_step = rng.choice((0, 1, 2, 4))
        if rng.random() < 0.004:
            service.sides[rng.randrange(TARGETS)] = service.side(now)
        if reports and step % 50 == 1:
            service.exchange(now)
        for _ in range(per_step):
            [index] = rng.choices(range(TARGETS), weights)
            service.request(now, index)
        for index in range(TARGETS):
            service.retry(now, index)
    assert service.over() <= 0.0


# Guards against a daemon that has reached nobody and holds the whole slack.
def test_a_daemon_that_starts_behind_a_cut_grants_nothing_from_the_slack():
    world = samples.world_of(5)
    alone = world.boxes["box-0"]
    world.links.cut = lambda one, other: alone in (one, other)
    world.store.cut = lambda box: box is alone
    world.kill(alone, 0.2)
    world.run(12.0)
    budget = alone.core.inbound.retry_budget
    now = world.clock(alone)
    granted = sum(budget.grant_rerun(now, makes_calls=False) for _ in range(50))
    assert granted == 0


# Guards against slack divided by the linked targets alone, where the store's records
# tell of more.
def test_targets_that_are_recorded_and_not_linked_share_the_slack():
    world = samples.world_of(5)
    alone = world.boxes["box-0"]
    world.links.cut = lambda one, other: alone in (one, other)
    world.kill(alone, 0.2)
    world.run(12.0)
    assert alone.core.inbound.retry_budget.target_count == 5
