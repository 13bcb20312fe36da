"""Random schedules of restarts, load shifts and shedding, to detect retry storms.

Each arrival of a request at the targets of a service after the first is a retry.
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
"""Requests per step at all boxes without bursts; each seed draws one of them."""


@attrs.define(kw_only=True)
class Result:
    """The result of a simulated schedule."""

    seed: int
    faults: list[str]
    retries: int
    requests: int
    schedule: list[str]


@attrs.define(kw_only=True)
class Schedule:
    """Draws faults and injects them into the simulated fleet."""

    world: simulation.World
    rng: random.Random
    injected: list[str] = attrs.Factory(list)
    weights: list[float] = attrs.Factory(lambda: [1.0] * BOXES)
    """Relative number of callers at each box."""
    load_factor: float = 1.0
    """Request rate relative to the normal one."""

    def inject_fault(self) -> None:
        """Draw a fault and inject it."""
        kinds = [
            self._restart_most,
            self._restart_one,
            self._move_callers,
            self._start_burst,
            self._shed_requests,
            self._shed_requests,
            self._lose_answers,
            self._fail_requests,
            self._crash_targets,
            self._cut_data_centre,
            self._freeze_daemon,
            self._stop_store,
        ]
        fault = self.rng.choice(kinds)
        self.injected.append(f"{self.world.now:.2f} {fault.__name__[1:]}")
        fault()

    def _boxes(self, share: float) -> list[simulation.Box]:
        boxes = list(self.world.boxes.values())
        return self.rng.sample(boxes, max(1, round(share * len(boxes))))

    def _restart_most(self) -> None:
        for box in self._boxes(0.6):
            if box.up:
                self.world.kill(box, self.rng.uniform(0.2, 1.0))

    def _restart_one(self) -> None:
        [box] = self._boxes(0.2)
        if box.up:
            self.world.kill(box, self.rng.uniform(0.2, 2.0))

    def _move_callers(self) -> None:
        self.weights = [self.rng.choice((0.0, 0.2, 1.0, 5.0)) for _ in self.weights]
        self.weights[self.rng.randrange(BOXES)] += 1.0

    def _start_burst(self) -> None:
        self.load_factor = self.rng.uniform(1.5, 3.0)
        self.world.after(self.rng.uniform(1.0, 5.0), self._end_burst)

    def _end_burst(self) -> None:
        self.load_factor = 1.0

    def _set_temporarily(self, name: str, value: object, normal: object) -> None:
        for box in self._boxes(self.rng.choice((0.2, 0.6, 1.0))):
            setattr(box.target, name, value)
            target = box.target
            self.world.after(
                self.rng.uniform(1.0, 6.0),
                lambda target=target: setattr(target, name, normal),
            )

    def _shed_requests(self) -> None:
        self._set_temporarily("shed_ratio", self.rng.uniform(0.3, 0.9), 0.0)

    def _lose_answers(self) -> None:
        self._set_temporarily("loses_answers", True, False)

    def _fail_requests(self) -> None:
        self._set_temporarily("fails", True, False)

    def _crash_targets(self) -> None:
        for box in self._boxes(0.4):
            if box.target.up:
                self.world.targets.crash(box, self.rng.uniform(0.3, 1.5))

    def _cut_data_centre(self) -> None:
        data_centre = f"hall-{self.rng.randrange(DATA_CENTRES)}"
        self.world.links.cut = links.isolate_data_centre(data_centre)
        self.world.after(self.rng.uniform(1.0, 5.0), self.world.links.heal)

    def _freeze_daemon(self) -> None:
        [box] = self._boxes(0.2)
        box.frozen_until = self.world.now + self.rng.uniform(0.3, 3.0)

    def _stop_store(self) -> None:
        self.world.store.up = False
        self.world.after(self.rng.uniform(0.5, 4.0), self._start_store)

    def _start_store(self) -> None:
        self.world.store.up = True


def play(seed: int) -> Result:
    """Simulate the schedule of a seed and count the retries."""
    rng = random.Random(seed)
    world = simulation.World(seed=seed)
    world.store.set_policy(samples.policy_of(samples.route(), samples.pay()))
    for index in range(BOXES):
        data_centre = f"hall-{index % DATA_CENTRES}"
        world.add_box(f"box-{index}", data_centre, "desk", slots=12)
    world.run(10.0)
    schedule = Schedule(world=world, rng=rng)
    boxes = list(world.boxes.values())
    end = world.now + SECONDS
    next_fault_at = world.now + 2.0
    due_requests = 0.0
    per_step = rng.choice(PER_STEP)
    while world.now < end:
        if world.now >= next_fault_at:
            schedule.inject_fault()
            next_fault_at = world.now + rng.uniform(0.2, 1.5)
        due_requests += per_step * schedule.load_factor
        while due_requests >= 1.0:
            due_requests -= 1.0
            [box] = rng.choices(boxes, schedule.weights)
            if box.up:
                once = rng.random() < 0.2
                path = "/pay/1" if once else "/look/1"
                world.callers.request(box, host=samples.HOST, path=path, once=once)
        world.run(STEP_S)
    world.run(3.0)
    ids = {run.request_id for run in world.targets.runs}
    return Result(
        seed=seed,
        faults=simulation.violations(world) + faults.over_budget(world),
        retries=len(world.targets.runs) - len(ids),
        requests=len(world.callers.requests),
        schedule=schedule.injected,
    )
