"""Random schedules of faults, key changes and overload for a fleet with teams.

Keys and quotas are checked at the targets.
"""

from __future__ import annotations

import bisect
import collections
import random
import sys

import attrs

from tests.mesh import simulation
from tests.mesh.simulation import links
from tests.mesh.teams import fleets

HALLS = 3
BOXES = 9
STEP_S = 0.05
BASE_LOAD_RATIO = 0.6
"""Usual load of a team relative to its rate."""
RATES = {"large": 60.0, "mill": 12.0, "farm": 4.0}
"""Rates of a large, a medium and a small team, requests per second."""
OVERLOADS = (3.0, 7.5)
"""Loads of an overloading team relative to its usual load."""


@attrs.define(kw_only=True)
class Schedule:
    """A fleet, its changing policy, and when each key and rate was valid."""

    rng: random.Random
    world: simulation.World
    keys: dict[str, list[str]]
    rates: dict[str, float]
    revoked_at: dict[str, float] = attrs.Factory(dict)
    """When each revoked key was revoked."""
    owners: dict[str, set[str]] = attrs.Factory(dict)
    """Teams that each key has belonged to."""
    rate_changes: dict[str, list[tuple[float, float]]] = attrs.Factory(dict)
    """Rates of each team in the store, with the time of each change."""
    overload: tuple[str, float] = ("", 1.0)
    sent: dict[str, tuple[str, float]] = attrs.Factory(dict)
    """The key of each request and when it was sent, by request id."""
    actions: list[str] = attrs.Factory(list)
    with_faults: bool = True
    _version: int = 4
    _last_key: int = 0

    def act(self) -> None:
        """Start a random action."""
        kinds = [self._revoke, self._issue, self._move, self._set_rate, self._overload]
        if self.with_faults:
            kinds += [
                self._kill_box,
                self._kill_all,
                self._freeze_box,
                self._partition_data_centre,
                self._partition_box,
                self._partition_and_revoke,
                self._stop_store,
                self._reject_store_calls,
            ]
        action = self.rng.choice(kinds)
        self.actions.append(f"{self.world.now:.2f} {action.__name__[1:]}")
        action()

    def send_step(self) -> None:
        """Send the requests of all teams for one step, some with revoked keys."""
        for name, rate in RATES.items():
            times = self.overload[1] if self.overload[0] == name else 1.0
            for _ in range(self._round(BASE_LOAD_RATIO * rate * times * STEP_S)):
                self._send_request(self.rng.choice(self.keys[name] or ["none"]))
        for key in self.revoked_at:
            if self.rng.random() < 0.2:
                self._send_request(key)

    def publish(self) -> None:
        """Write the current policy to the store."""
        self._version += 1
        teams = [
            fleets.team_keys(name, *team_keys, rate=self.rates[name])
            for name, team_keys in self.keys.items()
        ]
        self.world.store.set_policy(fleets.policy_of(*teams, version=self._version))
        for name, rate in self.rates.items():
            self.rate_changes.setdefault(name, []).append((self.world.now, rate))
        for name, team_keys in self.keys.items():
            for key in team_keys:
                self.owners.setdefault(key, set()).add(name)

    def _send_request(self, key: str) -> None:
        up = [box for box in self.world.boxes.values() if box.up]
        if not up:
            return
        req = fleets.ask(self.world, self.rng.choice(up).name, key)
        self.sent[req.request_id] = (key, req.at)

    def _round(self, mean: float) -> int:
        count = int(mean)
        return count + (self.rng.random() < mean - count)

    def _revoke(self) -> None:
        name = self.rng.choice(list(self.keys))
        if len(self.keys[name]) > 1:
            key = self.keys[name].pop(0)
            self.publish()
            self.revoked_at[key] = self.world.now

    def _issue(self) -> None:
        self._last_key += 1
        name = self.rng.choice(list(self.keys))
        self.keys[name].append(f"{name}-{self._last_key}")
        self.publish()

    def _move(self) -> None:
        source, target = self.rng.sample(list(self.keys), 2)
        if len(self.keys[source]) > 1:
            self.keys[target].append(self.keys[source].pop(0))
            self.publish()

    def _set_rate(self) -> None:
        name = self.rng.choice(list(self.rates))
        self.rates[name] = RATES[name] * self.rng.choice([0.3, 0.6, 1.0])
        self.publish()

    def _overload(self) -> None:
        self.overload = (self.rng.choice(list(RATES)), self.rng.choice(OVERLOADS))
        self.world.after(self.rng.uniform(2.0, 8.0), self._end_overload)

    def _end_overload(self) -> None:
        self.overload = ("", 1.0)

    def _random_box(self) -> simulation.Box:
        return self.rng.choice(list(self.world.boxes.values()))

    def _kill_box(self) -> None:
        if (box := self._random_box()).up:
            self.world.kill(box, self.rng.uniform(0.1, 2.0))

    def _kill_all(self) -> None:
        for box in self.world.boxes.values():
            if box.up:
                self.world.kill(box, 1.0)

    def _freeze_box(self) -> None:
        self._random_box().frozen_until = self.world.now + self.rng.uniform(0.5, 8.0)

    def _partition_data_centre(self) -> None:
        data_centre = f"hall-{self.rng.randrange(HALLS)}"
        self._partition(links.isolate_data_centre(data_centre))

    def _partition_box(self) -> None:
        box = self._random_box()
        self._partition(lambda one, other: box in (one, other))
        self.world.store.cut = lambda one: one is box

    def _partition_and_revoke(self) -> None:
        """Revoke a key just after a box was partitioned from all others."""
        self._partition_box()
        self.world.after(0.1, self._revoke)

    def _partition(self, cut) -> None:
        self.world.links.cut = cut
        self.world.after(self.rng.uniform(1.0, 9.0), self._end_partition)

    def _end_partition(self) -> None:
        self.world.links.heal()
        self.world.store.cut = lambda one: False

    def _stop_store(self) -> None:
        self.world.store.up = False
        self.world.after(self.rng.uniform(1.0, 9.0), self._restart_store)

    def _restart_store(self) -> None:
        self.world.store.up = True

    def _reject_store_calls(self) -> None:
        rejected = {self._random_box().name for _ in range(3)}
        self.world.store.rejects = lambda box: box.name in rejected
        self.world.after(self.rng.uniform(1.0, 9.0), self._accept_store_calls)

    def _accept_store_calls(self) -> None:
        self.world.store.rejects = lambda box: False


