"""Random faults do not cause harmless requests to be rejected as suspect."""

from __future__ import annotations

import pytest

from tests.mesh.poison import schedules

BATCH = 50
BATCHES = 10
"""500 seeds in total; `python -m tests.mesh.poison.schedules 2000` runs more."""


@pytest.mark.parametrize("batch", range(BATCHES))
def test_no_request_is_rejected_because_of_unrelated_crashes(batch):
    rejected = {}
    for seed in range(batch * BATCH, (batch + 1) * BATCH):
        schedule = schedules.run_schedule(seed)
        if found := schedule.rejected_as_suspect():
            rejected[seed] = found
    assert rejected == {}
