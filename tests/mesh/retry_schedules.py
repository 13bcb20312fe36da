"""Random schedules of restarts, moves and shedding, short and several at once.

What is counted is what the users count: arrivals at the targets of a service beyond the
first of each request, in any window, against the requests that callers sent.
"""

from __future__ import annotations

import random

import attrs

from tests.mesh import faults, samples, simulation
from tests.mesh.simulation import links

BOXES = 5
DATA_CENTRES = 3
STEP_S = 0.02
SECONDS = 22.0
PER_STEP = (0.3, 0.8, 2.0)
"""Requests in a step, all boxes together, before bursts; a seed draws one."""


@attrs.define(kw_only=True)
class Played:
    """A schedule that was played."""

    seed: int
    faults: list[str]
    retries: int
    requests: int
    schedule: list[str]


@attrs.define(kw_only=True)
class Schedule:
    """Draws what strikes the fleet."""

    world: simulation.World
    rng: random.Random
    done: list[str] = attrs.Factory(list)
    weights: list[float] = attrs.Factory(lambda: [1.0] * BOXES)
    """How many of the callers are at each box."""
    times: float = 1.0
    """Requests compared with usual."""

    def strike(self) -> None:
        """Begin what was drawn."""
        kinds = [
            self._herd,
            self._kill,
            self._move,
            self._burst,
            self._shed,
            self._shed,
            self._lose,
            self._fail,
            self._crash,
            self._cut,
            self._freeze,
            self._store_away,
        ]
        kind = self.rng.choice(kinds)
        self.done.append(f"{self.world.now:.2f} {kind.__name__[1:]}")
        kind()

    def _boxes(self, share: float) -> list[simulation.Box]:
        boxes = list(self.world.boxes.values())
        return self.rng.sample(boxes, max(1, round(share * len(boxes))))

    def _herd(self) -> None:
        for box in self._boxes(0.6):
            if box.up:
                self.world.kill(box, self.rng.uniform(0.2, 1.0))

    def _kill(self) -> None:
        [box] = self._boxes(0.2)
        if box.up:
            self.world.kill(box, self.rng.uniform(0.2, 2.0))

    def _move(self) -> None:
        self.weights = [self.rng.choice((0.0, 0.2, 1.0, 5.0)) for _ in self.weights]
        self.weights[self.rng.randrange(BOXES)] += 1.0

    def _burst(self) -> None:
        self.times = self.rng.uniform(1.5, 3.0)
        self.world.after(self.rng.uniform(1.0, 5.0), self._usual)

    def _usual(self) -> None:
        self.times = 1.0

    def _for_a_while(self, name: str, value: object, usual: object) -> None:
        for box in self._boxes(self.rng.choice((0.2, 0.6, 1.0))):
            setattr(box.target, name, value)
            target = box.target
            self.world.after(
                self.rng.uniform(1.0, 6.0),
                lambda target=target: setattr(target, name, usual),
            )

    def _shed(self) -> None:
        self._for_a_while("sheds_share", self.rng.uniform(0.3, 0.9), 0.0)

    def _lose(self) -> None:
        self._for_a_while("loses_answers", True, False)

    def _fail(self) -> None:
        self._for_a_while("fails", True, False)

    def _crash(self) -> None:
        for box in self._boxes(0.4):
            if box.target.up:
                self.world.targets.crash(box, self.rng.uniform(0.3, 1.5))

    def _cut(self) -> None:
        data_centre = f"hall-{self.rng.randrange(DATA_CENTRES)}"
        self.world.links.cut = links.around(data_centre)
        self.world.after(self.rng.uniform(1.0, 5.0), self.world.links.mend)

    def _freeze(self) -> None:
        [box] = self._boxes(0.2)
        box.frozen_until = self.world.now + self.rng.uniform(0.3, 3.0)

    def _store_away(self) -> None:
        self.world.store.up = False
        self.world.after(self.rng.uniform(0.5, 4.0), self._store_back)

    def _store_back(self) -> None:
        self.world.store.up = True


def play(seed: int) -> Played:
    """Play the schedule of a seed and count the retries."""
    rng = random.Random(seed)
    world = simulation.World(seed=seed)
    world.store.use(samples.policy_of(samples.route(), samples.pay()))
    for index in range(BOXES):
        data_centre = f"hall-{index % DATA_CENTRES}"
        world.add_box(f"box-{index}", data_centre, "desk", slots=12)
    world.run(10.0)
    schedule = Schedule(world=world, rng=rng)
    boxes = list(world.boxes.values())
    ends = world.now + SECONDS
    strike_at = world.now + 2.0
    due = 0.0
    per_step = rng.choice(PER_STEP)
    while world.now < ends:
        if world.now >= strike_at:
            schedule.strike()
            strike_at = world.now + rng.uniform(0.2, 1.5)
        due += per_step * schedule.times
        while due >= 1.0:
            due -= 1.0
            [box] = rng.choices(boxes, schedule.weights)
            if box.up:
                once = rng.random() < 0.2
                path = "/pay/1" if once else "/look/1"
                world.callers.request(box, host=samples.HOST, path=path, once=once)
        world.run(STEP_S)
    world.run(3.0)
    ids = {one.request_id for one in world.targets.runs}
    return Played(
        seed=seed,
        faults=simulation.faults(world) + faults.over_budget(world),
        retries=len(world.targets.runs) - len(ids),
        requests=len(world.callers.requests),
        schedule=schedule.done,
    )
