"""Shedding priorities: by team first, then by route, for requests and nested calls."""

from __future__ import annotations

from ferrydeck.mesh import policy
from tests.mesh.teams import fleets

URGENT = fleets.team_keys("mill", priority=0).team
NORMAL = fleets.team_keys("farm", priority=1).team
NONE = fleets.team_keys("shop", priority=None).team


def test_priority_without_teams_is_that_of_route():
    priorities = policy.Priorities(lowest_route=2)
    assert [priorities.of(None, route) for route in (0, 1, 2)] == [0, 1, 2]
    assert priorities.lowest == 2
    assert priorities.of_call(2, 1) == 1
    assert priorities.of_call(0, 1) == 0


def test_team_priority_precedes_route_priority():
    priorities = policy.Priorities(lowest_route=2, lowest_team=1)
    order = [
        priorities.of(team, route) for team in (URGENT, NORMAL) for route in range(3)
    ]
    assert order == sorted(set(order))
    assert priorities.of(NONE, 0) == priorities.of(NORMAL, 0) == priorities.of(None, 0)
    assert priorities.of(NORMAL, 2) == priorities.lowest


def test_call_keeps_team_priority_and_more_urgent_route():
    priorities = policy.Priorities(lowest_route=2, lowest_team=1)
    for team in (URGENT, NORMAL):
        assert priorities.of_call(priorities.of(team, 2), 1) == priorities.of(team, 1)
        assert priorities.of_call(priorities.of(team, 0), 1) == priorities.of(team, 0)
