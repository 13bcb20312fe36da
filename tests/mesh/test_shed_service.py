"""Guards against retries that are spent on less urgent teams or on first calls.

All targets of the deepest service shed 55% of their requests.
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
