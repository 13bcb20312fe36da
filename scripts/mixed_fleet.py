"""Tests the compatibility of two versions in a fleet of old and new daemons.

Run it from the repository's root, with a checkout of the old version:

    .venv/bin/python scripts/mixed_fleet.py --old PATH_OF_OLD_CHECKOUT

Every second daemon runs the code of the old checkout; the store and targets are
stand-ins of this one. Prints a table and exits with 0 if every step passed, else 1.
"""

from __future__ import annotations

import argparse
import collections
import concurrent.futures
import pathlib
import subprocess
import sys
import tempfile
import threading
import time

import attrs

ROOT = pathlib.Path(__file__).parents[1]
sys.path.insert(0, str(ROOT))

import mixed_load  # noqa: E402

from ferrydeck.standins import fleet  # noqa: E402
from tests.platform import mesh_fleet  # noqa: E402

OLD, NEW = "old", "new"
KINDS = (OLD, NEW, OLD, NEW)
"""Four boxes, so that daemons of each kind have peers of both kinds."""
SLOTS = 2
WORK_MS = 8.0
POLICY_TIMEOUT_S = 5.0
STOP_TIMEOUT_S = 20.0
FIRST_VERSION, TEAMS_VERSION = 4, 7
TEAMS = tuple(f"team-{number}" for number in range(6))
"""Enough teams for daemons of both kinds to coordinate some, as they are hashed."""
RATE_PER_S = 15
BURST_SIZE = 10
OFFERED_RATE_PER_S = 12
"""Requests per second of each team at each box: over three times its rate in total,
but few enough for this process to send on time."""
QUOTA_RUN_S = 11.0
SETTLE_S = 3.0
"""Excluded at the start of a quota run, until the grants have converged."""
REJECTED = 429
MAX_RATE_ERROR = 0.35
"""Maximum relative error of the admitted rate. A grant lags usage by some tenths of a
second, and requests aren't paced."""
LOST, SILENT = "link-lost", "silent"


class StepFailed(Exception):
    """Raised when the check of a step fails."""


@attrs.define(kw_only=True)
class StepResult:
    """The result of a step, printed as a line of the table."""

    step: str
    passed: bool
    figures: str


class MixedFleet(mesh_fleet.MeshFleet):
    """A fleet whose daemons run the code of two checkouts."""

    def __init__(self, folder: pathlib.Path, old: pathlib.Path) -> None:
        self.old = old
        self.kinds: dict[str, str] = {}
        super().__init__(folder)

    def start_daemon(
        self, number: int, settings: pathlib.Path, kind: str = ""
    ) -> fleet.Process:
        """Start the daemon of a box with the code of its kind."""
        name = f"box-{number}"
        self.kinds[name] = kind = kind or self.kinds.get(name) or KINDS[number - 1]
        return self.spawn(
            f"daemon-{number}-{kind}",
            "ferrydeck.meshd",
            "--settings",
            str(settings),
            checkout=self.old if kind == OLD else ROOT,
        )

    def kind_of(self, box: mesh_fleet.MeshBox) -> str:
        """Return the kind of a box's daemon."""
        return self.kinds[box.name]

    def first_of(self, kind: str) -> mesh_fleet.MeshBox:
        """Return the first box with a daemon of a kind."""
        return next(box for box in self.boxes if self.kind_of(box) == kind)

    def restart(self, box: mesh_fleet.MeshBox, kind: str) -> None:
        """Restart the daemon of a box with the code of a kind."""
        number = self.boxes.index(box) + 1
        box.daemon = self.start_daemon(number, box.settings, kind)

    def replace_server(self, box: mesh_fleet.MeshBox, reports: str = "") -> str:
        """Replace the target of a box and return its id once its daemon knows it."""
        box.server.kill()
        instance = f"i-{time.time_ns():x}"
        box.server = self.start_server(box, instance, reports)
        fleet.eventually(
            lambda: logged(box, "server-ready", instance), "the new target is known"
        )
        return instance

    def count_executions(self) -> collections.Counter[str]:
        """Return the executions of each request over all current targets."""
        return collections.Counter(
            entry for box in self.boxes for entry in box.ran_ids()
        )

    def wait_in_force(self, version: int) -> float:
        """Wait until a policy is in force at all daemons and return the duration."""
        start = time.monotonic()
        for box in self.boxes:
            fleet.eventually(
                lambda box=box: box.metric("ferrydeck_policy_version") == version,
                f"version {version} is in force at {box.name}",
                within_s=POLICY_TIMEOUT_S,
            )
        return time.monotonic() - start


