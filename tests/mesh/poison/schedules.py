"""Random fault schedules in which no target crashes because of a request.

They detect harmless requests, half of them identical, that are taken for poison.
"""

from __future__ import annotations

import random
import sys

import attrs

from tests.mesh import samples, simulation
from tests.mesh.simulation import links

BOXES = 5
POPULAR_PATH = "/look/popular"
SECONDS = 5.0
STEP_S = 0.02
FAULT_INTERVAL_S = (0.05, 0.8)
"""Range of the interval between two faults, seconds."""
SHORT_NOTICE_S = 2.0
SUSPECT_REASONS = frozenset({"condemned", "suspect"})


@attrs.define(kw_only=True)
class Schedule:
    """A fleet under load, with random faults."""

    world: simulation.World
    rng: random.Random
    requests: list[simulation.Request] = attrs.Factory(list)
    faults: list[str] = attrs.Factory(list)

    def run(self) -> None:
        """Send requests and inject faults, then send requests without faults."""
        faults_end = self.world.now + SECONDS
        next_fault_at = self.world.now + self.rng.uniform(*FAULT_INTERVAL_S)
        while self.world.now < faults_end + 1.0:
            if next_fault_at <= self.world.now < faults_end:
                self.inject_fault()
                next_fault_at = self.world.now + self.rng.uniform(*FAULT_INTERVAL_S)
            self._send_requests()
            self.world.run(STEP_S)
        self.world.links.heal()
        self.world.run(3.0)

    def inject_fault(self) -> None:
        """Inject a random fault at a random box."""
        fault = self.rng.choice(
            [
                self._crash,
                self._crash_some,
                self._crash_repeatedly,
                self._lose_power,
                self._drain_and_replace,
                self._stop_at_short_notice,
                self._report_wrong_health,
                self._lose_answers,
                self._kill,
                self._freeze,
                self._partition,
            ]
        )
        self.faults.append(f"{self.world.now:.2f} {fault.__name__[1:]}")
        fault(self.rng.choice(list(self.world.boxes.values())))

    def rejected_as_suspect(self) -> list[str]:
        """Return the requests that were rejected as suspect or blocked."""
        return [
            f"{one.request_id} at {one.at:.2f}: {one.answer.reason}"
            for one in self.requests
            if one.answer is not None and one.answer.reason in SUSPECT_REASONS
        ]

    def _send_requests(self) -> None:
        for box in self.world.boxes.values():
            if box.up and self.rng.random() < 0.4:
                popular = self.rng.random() < 0.5
                path = POPULAR_PATH if popular else f"/look/{self.world.number()}"
                self.requests.append(samples.ask(self.world, box.name, path=path))

    def _crash(self, box: simulation.Box) -> None:
        if box.target.up:
            self.world.targets.crash(box, self.rng.uniform(0.3, 2.0))

    def _crash_some(self, box: simulation.Box) -> None:
        for one in self.world.boxes.values():
            if self.rng.random() < 0.6:
                self._crash(one)

    def _crash_repeatedly(self, box: simulation.Box) -> None:
        for turn in range(3):
            self.world.after(0.9 * turn, lambda: self._crash(box))

    def _lose_power(self, box: simulation.Box) -> None:
        if box.up and box.target.up:
            box.target.running.clear()
            self.world.kill(box, 0.5)
            self.world.targets.replace(box)

    def _drain_and_replace(self, box: simulation.Box) -> None:
        if box.up and not box.target.draining:
            self.world.targets.drain(box)
            self.world.after(2.5, lambda: self.world.targets.replace(box))

    def _stop_at_short_notice(self, box: simulation.Box) -> None:
        if box.up and not box.target.draining:
            self.world.targets.drain(box)
            self.world.after(SHORT_NOTICE_S, lambda: self._crash(box))

    def _report_wrong_health(self, box: simulation.Box) -> None:
        target = box.target
        target.health = self.rng.random() < 0.5
        self.world.after(1.0, lambda: setattr(target, "health", None))

    def _lose_answers(self, box: simulation.Box) -> None:
        target = box.target
        target.loses_answers = True
        self.world.after(0.7, lambda: setattr(target, "loses_answers", False))

    def _kill(self, box: simulation.Box) -> None:
        if box.up:
            self.world.kill(box, 0.4)

    def _freeze(self, box: simulation.Box) -> None:
        box.frozen_until = self.world.now + self.rng.uniform(0.2, 1.5)

    def _partition(self, box: simulation.Box) -> None:
        self.world.links.cut = links.isolate_data_centre(box.data_centre)
        self.world.after(0.8, self._heal)

    def _heal(self) -> None:
        self.world.links.heal()


def run_schedule(seed: int) -> Schedule:
    """Run the schedule of a seed."""
    world = samples.world_of(BOXES, seed=seed, data_centres=2, slots=12)
    schedule = Schedule(world=world, rng=random.Random(seed))
    schedule.run()
    return schedule


def main(seeds: int) -> None:
    """Run many seeds and print those with requests rejected as suspect."""
    for seed in range(seeds):
        if found := run_schedule(seed).rejected_as_suspect():
            print(seed, found)


if __name__ == "__main__":
    main(int(sys.argv[1]))
