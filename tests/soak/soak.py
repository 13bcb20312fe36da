"""Real daemons under random faults: `python -m tests.soak.soak --seeds 1-50`."""

from __future__ import annotations

import argparse
import asyncio
import collections
import pathlib
import random
import tempfile

import attrs

from ferrydeck import clock
from ferrydeck.standins import fleet as processes
from ferrydeck.standins import port_range
from tests.platform import mesh_fleet
from tests.soak import checks, clients, proxy, schedule

CALM_S = 4.0
"""From the last fault until all must be well again, seconds."""
LAST_S = 2.0
"""How long it must be well, seconds."""
CALLERS = 3


@attrs.define(kw_only=True)
class Played:
    """What one seed brought."""

    seed: int
    broken: list[str]
    sent: int
    served: int
    ended: dict[str, int]
    """Servers that ended by a request, by its path."""
    schedule: list[str]


async def prepare(fleet: mesh_fleet.MeshFleet, boxes: int) -> list[schedule.Place]:
    """Start boxes behind proxies and wait until they serve."""
    fleet.use(mesh_fleet.manifest(4))
    places = []
    for number in range(1, boxes + 1):
        ip = f"127.0.0.{number}"
        links = proxy.Proxy(target=(ip, fleet.shared["link"]))
        await links.start(ip, port_range.free_port())
        to_store = proxy.Proxy(target=(port_range.IP, fleet.store_port))
        await to_store.start(ip, port_range.free_port())
        box = fleet.add_box(
            work_ms=20, store=to_store.address, link_advertised=links.address
        )
        places.append(schedule.Place(box=box, links=links, store=to_store))
    await asyncio.to_thread(fleet.wait_linked)
    return places


async def play_in(
    folder: pathlib.Path,
    seed: int,
    boxes: int,
    seconds: float,
    *,
    lethal: bool,
    restores: bool,
) -> Played:
    """Play one seed with its files in a folder."""
    fleet = mesh_fleet.MeshFleet(folder)
    try:
        places = await prepare(fleet, boxes)
        callers = [
            clients.Caller(
                name=f"{seed}-{place.box.name}-{number}",
                box=place.box.name,
                address=(place.box.ip, place.box.ports["calls"]),
            )
            for place in places
            for number in range(CALLERS)
        ]
        running = [asyncio.ensure_future(one.run()) for one in callers]
        plan = schedule.Schedule(
            rng=random.Random(seed),
            fleet=fleet,
            places=places,
            lethal=lethal,
            restores=restores,
        )
        await plan.play(seconds)
        await asyncio.sleep(CALM_S)
        calm_from = clock.now()
        await asyncio.sleep(LAST_S)
        for one in callers:
            one.stopping = True
        await asyncio.gather(*running)
        last = {log_name(place.box.daemon) for place in places}
        for place in places:
            await place.links.close()
            await place.store.close()
    finally:
        fleet.close()
    history = checks.History(
        sent=[one for caller in callers for one in caller.sent],
        runs=checks.runs_of(fleet),
        acked_leaving=plan.acked_leaving,
        calm_from=calm_from,
        troubled=plan.troubled,
        logs={
            log_name(one): checks.whole_lines(one.log)
            for one in fleet.processes
            if one.name.startswith("daemon-")
        },
        last=last,
        version=plan.version,
        ended_by=checks.ended_by(fleet),
        exit_codes=plan.exit_codes,
    )
    return Played(
        seed=seed,
        broken=checks.broken(history) + fleet.logged_exceptions(),
        sent=len(history.sent),
        served=sum(one.status == 200 for one in history.sent),
        ended=collections.Counter(history.ended_by),
        schedule=plan.told,
    )


def log_name(daemon: processes.Process) -> str:
    """Return how the log of a daemon is named in the history."""
    return f"{daemon.name} {daemon.log.name}"


def play(
    folder: pathlib.Path,
    seed: int,
    *,
    boxes: int,
    seconds: float,
    lethal: bool = False,
    restores: bool = False,
) -> Played:
    """Play one seed; requests may end servers, and the store come back from a copy."""
    played = play_in(folder, seed, boxes, seconds, lethal=lethal, restores=restores)
    return asyncio.run(played)


def main() -> int:
    """Play a range of seeds; return 1 if any broke a promise."""
    parser = argparse.ArgumentParser(description="Random faults on real processes.")
    parser.add_argument("--seeds", default="1-50", help="FIRST-LAST")
    parser.add_argument("--boxes", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--lethal", action="store_true", help="requests end servers")
    parser.add_argument(
        "--restores", action="store_true", help="the store comes back from copies"
    )
    parser.add_argument("--keep", type=pathlib.Path, help="folder for logs")
    args = parser.parse_args()
    first, _, last = args.seeds.partition("-")
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        keep = args.keep or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
        folder = keep / f"seed-{seed}"
        folder.mkdir(parents=True, exist_ok=True)
        played = play(
            folder,
            seed,
            boxes=args.boxes,
            seconds=args.seconds,
            lethal=args.lethal,
            restores=args.restores,
        )
        failed += bool(played.broken)
        print(
            f"seed {seed}: {played.served} of {played.sent} served, ended "
            f"{sorted(played.ended.values())}",
            flush=True,
        )
        for line in played.broken[:10] + played.schedule * bool(played.broken):
            print(f"  {line}", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    raise SystemExit(main())