def run(seed: int, *, seconds: float = 24.0, faults: bool = True) -> Schedule:
    """Run the schedule of a seed."""
    rng = random.Random(seed)
    world = fleets.world_of(boxes=BOXES, data_centres=HALLS, seed=seed, settle_s=0.01)
    team_keys = {name: [f"{name}-a", f"{name}-b", f"{name}-c"] for name in RATES}
    schedule = Schedule(
        rng=rng, world=world, keys=team_keys, rates=dict(RATES), with_faults=faults
    )
    schedule.publish()
    world.run(3.0)
    next_at, ends = world.now + 1.0, world.now + seconds
    while world.now < ends:
        if world.now >= next_at:
            schedule.act()
            next_at = world.now + rng.uniform(0.5, 4.0)
        schedule.send_step()
        world.run(STEP_S)
    world.run(1.0)
    return schedule


def key_violations(schedule: Schedule) -> list[str]:
    """Return runs with a revoked key, or for a team that never had the key."""
    violations = []
    for run in schedule.world.targets.runs:
        if not run.ran or run.request_id not in schedule.sent:
            continue
        key, sent = schedule.sent[run.request_id]
        if run.team not in schedule.owners.get(key, set()):
            violations.append(f"UNASKED {key} ran as {run.team!r} at {run.at:.2f}")
        late_s = sent - schedule.revoked_at.get(key, float("inf")) - fleets.REVOCATION_S
        if late_s > 0:
            violations.append(f"REVOKED {key} sent {late_s:.2f} s too late")
    return violations


def violations_of_seed(seed: int) -> list[str]:
    """Run the schedule of a seed and return its violations."""
    return key_violations(run(seed))


def peak_usage(schedule: Schedule) -> dict[str, float]:
    """Return the highest usage of each team in any window, relative to its limit."""
    runs: dict[str, list[float]] = collections.defaultdict(list)
    for run in schedule.world.targets.runs:
        if run.ran and run.team:
            runs[run.team].append(run.at)
    return {name: _peak_usage(schedule, name, times) for name, times in runs.items()}


def _peak_usage(schedule: Schedule, name: str, times: list[float]) -> float:
    times.sort()
    peak = 0.0
    for last, at in enumerate(times):
        count = last + 1 - bisect.bisect_left(times, at - fleets.WINDOW_S)
        peak = max(peak, count / _allowed_requests(schedule.rate_changes[name], at))
    return peak


def _allowed_requests(limits: list[tuple[float, float]], at: float) -> float:
    """Return the limit of requests in the window that ends at `at`.

    A lower rate counts one window after it is in force, a higher one at once.
    """
    lag_s = fleets.WINDOW_S + fleets.APPLY_S
    counts = [
        rate
        for index, (since, rate) in enumerate(limits)
        if since <= at
        and (index + 1 == len(limits) or limits[index + 1][0] > at - lag_s)
    ]
    rate = max(counts)
    return (rate * fleets.WINDOW_S + rate) * (1 + fleets.EXCESS_RATIO) + fleets.SLACK


def main(first: int, last: int) -> int:
    """Run a range of seeds, print violations, and return the number of failed seeds."""
    failed = 0
    for seed in range(first, last + 1):
        schedule = run(seed)
        violations = key_violations(schedule)
        usage = max(peak_usage(schedule).values())
        if violations or usage > 1.0:
            failed += 1
            print(seed, f"{usage:.3f}", violations[:3], schedule.actions)
    print(f"{last - first + 1} seeds, {failed} of them failed")
    return failed


if __name__ == "__main__":
    sys.exit(bool(main(int(sys.argv[1]), int(sys.argv[2]))))
