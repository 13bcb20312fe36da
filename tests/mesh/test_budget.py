from __future__ import annotations

import random

from ferrydeck.mesh import budget


def made(daemons: int = 1, seed: int = 1) -> budget.RetryBudget:
    return budget.RetryBudget(
        ratio=0.2, slack=48, window_s=10, daemons=daemons, rng=random.Random(seed)
    )


def spend_all(shared: budget.RetryBudget, now: float) -> int:
    count = 0
    while shared.may_spend(now, "desk"):
        count += 1
    return count


def test_fifteen_daemons_stay_within_ratio_and_slack_together():
    daemons = [made(15, seed) for seed in range(15)]
    spent = requests = 0
    for step in range(1000):
        for shared in daemons:
            shared.fresh(step * 0.01, "desk")
            requests += 1
            spent += spend_all(shared, step * 0.01)
    assert 0 < spent <= 0.2 * budget.SHARE * requests + 48 * budget.SLACK_SHARE


def test_without_requests_only_the_slack_is_spent():
    daemons = [made(15, seed) for seed in range(15)]
    spent = sum(
        spend_all(shared, step * 0.1) for step in range(100) for shared in daemons
    )
    assert 0 < spent <= 48 * budget.SLACK_SHARE * 1.25


def test_a_share_never_grows_when_daemons_are_missing():
    shared = made()
    shared.see_daemons(15)
    shared.see_daemons(3)
    assert shared.daemons == 15


def test_what_is_lent_is_taken_off_the_lenders_share():
    one = made(15)
    other = made(15)
    lent = one.lend(0.0, "desk")
    assert lent > 0
    assert not one.may_spend(0.0, "desk")
    other.receive(0.0, "desk", lent)
    assert spend_all(other, 0.0) <= 2 * 48 * budget.SLACK_SHARE / 15


def test_many_daemons_hold_no_more_than_the_slack_together():
    daemons = [made(100) for _ in range(100)]
    for shared in daemons:
        for step in range(100):
            shared.fresh(step * 0.1, "desk")
    lent = sum(shared.lend(10.0, "desk") for shared in daemons)
    assert 0 < lent <= 48 * budget.SLACK_SHARE


def test_a_share_below_one_repeat_is_spent_all_the_same():
    daemons = [made(100, seed) for seed in range(100)]
    requests = spent = 0
    for step in range(300):
        for shared in daemons:
            shared.fresh(step * 0.1, "desk")
            requests += 1
            spent += shared.may_spend(step * 0.1, "desk")
    whole = 0.2 * budget.SHARE * requests
    # By lot: a tenth is three standard deviations and the slack.
    assert 0.9 * whole < spent < 1.1 * whole
