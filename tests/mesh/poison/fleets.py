"""Simulated fleets in which one request crashes every target that runs it."""

from __future__ import annotations

import random
from collections.abc import Iterator

import attrs

from tests.mesh import samples, simulation

PATH = "/look/lethal"


def build_world(boxes: int, seed: int, **target: object) -> simulation.World:
    """Return a fleet whose targets crash when they run a request of `PATH`."""
    values = {"data_centres": 3, "slots": 30, "lethal": (PATH,)} | target
    return samples.world_of(boxes, seed=seed, **values)


def crash_count(world: simulation.World) -> int:
    """Return the number of target crashes."""
    return sum(box.target.crashes for box in world.boxes.values())


@attrs.define(kw_only=True)
class Fleet:
    """A fleet with constant harmless load, and poison requests on demand."""

    world: simulation.World
    rng: random.Random
    harmless: list[simulation.Request] = attrs.Factory(list)
    poison: list[simulation.Request] = attrs.Factory(list)

    def run_load(self, seconds: float, every_s: float = 0.004) -> None:
        """Send harmless requests with distinct paths for some time."""
        for _ in range(round(seconds / every_s)):
            path = f"/look/{self.world.number()}"
            self.harmless.append(samples.ask(self.world, self._box(), path=path))
            self.world.run(every_s)

    def send_poison(self, path: str = PATH, box: str = "", **more: object) -> None:
        """Send a poison request to a box, or to a random one."""
        req = samples.ask(self.world, box or self._box(), path=path, **more)
        self.poison.append(req)

    def finish(self) -> None:
        """Run until all requests have ended."""
        self.run_load(1.0)
        self.world.run(4.0)

    def suspect_rejections(self) -> list[str]:
        """Return the reasons of harmless requests rejected as suspect or blocked."""
        reasons = [one.answer.reason for one in self.harmless if one.answer is not None]
        return [one for one in reasons if one in ("condemned", "suspect")]

    def served_ratio(self) -> float:
        """Return the ratio of harmless requests that were served."""
        statuses = samples.statuses(self.harmless)
        return statuses.count(200) / max(1, len(statuses))

    def _box(self) -> str:
        return self.rng.choice([one.name for one in self._up()])

    def _up(self) -> Iterator[simulation.Box]:
        return (one for one in self.world.boxes.values() if one.up)


def loaded_fleet(boxes: int, seed: int, **target: object) -> Fleet:
    """Return a fleet after half a second of harmless load."""
    fleet = Fleet(world=build_world(boxes, seed, **target), rng=random.Random(seed))
    fleet.run_load(0.5)
    return fleet


def crashes_caused(fleet: Fleet, path: str = PATH) -> int:
    """Return the number of crashes caused by requests of a path."""
    return sum(
        one.ran and one.path.startswith(path) for one in fleet.world.targets.runs
    )