def logged(box: mesh_fleet.MeshBox, kind: str, instance: str) -> bool:
    """Return whether a daemon logged an event of a target."""
    return any(
        entry["kind"] == kind and str(entry.get("instance", "")).startswith(instance)
        for entry in box.log_lines()
    )


def serve(mesh: MixedFleet) -> str:
    """Send requests through each box to the targets of both kinds of daemons."""
    load = mixed_load.Load(name="serve")
    before = {box.name: len(box.ran_ids()) for box in mesh.boxes}
    pairs: collections.Counter[str] = collections.Counter()
    for box in mesh.boxes:
        load.send_all(box)
        for other in mesh.boxes:
            ran = len(other.ran_ids())
            pair = f"{mesh.kind_of(box)}->{mesh.kind_of(other)}"
            pairs[pair] += (ran - before[other.name]) * (other is not box)
            before[other.name] = ran
    runs = mesh.count_executions()
    postings = {one for one in load.succeeded if int(one.rpartition("-")[2]) % 2 == 0}
    wrong = sum(runs[one] != 1 for one in postings)
    figures = f"{dict(load.totals)}; beside other boxes {dict(sorted(pairs.items()))}"
    if load.failed() or load.totals["503"] > len(KINDS) * mixed_load.REQUESTS // 50:
        raise StepFailed(figures)
    if wrong or len(pairs) < 4 or min(pairs.values()) < 50:
        raise StepFailed(f"{figures}; {wrong} postings did not run once")
    return figures


def change_policy(mesh: MixedFleet) -> str:
    """Change the policy at all daemons, also after the store discards its history."""
    mesh.publish(mesh_fleet.manifest(FIRST_VERSION + 1))
    plain_s = mesh.wait_in_force(FIRST_VERSION + 1)
    mesh.control("forget")
    mesh.publish(mesh_fleet.manifest(FIRST_VERSION + 2))
    forgotten_s = mesh.wait_in_force(FIRST_VERSION + 2)
    return f"in force at all after {plain_s:.2f} s, {forgotten_s:.2f} s"


def relay_heartbeats(mesh: MixedFleet) -> str:
    """Relay the heartbeats and leaves of targets by daemons of the other kind."""
    results = []
    for kind, other in ((OLD, NEW), (NEW, OLD)):
        box, neighbour = mesh.first_of(kind), mesh.first_of(other)
        instance = mesh.replace_server(box, neighbour.address("reports"))
        if not box.control("drain")["acked"]:
            raise StepFailed(f"{other} daemon did not acknowledge for {kind}")
        fleet.eventually(
            lambda box=box, instance=instance: logged(box, "server-leaving", instance),
            "the target leaves",
        )
        results.append(f"by {other} to {kind}: leaving, acknowledged")
        mesh.replace_server(box)
    mesh.wait_linked()
    return "; ".join(results)


