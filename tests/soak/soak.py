"""Fault injection into real daemons: `python -m tests.soak.soak --seeds 1-50`."""

from __future__ import annotations

import argparse
import asyncio
import collections
import contextlib
import pathlib
import random
import tempfile

import attrs

from ferrydeck import clock
from ferrydeck.standins import fleet as processes
from ferrydeck.standins import port_range
from tests.platform import mesh_fleet
from tests.soak import checks, clients, proxy, schedule

SETTLE_S = 4.0
"""Time for the fleet to recover after the last fault."""
STEADY_STATE_S = 2.0
"""How long the recovered fleet is observed."""
CALLERS_PER_BOX = 3
VARIED_CALLERS_PER_BOX = 8
VARIED_SLOTS = 6
"""Few slots, so that requests wait in queues."""
RELEASE_TIMEOUT_S = 9.0
"""Time after the last caller has gone in which all slots become free: the longest
deadline, and the time after which a stalled answer ends."""
LONG_TIMEOUT = "6000ms"


@attrs.define(kw_only=True)
class SoakResult:
    """The outcome of one seed."""

    seed: int
    violations: list[str]
    sent: int
    served: int
    crashes: dict[str, int]
    """Number of servers crashed by a request, by its path."""
    fault_log: list[str]


def routes_of(*, connections: bool) -> list[list[object]]:
    """Return the routes; with `connections`, requests may wait for seconds."""
    if not connections:
        return mesh_fleet.ROUTES
    return [
        [*row[:4], LONG_TIMEOUT, LONG_TIMEOUT, *row[6:]] for row in mesh_fleet.ROUTES
    ]


async def start_nodes(
    fleet: mesh_fleet.MeshFleet, boxes: int, *, connections: bool
) -> list[schedule.Node]:
    """Start boxes behind proxies and wait until they serve requests."""
    fleet.publish(mesh_fleet.manifest(4, routes_of(connections=connections)))
    nodes = []
    for number in range(1, boxes + 1):
        ip = f"127.0.0.{number}"
        link_proxy = proxy.Proxy(target=(ip, fleet.shared["link"]))
        await link_proxy.start(ip, port_range.free_port())
        store_proxy = proxy.Proxy(target=(port_range.IP, fleet.store_port))
        await store_proxy.start(ip, port_range.free_port())
        box = fleet.add_box(
            work_ms=20,
            slots=VARIED_SLOTS if connections else 8,
            store=store_proxy.address,
            link_advertised=link_proxy.address,
        )
        nodes.append(schedule.Node(box=box, links=link_proxy, store=store_proxy))
    await asyncio.to_thread(fleet.wait_linked)
    return nodes


async def run_async(
    folder: pathlib.Path,
    seed: int,
    boxes: int,
    seconds: float,
    *,
    lethal: bool,
    restores: bool,
    statements: bool,
    connections: bool,
) -> SoakResult:
    """Run one seed with its files in a folder."""
    fleet = mesh_fleet.MeshFleet(folder)
    try:
        nodes = await start_nodes(fleet, boxes, connections=connections)
        callers_per_box = VARIED_CALLERS_PER_BOX if connections else CALLERS_PER_BOX
        callers = [
            clients.Caller(
                name=f"{seed}-{node.box.name}-{number}",
                box=node.box.name,
                address=(node.box.ip, node.box.ports["calls"]),
                varied=connections,
            )
            for node in nodes
            for number in range(callers_per_box)
        ]
        caller_tasks = [asyncio.ensure_future(one.run()) for one in callers]
        faults = schedule.Schedule(
            rng=random.Random(seed),
            fleet=fleet,
            nodes=nodes,
            lethal=lethal,
            restores=restores,
            statements=statements,
            connections=connections,
            routes=routes_of(connections=connections),
        )
        await faults.run(seconds)
        await asyncio.sleep(SETTLE_S)
        steady_from = clock.now()
        await asyncio.sleep(STEADY_STATE_S)
        for one in callers:
            one.stopping = True
        await asyncio.gather(*caller_tasks)
        held_slots = await asyncio.to_thread(wait_released, nodes)
        running = {log_name(node.box.daemon) for node in nodes}
        for node in nodes:
            await node.links.close()
            await node.store.close()
    finally:
        fleet.close()
    history = checks.History(
        requests=[one for caller in callers for one in caller.requests],
        executions=checks.executions_of(fleet),
        drained_at=faults.drained_at,
        steady_from=steady_from,
        fault_windows=faults.fault_windows,
        logs={
            log_name(one): checks.complete_json_lines(one.log)
            for one in fleet.processes
            if one.name.startswith("daemon-")
        },
        running=running,
        newest_version=faults.version,
        crash_paths=checks.crash_paths(fleet),
        exit_codes=faults.exit_codes,
        link_faults=faults.link_faults,
        planned_stops=faults.planned_stops,
        unplanned_faults=faults.unplanned_faults,
        server_faults=faults.server_faults,
        held_slots=held_slots,
    )
    return SoakResult(
        seed=seed,
        violations=checks.find_violations(history) + fleet.logged_exceptions(),
        sent=len(history.requests),
        served=sum(one.status == 200 for one in history.requests),
        crashes=collections.Counter(history.crash_paths),
        fault_log=faults.fault_log,
    )


