"""Randomized fault schedules in simulated time; seeds that failed before are kept."""

from __future__ import annotations

import pytest

from tests.mesh import faults


@pytest.mark.parametrize("seed", range(1, 25))
def test_random_faults_violate_no_invariant(seed):
    result = faults.run_schedule(seed)
    assert result.violations == [], result.schedule
    assert result.recovered > 0.95
    assert result.served > 0.5 * result.requests


@pytest.mark.parametrize("seed", range(1, 13))
def test_random_faults_while_targets_state_limits_or_leave(seed):
    result = faults.run_schedule(seed, statements=True)
    assert result.violations == [], result.schedule
    assert result.recovered > 0.95
    assert result.served > 0.5 * result.requests
