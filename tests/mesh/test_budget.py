from __future__ import annotations

from ferrydeck.mesh import budget


def spend_all(shared: budget.RetryBudget, now: float) -> int:
    count = 0
    for repeat in budget.Repeat:
        while shared.may_spend(now, "desk", repeat):
            count += 1
    return count


def test_fifteen_daemons_stay_within_ratio_and_slack_together():
    daemons = [
        budget.RetryBudget(ratio=0.2, slack=48, window_s=10, daemons=15)
        for _ in range(15)
    ]
    spent = requests = 0
    for step in range(1000):
        for shared in daemons:
            shared.fresh(step * 0.01, "desk")
            requests += 1
            spent += spend_all(shared, step * 0.01)
    assert 0 < spent <= 0.2 * requests + 48


def test_without_requests_only_the_slack_is_spent():
    daemons = [
        budget.RetryBudget(ratio=0.2, slack=48, window_s=10, daemons=15)
        for _ in range(15)
    ]
    spent = sum(
        spend_all(shared, step * 0.1) for step in range(100) for shared in daemons
    )
    assert 0 < spent <= 48


def test_a_share_never_grows_when_daemons_are_missing():
    shared = budget.RetryBudget(ratio=0.2, slack=48, window_s=10)
    shared.see_daemons(15)
    shared.see_daemons(3)
    assert shared.daemons == 15