def grant_quotas(mesh: MixedFleet) -> str:
    """Offer over three times each team's rate and check the admitted rate."""
    rows = [[name, [f"key-{name}"], 1, RATE_PER_S, BURST_SIZE] for name in TEAMS]
    columns = ["name", "api_keys", "priority", "rate_per_s", "burst"]
    table = mesh_fleet.manifest(TEAMS_VERSION)
    mesh.publish(table | {"tenants": {"columns": columns, "rows": rows}})
    mesh.wait_in_force(TEAMS_VERSION)
    pairs = [(box, team) for box in mesh.boxes for team in TEAMS]
    with concurrent.futures.ThreadPoolExecutor(len(pairs)) as pool:
        counted = list(pool.map(lambda pair: offer(*pair), pairs))
    admitted: collections.Counter[str] = collections.Counter()
    statuses: collections.Counter[int] = collections.Counter()
    for (_, team), (served, all_statuses) in zip(pairs, counted, strict=True):
        admitted[team] += served
        statuses += all_statuses
    rates = {team: admitted[team] / (QUOTA_RUN_S - SETTLE_S) for team in TEAMS}
    shown = " ".join(f"{rate:.1f}" for rate in rates.values())
    coordinators = {mesh.kind_of(box) for box in mesh.boxes if is_coordinator(box)}
    figures = f"{RATE_PER_S}/s each, admitted {shown}/s; statuses {dict(statuses)}"
    figures += f"; coordinators {sorted(coordinators)}"
    error = max(abs(rate / RATE_PER_S - 1.0) for rate in rates.values())
    if error > MAX_RATE_ERROR or not statuses[REJECTED] or len(coordinators) < 2:
        raise StepFailed(figures)
    return figures


def offer(box: mesh_fleet.MeshBox, team: str) -> tuple[int, collections.Counter[int]]:
    """Send a team's load through a box; return the served requests and statuses."""
    start = time.monotonic()
    served, statuses = 0, collections.Counter()
    pause = threading.Event()
    for number in range(int(QUOTA_RUN_S * OFFERED_RATE_PER_S)):
        pause.wait(max(0.0, start + number / OFFERED_RATE_PER_S - time.monotonic()))
        since_s = time.monotonic() - start
        if since_s > QUOTA_RUN_S:
            break
        request_id = f"quota-{box.name}-{team}-{number}"
        fields = {"X-Api-Key": f"key-{team}"}
        status = box.call("/look/1", request_id, fields=fields).status
        statuses[status] += 1
        served += status != REJECTED and since_s > SETTLE_S
    return served, statuses


def is_coordinator(box: mesh_fleet.MeshBox) -> bool:
    """Return whether a daemon has set the grant of a team."""
    return any(entry["kind"] == "allotment" for entry in box.log_lines())


def keep_links(mesh: MixedFleet) -> str:
    """Check that no link was closed, since no daemon was stopped so far.

    A daemon closes a link on a message that it can't decode, and its peer logs the
    end. Silent links are ignored, since a busy machine may delay a daemon.
    """
    lost = [one for box in mesh.boxes for one in box.log_lines() if one["kind"] == LOST]
    closed = [entry for entry in lost if entry["reason"] != SILENT]
    if closed:
        raise StepFailed(f"{len(closed)} links closed, the first: {closed[0]}")
    return f"no link closed, {len(lost)} found silent"


