"""Retries while all targets of the deepest service shed 55% of their requests.

A posting makes four calls to the deepest service in turn, so without retries one in 24
succeeds. The bound allows retries for a fifth of the requests there: 60% of
(382 + 484) x 4 + 127 requests/s are 2,160, which allows 432 retries/s. Of these, the
team of high priority needs 32 x 4 x 1.22 = 156 for postings and 25 x 4 x 1.22 = 122 for
lookups. The rest completes 42 of the other team's 258 postings/s, if the first call of
a run is not retried.
"""

from __future__ import annotations

import pytest

from tests.mesh import chains

SHED_RATIO = 0.55


@pytest.mark.parametrize("seed", [1, 2])
def test_retries_go_to_the_most_urgent_team_and_to_runs_in_progress(seed):
    chain = chains.chain_of(
        scale=0.6, seed=seed, spec=chains.SHIFTED, calls_carry_run_id=True
    )
    chain.load(times=1.0, seconds=5)
    shedding_start = chain.world.now
    deep = [box for box in chain.world.boxes.values() if box.target.service == "deep"]
    for box in deep:
        box.target.shed_ratio = SHED_RATIO
    chain.load(times=1.0, seconds=4)
    shedding_end = chain.world.now
    chain.world.run(2)
    normal = chain.shares(shedding_start - 3, shedding_start)
    assert min(normal.values()) > 0.9
    urgent_team = chain.shares(shedding_start, shedding_end, "key-of-mill")
    all_teams = chain.shares(shedding_start, shedding_end)
    assert urgent_team["post"] > 0.65
    assert all_teams["post"] > 0.14
    assert all_teams["entry"] > 0.5
    assert all_teams["sheet"] > 0.95, "requests that make no calls to it lose nothing"
