from __future__ import annotations

from ferrydeck.mesh.inbound import retry_budget

RATIO, SLACK, WINDOW_S = 0.2, 48.0, 10.0


def budget_of(target_count: int = 1) -> retry_budget.RetryBudget:
    return retry_budget.RetryBudget(
        ratio=RATIO, slack=SLACK, window_s=WINDOW_S, target_count=target_count
    )


def count_requests(
    budget: retry_budget.RetryBudget, start: float, seconds: float, per_s: int
) -> None:
    for number in range(int(seconds * per_s)):
        budget.count_request(start + number / per_s, number % 2)


def test_no_window_has_more_retries_than_its_requests_allow():
    budget = budget_of()
    requests, granted = [], []
    for step in range(6000):
        now = step * 0.01
        if step % 2000 < 700:
            budget.count_request(now, 1)
            requests.append(now)
        if budget.grant_retry(now, 1):
            granted.append(now)
    for end in range(10, 61):
        retries = sum(end - WINDOW_S < time <= end for time in granted)
        windows = [(end - back - WINDOW_S, end - back) for back in (0, 5, 10)]
        peak = max(sum(a < time <= b for time in requests) for a, b in windows)
        assert retries <= RATIO * peak + SLACK, end
    assert granted


def test_requests_of_the_previous_window_still_count():
    budget = budget_of()
    count_requests(budget, 0.0, 10.0, 100)
    granted = sum(
        budget.grant_retry(10.5 + number * 0.005, 0) for number in range(1000)
    )
    # Windows that end 7.5 s later have three quarters of the requests at best.
    bound = RATIO * retry_budget.RATIO_SHARE * 750 + SLACK * retry_budget.SLACK_SHARE
    assert 0.95 * bound < granted <= bound


def test_calls_of_retried_runs_use_the_budget():
    budget = budget_of()
    count_requests(budget, 0.0, 10.0, 100)
    for number in range(100):
        budget.count_retry(10.0 + number * 0.001)
    granted = sum(
        budget.grant_retry(10.5 + number * 0.005, 0) for number in range(1000)
    )
    assert granted < RATIO * 1000 - 100


def test_runs_in_progress_take_precedence_if_retries_are_scarce():
    # Half of the calls are shed, which needs five times the retries that the budget
    # allows. So first calls of runs are not retried, while later ones are.
    budget = budget_of()
    count_requests(budget, 0.0, 10.0, 100)
    first, later = 0, 0
    for number in range(200):
        now = 10.5 + number * 0.005
        for _ in range(4):
            budget.count_dispatch(now)
        first += budget.grant_retry(now, 0, first=True)
        later += budget.grant_retry(now, 0)
    assert later > 100
    assert first < 10


def test_first_calls_are_retried_if_the_budget_suffices():
    budget = budget_of()
    count_requests(budget, 0.0, 10.0, 100)
    granted = 0
    for number in range(20):
        now = 10.5 + number * 0.005
        for _ in range(50):
            budget.count_dispatch(now)
        granted += budget.grant_retry(now, 0, first=True)
    assert granted == 20


def shed_half(budget: retry_budget.RetryBudget, now: float, priority: int) -> bool:
    budget.count_dispatch(now)
    budget.count_dispatch(now)
    return budget.grant_retry(now, priority)


def test_higher_priorities_are_retried_first():
    budget = budget_of()
    count_requests(budget, 0.0, 10.0, 100)
    urgent = lower = 0
    for number in range(900):
        now = 10.5 + number * 0.01
        lower += shed_half(budget, now, 1)
        urgent += shed_half(budget, now, 0)
    assert urgent > 100
    assert lower < 5


def test_lower_priorities_are_retried_if_higher_ones_need_few_retries():
    budget = budget_of()
    count_requests(budget, 0.0, 10.0, 100)
    for number in range(100):
        budget.count_dispatch(10.5 + number * 0.001)
    assert budget.grant_retry(10.6, 0)
    assert budget.grant_retry(10.6, 1)


def test_the_slack_is_divided_by_the_largest_number_of_targets():
    budget = budget_of()
    budget.observe_target_count(4)
    budget.observe_target_count(2)
    granted = sum(budget.grant_retry(0.6, 0) for _ in range(100))
    assert granted == int(SLACK * retry_budget.SLACK_SHARE / 4)


def test_four_daemons_together_stay_within_ratio_and_slack():
    budgets = [budget_of(4) for _ in range(4)]
    granted = requests = 0
    for step in range(1000):
        now = step * 0.01
        for budget in budgets:
            budget.count_request(now, 1)
            requests += 1
            granted += budget.grant_rerun(now, makes_calls=False)
            granted += budget.grant_retry(now, 1)
    assert 0 < granted <= RATIO * requests + SLACK


def test_without_requests_only_the_slack_is_granted():
    budgets = [budget_of(4) for _ in range(4)]
    granted = sum(
        budget.grant_rerun(step * 0.1, makes_calls=False)
        for step in range(100)
        for budget in budgets
    )
    assert 0 < granted <= SLACK


def test_reruns_that_make_calls_get_a_smaller_share():
    calling, plain = budget_of(), budget_of()
    for budget in (calling, plain):
        count_requests(budget, 0.0, 10.0, 100)
    granted = [
        sum(budget.grant_rerun(10.0, makes_calls=calls) for _ in range(500))
        for budget, calls in ((calling, True), (plain, False))
    ]
    assert 0 < granted[0] < 0.4 * granted[1]
