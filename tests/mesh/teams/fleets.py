"""Fleets with teams, and requests with their keys."""

from __future__ import annotations

import attrs

from ferrydeck.mesh import context, policy
from ferrydeck.mesh.teams import keys
from tests.mesh import samples, simulation

REVOCATION_S = 5.0
"""Time from the revocation of a key until it runs nothing, seconds."""
WINDOW_S = 5.0
EXCESS_RATIO = 0.1
SLACK = 20
"""Requests allowed in a window beyond rate, burst and a tenth of both."""
APPLY_S = 2.5
"""Time in which a policy is in force after it was accepted, seconds."""
TERMS = context.Limits(revoke_s=REVOCATION_S)


@attrs.define(kw_only=True, frozen=True)
class TeamKeys:
    """A team with its keys."""

    team: keys.Team
    keys: tuple[str, ...]


def team_keys(
    name: str = "farm",
    *api_keys: str,
    rate: float = 0.0,
    burst: float | None = None,
    priority: int | None = 1,
) -> TeamKeys:
    team = keys.Team(
        name=name,
        priority=priority,
        rate_per_s=rate,
        burst=rate if burst is None else burst,
    )
    return TeamKeys(team=team, keys=api_keys or (f"key-of-{name}",))


def policy_of(*teams: TeamKeys, version: int = 4, routes=None) -> policy.Policy:
    """Return a policy with teams, a public route and two that need a key."""
    routes = routes or (
        samples.route(),
        samples.pay(),
        samples.route("open", public=True, priority=1),
    )
    made = samples.policy_of(*routes, version=version)
    keyring = keys.Keyring()
    for one in teams:
        keyring.add(one.team, one.keys)
    return attrs.evolve(
        made, teams={one.team.name: one.team for one in teams}, keyring=keyring
    )


def world_of(
    *teams: TeamKeys,
    boxes: int = 3,
    data_centres: int = 1,
    seed: int = 1,
    settle_s: float = 3.0,
    **target: object,
) -> simulation.World:
    """Return a world of boxes with a `desk` target each, after `settle_s` seconds."""
    values = {"slots": 1000, "work_s": 0.02} | target
    made = simulation.World(seed=seed, limits=TERMS, clock_skew_s=977.0)
    made.store.set_policy(policy_of(*teams))
    for index in range(boxes):
        made.add_box(f"box-{index}", f"hall-{index % data_centres}", "desk", **values)
    made.run(settle_s)
    return made


def ask(
    world: simulation.World, box: str, key: str = "", path: str = "/look/1", **more
) -> simulation.Request:
    return samples.ask(world, box, path=path, key=key, **more)