def stop_under_load(mesh: MixedFleet) -> str:
    """Gracefully stop and restart one daemon of each kind under load."""
    mesh.publish(mesh_fleet.manifest(TEAMS_VERSION + 1))
    mesh.wait_in_force(TEAMS_VERSION + 1)
    figures = []
    for kind in (OLD, NEW):
        load = mixed_load.Load(name=f"stop-{kind}")
        stopped = mesh.first_of(kind)
        code = stop(mesh, load, stopped)
        mesh.restart(stopped, kind)
        mesh.wait_linked()
        load.send_all(stopped, mixed_load.REQUESTS // 8)
        figures.append(f"{kind} ended with {code}, {dict(load.totals)}")
        if code or load.failed():
            raise StepFailed("; ".join(figures))
    return "; ".join(figures)


def stop(mesh: MixedFleet, load: mixed_load.Load, stopped: mesh_fleet.MeshBox) -> int:
    """Stop a daemon under load at all boxes and return its exit code.

    Its callers stop once it isn't ready, as behind a load balancer.
    """
    ended, left = threading.Event(), threading.Event()
    with concurrent.futures.ThreadPoolExecutor(len(mesh.boxes)) as pool:
        running = [
            pool.submit(load.send_until, box, left if box is stopped else ended)
            for box in mesh.boxes
        ]
        try:
            fleet.eventually(lambda: load.totals["200"] > 100, "the load runs")
            stopped.daemon.signal(15)
            fleet.eventually(lambda: not stopped.ready(), "it is not ready")
            left.set()
            code = stopped.daemon.popen.wait(STOP_TIMEOUT_S)
        finally:
            left.set()
            ended.set()
        for entry in running:
            entry.result()
    return code


def swap_while_the_store_is_down(mesh: MixedFleet) -> str:
    """Kill a daemon of each kind and replace it by one of the other kind.

    The store is down, so the new daemon gets the policy from a peer.
    """
    upgraded, rolled_back = mesh.first_of(OLD), mesh.first_of(NEW)
    mesh.control("fault", b"busy")
    for box, kind in ((upgraded, NEW), (rolled_back, OLD)):
        box.daemon.kill()
        mesh.restart(box, kind)
        fleet.eventually(box.ready, "it has the policy of a peer")
    mesh.control("fault", b"none")
    mesh.wait_linked()
    load = mixed_load.Load(name="swap")
    for box in (upgraded, rolled_back):
        load.send_all(box, mixed_load.REQUESTS // 4)
    figures = f"old to new and new to old, then {dict(load.totals)}"
    if load.failed() or load.totals["200"] < mixed_load.REQUESTS // 4:
        raise StepFailed(figures)
    return figures


def no_faults(mesh: MixedFleet) -> str:
    """Check that no handler raised an exception."""
    faults = mesh.logged_exceptions()
    if faults:
        raise StepFailed(f"{len(faults)}, the first: {faults[0]}")
    return "no handler raised"


STEPS = (
    serve,
    change_policy,
    relay_heartbeats,
    grant_quotas,
    keep_links,
    stop_under_load,
    swap_while_the_store_is_down,
    no_faults,
)


def run_steps(mesh: MixedFleet) -> list[StepResult]:
    """Start the fleet and run the steps up to the first failure."""
    rows = []
    mesh.publish(mesh_fleet.manifest(FIRST_VERSION))
    for _ in KINDS:
        mesh.add_box(work_ms=WORK_MS, slots=SLOTS)
    mesh.wait_linked()
    for step in STEPS:
        name = step.__name__.replace("_", " ")
        try:
            rows.append(StepResult(step=name, passed=True, figures=step(mesh)))
        except (StepFailed, AssertionError, subprocess.TimeoutExpired) as exc:
            rows.append(StepResult(step=name, passed=False, figures=str(exc)))
            break
    return rows


def commit_of(checkout: pathlib.Path) -> str:
    """Return the commit of a checkout; raises `SystemExit` if it isn't one."""
    program = "import ferrydeck; print(ferrydeck.__file__)"
    found = subprocess.run(
        [sys.executable, "-c", program], cwd=checkout, capture_output=True, text=True
    ).stdout.strip()
    if pathlib.Path(found).parents[1] != checkout.resolve():
        raise SystemExit(f"not a checkout of ferrydeck: {checkout}")
    described = subprocess.run(
        ["git", "-C", str(checkout), "rev-parse", "--short", "HEAD"],
        capture_output=True,
        text=True,
    )
    return described.stdout.strip() or "not known"


def main() -> int:
    """Run all steps and print the table; return 0 if all passed, else 1."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--old", type=pathlib.Path, required=True)
    old = parser.parse_args().old.resolve()
    print(f"old {commit_of(old)}, new {commit_of(ROOT)}; daemons {' '.join(KINDS)}")
    with tempfile.TemporaryDirectory() as folder:
        mesh = MixedFleet(pathlib.Path(folder), old)
        try:
            rows = run_steps(mesh)
        finally:
            mesh.close()
    for row in rows:
        print(f"{'PASS' if row.passed else 'FAIL'}  {row.step:30} {row.figures}")
    passed = len(rows) == len(STEPS) and all(row.passed for row in rows)
    print("PASS" if passed else "FAIL")
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