def wait_released(nodes: list[schedule.Node]) -> dict[str, float]:
    """Return the slots that are still held after `RELEASE_TIMEOUT_S`, by box."""

    def held() -> dict[str, float]:
        metric = "ferrydeck_server_running"
        return {node.box.name: node.box.metric(metric) for node in nodes}

    with contextlib.suppress(AssertionError):
        processes.eventually(
            lambda: not any(held().values()), "released", within_s=RELEASE_TIMEOUT_S
        )
    return held()


def log_name(daemon: processes.Process) -> str:
    """Return the key of the log of a daemon in the history."""
    return f"{daemon.name} {daemon.log.name}"


def run_seed(
    folder: pathlib.Path,
    seed: int,
    *,
    boxes: int,
    seconds: float,
    lethal: bool = False,
    restores: bool = False,
    statements: bool = False,
    connections: bool = False,
) -> SoakResult:
    """Run one seed, optionally with further kinds of faults."""
    coro = run_async(
        folder,
        seed,
        boxes,
        seconds,
        lethal=lethal,
        restores=restores,
        statements=statements,
        connections=connections,
    )
    return asyncio.run(coro)


def main() -> int:
    """Run a range of seeds; return 1 if any violated a guarantee."""
    parser = argparse.ArgumentParser(description="Inject faults into real processes.")
    parser.add_argument("--seeds", default="1-50", help="FIRST-LAST")
    parser.add_argument("--boxes", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--lethal", action="store_true", help="send lethal requests")
    parser.add_argument(
        "--restores", action="store_true", help="restore the store from older snapshots"
    )
    parser.add_argument(
        "--statements",
        action="store_true",
        help="servers state limits, or that they leave, in their answers",
    )
    parser.add_argument(
        "--connections",
        action="store_true",
        help="callers read slowly or leave, servers send second answers late, shed a "
        "part or are slow, and signals come in series",
    )
    parser.add_argument("--keep", type=pathlib.Path, help="folder for logs")
    args = parser.parse_args()
    first, _, last = args.seeds.partition("-")
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        keep = args.keep or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
        folder = keep / f"seed-{seed}"
        folder.mkdir(parents=True, exist_ok=True)
        result = run_seed(
            folder,
            seed,
            boxes=args.boxes,
            seconds=args.seconds,
            lethal=args.lethal,
            restores=args.restores,
            statements=args.statements,
            connections=args.connections,
        )
        failed += bool(result.violations)
        print(
            f"seed {seed}: {result.served} of {result.sent} served, crashes per path "
            f"{sorted(result.crashes.values())}",
            flush=True,
        )
        for line in result.violations[:10] + result.fault_log * bool(result.violations):
            print(f"  {line}", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    raise SystemExit(main())
