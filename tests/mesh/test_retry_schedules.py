"""Random schedules of restarts, moves and shedding keep the bound on retries."""

from __future__ import annotations

import pytest

from tests.mesh import retry_schedules

OVER_THE_BOUND = (409, 499, 613)
"""Seeds over the bound while each start of a daemon brought its part of the slack."""
NEAR_THE_BOUND = (12, 83, 94, 96, 101, 110)


# Guards against parts of the bound that add up to more than it where daemons start anew
# and requests move while targets shed, in windows as the users count them.
@pytest.mark.parametrize("seed", OVER_THE_BOUND + NEAR_THE_BOUND)
def test_retries_stay_within_the_bound_while_much_goes_wrong_at_once(seed):
    played = retry_schedules.play(seed)
    assert played.faults == [], played.schedule
    assert played.retries > 0
