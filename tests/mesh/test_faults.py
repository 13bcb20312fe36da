"""Random schedules of faults in virtual time; seeds that failed once stay here."""

from __future__ import annotations

import pytest

from tests.mesh import faults


@pytest.mark.parametrize("seed", range(1, 25))
def test_a_random_schedule_of_faults_breaks_no_rule(seed):
    result = faults.run_schedule(seed)
    assert result.faults == [], result.schedule
    assert result.recovered > 0.95
    assert result.served > 0.5 * result.requests
