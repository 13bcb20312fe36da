"""Retry budgets of the daemons of a service, which together stay within the bound."""

from __future__ import annotations

import random

import pytest

from ferrydeck.mesh.inbound import retry_budget
from tests.mesh import samples

RATIO, SLACK, WINDOW_S = 0.2, 50.0, 10.0
TARGETS = 5


class Service:
    """The retry budgets of a service, with all counted requests and retries."""

    def __init__(self, count: int = TARGETS) -> None:
        self.budgets = [self.budget(-1e9, count) for _ in range(count)]
        self.requests: list[float] = []
        self.retries: list[float] = []

    def budget(self, start: float, targets: int = TARGETS) -> retry_budget.RetryBudget:
        new_budget = retry_budget.RetryBudget(
            ratio=RATIO, slack=SLACK, window_s=WINDOW_S, started_at=start
        )
        if targets:
            new_budget.observe_target_count(targets)
        return new_budget

    def request(self, now: float, index: int) -> None:
        self.budgets[index].count_request(now, 1)
        self.requests.append(now)

    def retry(self, now: float, index: int) -> None:
        if self.budgets[index].grant_rerun(now, makes_calls=False):
            self.retries.append(now)

    def exchange(self, now: float) -> None:
        """Send the counts of each budget to all others."""
        for index, budget in enumerate(self.budgets):
            counts = budget.report(now)
            for other in self.budgets:
                if counts is not None and other is not budget:
                    other.report_received(now, f"box-{index}", *counts)

    def excess(self) -> float:
        """Return the largest excess of the retries in a window over the bound."""
        excess = float("-inf")
        for end in self.retries:
            retries = count(self.retries, end)
            ends = (end, end - WINDOW_S / 2, end - WINDOW_S)
            peak = max(count(self.requests, last) for last in ends)
            excess = max(excess, retries - RATIO * peak - SLACK)
        return excess


def count(times: list[float], end: float) -> int:
    return sum(end - WINDOW_S < time <= end for time in times)


# Guards against daemons that each grant the whole slack after their start, before they
# know of other targets.
def test_daemons_that_know_of_no_other_target_grant_no_slack():
    service = Service()
    service.budgets = [service.budget(0.0, targets=0) for _ in range(TARGETS)]
    for number in range(40 * TARGETS):
        service.retry(0.5 + number * 0.001, number % TARGETS)
    assert len(service.retries) <= SLACK


# Guards against slack that is granted again after each restart of a daemon.
def test_a_restarted_daemon_grants_no_slack_again_within_the_window():
    service = Service()
    for start in range(8):
        service.budgets = [service.budget(start * 1.0) for _ in range(TARGETS)]
        for number in range(20 * TARGETS):
            service.retry(start + 0.5 + number * 0.001, number % TARGETS)
    assert len(service.retries) <= SLACK


# Guards against a daemon that never grants its part of the slack.
def test_a_daemon_grants_its_part_of_the_slack_one_window_after_its_start():
    service = Service()
    service.budgets = [service.budget(0.0) for _ in range(TARGETS)]
    for number in range(20 * TARGETS):
        service.retry(WINDOW_S + 0.6 + number * 0.001, number % TARGETS)
    part = int(SLACK * retry_budget.SLACK_SHARE / TARGETS)
    assert len(service.retries) == part * TARGETS


# Guards against twice the bound if requests move between targets: the largest windows
# of the targets add up to more than the largest window of the service.
def test_requests_that_move_to_another_target_are_not_counted_twice():
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
    assert service.excess() <= 0.0


# Guards against the same excess with five targets in turn, and against a budget that is
# hardly used.
@pytest.mark.parametrize("every_s", [1.0, 3.0, 7.0])
def test_requests_that_move_between_targets_add_no_retries(every_s):
    service = Service()
    for step in range(4000):
        now = step * 0.01
        service.request(now, int(now / every_s) % TARGETS)
        if step % 50 == 1:
            service.exchange(now)
        for index in range(TARGETS):
            service.retry(now, index)
    assert service.excess() <= 0.0
    assert len(service.retries) > 0.8 * RATIO * retry_budget.RATIO_SHARE * 4000


# Guards against other schedules in which the budgets add up to more than the bound.
@pytest.mark.parametrize("reports", [False, True])
@pytest.mark.parametrize("seed", range(12))
def test_budgets_together_stay_within_the_bound_at_random_moves_and_restarts(
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
            service.budgets[rng.randrange(TARGETS)] = service.budget(now)
        if reports and step % 50 == 1:
            service.exchange(now)
        for _ in range(per_step):
            [index] = rng.choices(range(TARGETS), weights)
            service.request(now, index)
        for index in range(TARGETS):
            service.retry(now, index)
    assert service.excess() <= 0.0


# Guards against an isolated daemon that grants the whole slack.
def test_a_daemon_that_starts_isolated_grants_no_slack():
    world = samples.world_of(5)
    isolated = world.boxes["box-0"]
    world.links.cut = lambda source, peer: isolated in (source, peer)
    world.store.cut = lambda box: box is isolated
    world.kill(isolated, 0.2)
    world.run(12.0)
    budget = isolated.core.inbound.retry_budget
    now = world.clock(isolated)
    granted = sum(budget.grant_rerun(now, makes_calls=False) for _ in range(50))
    assert granted == 0


# Guards against slack that is divided by the linked targets only, although the store
# lists more.
def test_recorded_targets_without_links_share_the_slack():
    world = samples.world_of(5)
    isolated = world.boxes["box-0"]
    world.links.cut = lambda source, peer: isolated in (source, peer)
    world.kill(isolated, 0.2)
    world.run(12.0)
    assert isolated.core.inbound.retry_budget.target_count == 5
