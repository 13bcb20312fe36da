"""Randomized fault injection for simulated daemons, with invariant checks."""

from __future__ import annotations

import bisect
import random

import attrs

from ferrydeck.mesh import policy
from tests import statements as checks
from tests.mesh import samples, simulation
from tests.mesh.simulation import links

DRAIN_TIMEOUT_S = 2.0
STEP_S = 0.02
RECOVERY_S = 8.0
"""Fault-free time at the end, in which service must recover, seconds."""


@attrs.define(kw_only=True)
class ScheduleResult:
    """Violations and served requests of a fault schedule."""

    seed: int
    violations: list[str]
    requests: int
    served: int
    recovered: float
    """Fraction served of the requests in the last two seconds."""
    schedule: list[str]


def policy_of(version: int) -> policy.Policy:
    """Return a policy with a safe route and an at-most-once route."""
    return samples.policy_of(samples.route(), samples.pay(), version=version)


@attrs.define(kw_only=True)
class Schedule:
    """Injects random faults and ends them."""

    world: simulation.World
    rng: random.Random
    history: list[str] = attrs.Factory(list)
    drained_at: dict[str, float] = attrs.Factory(dict)
    """Acknowledgement time of draining targets, by target id."""
    statements: bool = False
    """Whether targets also state limits, and that they leave, in their answers."""
    _version: int = 4

    def inject_fault(self) -> None:
        """Inject a random fault."""
        kinds = [
            self._kill,
            self._freeze,
            self._cut_data_centre,
            self._cut_box,
            self._store_down,
            self._store_cut,
            self._new_policy,
            self._drain,
            self._replace,
            self._lose_answers,
            self._shed,
            self._fail,
            self._stop,
        ]
        if self.statements:
            kinds += [self._state_limit] * 4 + [self._state_leaving] * 2
        kind = self.rng.choice(kinds)
        self.history.append(f"{self.world.now:.2f} {kind.__name__[1:]}")
        kind()

    def clear_faults(self) -> None:
        """End all faults that do not end on their own."""
        world = self.world
        world.store.up = True
        world.links.heal()
        world.store.cut = lambda box: False
        for box in world.boxes.values():
            box.target.loses_answers = False
            box.target.sheds = False
            box.target.fails = False
            box.target.rate_limit = None

    def _box(self) -> simulation.Box | None:
        up = [box for box in self.world.boxes.values() if box.up]
        return self.rng.choice(up) if len(up) > 2 else None

    def _kill(self) -> None:
        if (box := self._box()) is not None:
            self.world.kill(box, self.rng.uniform(0.1, 2.0))

    def _stop(self) -> None:
        box = self._box()
        if box is None or box.core.ctx.stopping:
            return
        self.world.stop(box)
        incarnation = box.incarnation
        self.world.after(6.5, lambda: self._restart(box, incarnation))

    def _restart(self, box: simulation.Box, incarnation: int) -> None:
        if box.incarnation == incarnation and not box.up:
            self.world.kill(box, 0.1)

    def _freeze(self) -> None:
        if (box := self._box()) is not None:
            box.frozen_until = self.world.now + self.rng.uniform(0.2, 4.0)
            self.world.strikes.append((box.name, self.world.now))

    def _cut_data_centre(self) -> None:
        data_centre = self.rng.choice(
            [box.data_centre for box in self.world.boxes.values()]
        )
        one_way = self.rng.random() < 0.3

        def outbound_only(one: simulation.Box, other: simulation.Box) -> bool:
            return one.data_centre == data_centre != other.data_centre

        self.world.cuts += [
            (box.name, self.world.now)
            for box in self.world.boxes.values()
            if box.data_centre == data_centre
        ]
        self._cut(outbound_only if one_way else links.isolate_data_centre(data_centre))

    def _cut_box(self) -> None:
        if (box := self._box()) is not None:
            self.world.cuts.append((box.name, self.world.now))
            self._cut(lambda one, other: box in (one, other))

    def _cut(self, cut: object) -> None:
        self.world.links.cut = cut
        self.world.after(self.rng.uniform(0.5, 5.0), self._heal)

    def _heal(self) -> None:
        self.world.links.heal()

    def _store_down(self) -> None:
        self.world.store.up = False
        self.world.after(self.rng.uniform(0.5, 5.0), self._store_up)

    def _store_up(self) -> None:
        self.world.store.up = True

    def _store_cut(self) -> None:
        box = self._box()
        self.world.store.cut = lambda one: one is box

    def _new_policy(self) -> None:
        self._version += self.rng.randint(1, 3)
        self.world.store.set_policy(policy_of(self._version))

    def _drain(self) -> None:
        candidates = [
            box for box in self.world.boxes.values() if not box.target.draining
        ]
        if len(candidates) < 3:
            return
        box = self.rng.choice(candidates)
        if not box.up:
            return
        target_id = box.target.target_id

        def on_ack(accepted: bool) -> None:
            if accepted:
                self.drained_at.setdefault(target_id, self.world.now)

        deregister = self.rng.random() < 0.3
        box.target.draining = True
        self.world.targets.send_heartbeat(
            box, ready=False, terminating=deregister, answered=on_ack
        )
        self.world.after(4.0, lambda: self.world.targets.replace(box))

    def _replace(self) -> None:
        if (box := self._box()) is not None and not box.target.draining:
            self.world.targets.replace(box)

    def _state_limit(self) -> None:
        """Have a target state a limit that changes once."""
        box = self._box()
        if box is None:
            return
        target = box.target
        target.rate_limit = self.rng.choice((0.0, 0.5, 3.0, 8.0, 15.0))
        changed = self.rng.choice((1.0, 6.0, 20.0))
        change_s = self.rng.uniform(4.0, 8.0)

        def state(rate: float | None) -> None:
            target.rate_limit = rate

        self.world.after(change_s, lambda: state(changed))
        self.world.after(change_s + self.rng.uniform(1.0, 8.0), lambda: state(None))

    def _state_leaving(self) -> None:
        """Have a target leave by its answers alone."""
        box = self._box()
        leaving = [one for one in self.world.boxes.values() if one.target.leaving]
        if box is None or len(leaving) > 2:
            return
        box.target.says_leaving = True
        self.world.after(6.0, lambda: self.world.targets.replace(box))

    def _lose_answers(self) -> None:
        self._target_fault("loses_answers")

    def _shed(self) -> None:
        self._target_fault("sheds")

    def _fail(self) -> None:
        self._target_fault("fails")

    def _target_fault(self, name: str) -> None:
        box = self._box()
        if box is None:
            return
        target = box.target
        setattr(target, name, True)
        self.world.after(
            self.rng.uniform(0.5, 3.0), lambda: setattr(target, name, False)
        )


