from __future__ import annotations

from ferrydeck.mesh.inbound import retry_budget

RATIO, SLACK, WINDOW_S = 0.2, 48.0, 10.0


def made(target_count: int = 1) -> retry_budget.RetryBudget:
    return retry_budget.RetryBudget(
        ratio=RATIO, slack=SLACK, window_s=WINDOW_S, target_count=target_count
    )


def ask(
    repeats: retry_budget.RetryBudget, begin: float, seconds: float, per_s: int
) -> None:
    for number in range(int(seconds * per_s)):
        repeats.count_request(begin + number / per_s, number % 2)


def test_no_window_has_more_offers_than_its_requests_allow():
    repeats = made()
    firsts, granted = [], []
    for step in range(6000):
        now = step * 0.01
        if step % 2000 < 700:
            repeats.count_request(now, 1)
            firsts.append(now)
        if repeats.grant_retry(now, 1):
            granted.append(now)
    for end in range(10, 61):
        spent = sum(end - WINDOW_S < one <= end for one in granted)
        windows = [(end - back - WINDOW_S, end - back) for back in (0, 5, 10)]
        most = max(sum(a < one <= b for one in firsts) for a, b in windows)
        assert spent <= RATIO * most + SLACK, end
    assert granted


def test_requests_of_the_window_before_still_count_when_callers_give_up():
    repeats = made()
    ask(repeats, 0.0, 10.0, 100)
    granted = sum(
        repeats.grant_retry(10.5 + number * 0.005, 0) for number in range(1000)
    )
    # Windows that end 7.5 s later have three quarters of the requests at best.
    bound = RATIO * retry_budget.RATIO_SHARE * 750 + SLACK * retry_budget.SLACK_SHARE
    assert 0.95 * bound < granted <= bound


def test_requests_that_may_have_run_are_counted_too():
    repeats = made()
    ask(repeats, 0.0, 10.0, 100)
    for number in range(100):
        repeats.count_retry(10.0 + number * 0.001)
    granted = sum(
        repeats.grant_retry(10.5 + number * 0.005, 0) for number in range(1000)
    )
    assert granted < RATIO * 1000 - 100


def test_too_few_offers_go_to_runs_that_are_under_way():
    # Half of all calls are shed, each of which needs another offer: five times what
    # the bound allows. First calls of runs are left out, later ones are not.
    repeats = made()
    ask(repeats, 0.0, 10.0, 100)
    first, later = 0, 0
    for number in range(200):
        now = 10.5 + number * 0.005
        for _ in range(4):
            repeats.count_dispatch(now)
        first += repeats.grant_retry(now, 0, first=True)
        later += repeats.grant_retry(now, 0)
    assert later > 100
    assert first < 10


def test_while_there_are_offers_for_all_first_calls_get_them_too():
    repeats = made()
    ask(repeats, 0.0, 10.0, 100)
    granted = 0
    for number in range(20):
        now = 10.5 + number * 0.005
        for _ in range(50):
            repeats.count_dispatch(now)
        granted += repeats.grant_retry(now, 0, first=True)
    assert granted == 20


def shed_half(repeats: retry_budget.RetryBudget, now: float, priority: int) -> bool:
    repeats.count_dispatch(now)
    repeats.count_dispatch(now)
    return repeats.grant_retry(now, priority)


def test_urgent_requests_get_offers_before_the_others():
    repeats = made()
    ask(repeats, 0.0, 10.0, 100)
    urgent = lower = 0
    for number in range(900):
        now = 10.5 + number * 0.01
        lower += shed_half(repeats, now, 1)
        urgent += shed_half(repeats, now, 0)
    assert urgent > 100
    assert lower < 5


def test_others_get_offers_where_the_urgent_need_few():
    repeats = made()
    ask(repeats, 0.0, 10.0, 100)
    for number in range(100):
        repeats.count_dispatch(10.5 + number * 0.001)
    assert repeats.grant_retry(10.6, 0)
    assert repeats.grant_retry(10.6, 1)


def test_gates_share_the_slack_also_when_some_are_not_seen_any_more():
    repeats = made()
    repeats.observe_target_count(4)
    repeats.observe_target_count(2)
    granted = sum(repeats.grant_retry(0.6, 0) for _ in range(100))
    assert granted == int(SLACK * retry_budget.SLACK_SHARE / 4)


def test_four_gates_stay_within_ratio_and_slack_together():
    targets = [made(4) for _ in range(4)]
    granted = requests = 0
    for step in range(1000):
        now = step * 0.01
        for inbound in targets:
            inbound.count_request(now, 1)
            requests += 1
            granted += inbound.grant_rerun(now, makes_calls=False)
            granted += inbound.grant_retry(now, 1)
    assert 0 < granted <= RATIO * requests + SLACK


def test_without_requests_only_the_slack_is_spent():
    targets = [made(4) for _ in range(4)]
    granted = sum(
        inbound.grant_rerun(step * 0.1, makes_calls=False)
        for step in range(100)
        for inbound in targets
    )
    assert 0 < granted <= SLACK


def test_second_runs_that_make_calls_get_a_smaller_part():
    calling, plain = made(), made()
    for one in (calling, plain):
        ask(one, 0.0, 10.0, 100)
    granted = [
        sum(one.grant_rerun(10.0, makes_calls=calls) for _ in range(500))
        for one, calls in ((calling, True), (plain, False))
    ]
    assert 0 < granted[0] < 0.4 * granted[1]
