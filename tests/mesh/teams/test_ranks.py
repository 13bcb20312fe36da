"""The order of shedding: by team first, then by route, through the whole chain."""

from __future__ import annotations

from ferrydeck.mesh import policy
from tests.mesh.teams import fleets

URGENT = fleets.team_keys("mill", priority=0).team
USUAL = fleets.team_keys("farm", priority=1).team
NONE = fleets.team_keys("shop", priority=None).team


def test_without_teams_the_rank_is_that_of_the_route():
    priorities = policy.Priorities(lowest_route=2)
    assert [priorities.of(None, route) for route in (0, 1, 2)] == [0, 1, 2]
    assert priorities.lowest == 2
    assert priorities.of_call(2, 1) == 1
    assert priorities.of_call(0, 1) == 0


def test_the_rank_of_a_team_goes_before_that_of_its_route():
    priorities = policy.Priorities(lowest_route=2, lowest_team=1)
    order = [
        priorities.of(team, route) for team in (URGENT, USUAL) for route in range(3)
    ]
    assert order == sorted(set(order))
    assert priorities.of(NONE, 0) == priorities.of(USUAL, 0) == priorities.of(None, 0)
    assert priorities.of(USUAL, 2) == priorities.lowest


def test_a_call_keeps_the_team_of_its_run_and_the_more_urgent_route():
    priorities = policy.Priorities(lowest_route=2, lowest_team=1)
    for team in (URGENT, USUAL):
        assert priorities.of_call(priorities.of(team, 2), 1) == priorities.of(team, 1)
        assert priorities.of_call(priorities.of(team, 0), 1) == priorities.of(team, 0)