def run_schedule(
    seed: int, *, boxes: int = 6, seconds: float = 20.0, statements: bool = False
) -> ScheduleResult:
    """Run the fault schedule of a seed and check the invariants."""
    rng = random.Random(seed)
    world = simulation.World(seed=seed)
    world.store.set_policy(policy_of(4))
    for index in range(boxes):
        world.add_box(f"box-{index}", f"hall-{index % 3}", "desk", slots=12)
    world.run(2.0)
    schedule = Schedule(world=world, rng=rng, statements=statements)
    next_fault_at = world.now + 1.0
    faults_end = world.now + seconds
    while world.now < faults_end + RECOVERY_S:
        if next_fault_at <= world.now < faults_end:
            schedule.inject_fault()
            next_fault_at = world.now + rng.uniform(0.2, 3.0)
        if world.now >= faults_end and next_fault_at != float("inf"):
            schedule.clear_faults()
            next_fault_at = float("inf")
        _send_requests(world, rng)
        world.run(STEP_S)
    world.run(3.0)
    return _result(seed, world, schedule)


def _send_requests(world: simulation.World, rng: random.Random) -> None:
    for box in world.boxes.values():
        if not box.up or rng.random() > 0.5:
            continue
        once = rng.random() < 0.3
        req = world.callers.request(
            box, host=samples.HOST, path="/pay/1" if once else "/look/1", once=once
        )
        if rng.random() < 0.05:
            world.after(rng.uniform(0.0, 0.1), lambda one=req: _disconnect(world, one))


def _disconnect(world: simulation.World, req: simulation.Request) -> None:
    if req.answer is None and req.disconnected_at is None:
        world.callers.disconnect(req)


def _result(seed: int, world: simulation.World, schedule: Schedule) -> ScheduleResult:
    violations = simulation.violations(world)
    violations += _sent_after_drain(world, schedule)
    violations += _unanswered(world)
    violations += over_budget(world)
    record = simulation.record_of(world)
    violations += checks.over_limit(record) + checks.sent_after_leaving(record)
    requests = list(world.callers.requests.values())
    last_sent_at = requests[-1].at
    recent = [one for one in requests if one.at > last_sent_at - 2.0]
    recent = [one for one in recent if one.disconnected_at is None]
    return ScheduleResult(
        seed=seed,
        violations=violations,
        requests=len(requests),
        served=sum(served(one) for one in requests),
        recovered=sum(map(served, recent)) / len(recent),
        schedule=schedule.history,
    )


def served(req: simulation.Request) -> bool:
    """Return whether a caller received a complete answer."""
    return req.answer is not None and req.answer.status == 200


def _sent_after_drain(world: simulation.World, schedule: Schedule) -> list[str]:
    return [
        f"DRAIN {one.request_id} reaches {one.target_id} at {one.at:.3f}"
        for one in world.targets.runs
        if one.target_id in schedule.drained_at
        and one.at > schedule.drained_at[one.target_id] + DRAIN_TIMEOUT_S
    ]


def _unanswered(world: simulation.World) -> list[str]:
    """Return requests without a final answer although their daemon kept running."""
    return [
        f"UNANSWERED {one.request_id} at {one.box}"
        for one in world.callers.requests.values()
        if one.answer is None and one.disconnected_at is None
    ]


def over_budget(world: simulation.World) -> list[str]:
    """Return the window that exceeds the retry budget by the most, if any."""
    limits = world.limits
    seen: set[str] = set()
    retries = []
    for one in world.targets.runs:
        if one.request_id in seen:
            retries.append(one.at)
        seen.add(one.request_id)
    request_times = sorted(one.at for one in world.callers.requests.values())
    max_excess, max_excess_at = 0.0, 0.0
    for end in retries:
        retry_count = _in_window(retries, end, limits.retry_window_s)
        ends = (end, end - limits.retry_window_s / 2, end - limits.retry_window_s)
        max_requests = max(
            _in_window(request_times, one, limits.retry_window_s) for one in ends
        )
        excess = retry_count - limits.retry_ratio * max_requests - limits.retry_slack
        if excess > max_excess:
            max_excess, max_excess_at = excess, end
    return (
        [f"BUDGET {max_excess:.1f} over at {max_excess_at:.2f}"] if max_excess else []
    )


def _in_window(times: list[float], end: float, window_s: float) -> int:
    """Return the number of sorted times in the window that ends at `end`."""
    return bisect.bisect_right(times, end) - bisect.bisect_right(times, end - window_s)
