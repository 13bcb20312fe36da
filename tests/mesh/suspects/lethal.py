"""Fleets whose servers end by a request, for the tests of what one may do."""

from __future__ import annotations

from ferrydeck.replay import mesh_world
from tests.mesh import samples

PATH = "/look/lethal"


def fleet(boxes: int, seed: int, **server: object) -> mesh_world.World:
    """Return a fleet whose servers end by the lethal request."""
    values = {"zones": 3, "slots": 30, "lethal": (PATH,)} | server
    return samples.world_of(boxes, seed=seed, **values)


def crashes(world: mesh_world.World) -> int:
    """Return how many servers have ended."""
    return sum(box.server.crashes for box in world.boxes.values())
