"""Clients that leave during long answers to requests that must not repeat."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import random
import sys
import time

import client
import site_fleet

CASE = pathlib.Path(__file__).resolve().parent
LOOK_SERVICE = "desk"
SLOTS = 20
WORK_MS = 72
RATE_PER_S = 22.4
"""Rate of `intake-entry` on the sheet; as many requests go to the first route."""
ANSWER_BYTES = 200_000
DEADLINE_S = 5.0
LEAVE_SHARE = 0.2
"""Dose of `give_up` in the site file."""
LEAVE_WITHIN_S = 0.125
"""Half of the route's `target_latency`."""
WINDOW_S = 5.5
"""Length of `give_up` in the site file."""
PAUSE_S = 3.0
WINDOWS = 2
TROUBLE_S = WINDOWS * (PAUSE_S + WINDOW_S)
CONTACT_S = 3.0
CALM_S = 15.0
"""Time after the last window; its first `CONTACT_S` don't count."""
APPLY_S = 2.5
"""Time for a manifest to be in force; `config_apply` is 2 s."""
SEED = 7


def with_added_route(manifest: dict[str, object]) -> dict[str, object]:
    """Return the next version of a manifest, with one more route."""
    routes = manifest["routes"]
    service = site_fleet.SERVICE
    row = ["bill", site_fleet.HOST, "/bill/", "unsafe", "5000ms", "250ms", 0, 2]
    rows = [*routes["rows"], [*row, service]]
    return manifest | {"version": "r9", "routes": routes | {"rows": rows}}


async def leave_early(
    address: tuple[str, int], request: client.Request, after_s: float
) -> None:
    """Send a request, and close the connection before its deadline."""
    with contextlib.suppress(OSError):
        _, writer = await asyncio.open_connection(*address)
        writer.write(client.head_of(request) + request.body)
        await writer.drain()
        await asyncio.sleep(after_s)
        writer.close()


async def play_windows(
    fleet: site_fleet.Site,
) -> tuple[list[client.Result], list[client.Result], float]:
    """Send both kinds of requests; return the results and when it is calm."""
    rng = random.Random(SEED)
    calls = fleet.boxes[0].calls
    bills, looks, leavers = [], [], []
    started = time.time()
    while (elapsed_s := time.time() - started) < TROUBLE_S + CALM_S:
        number = len(looks)
        bill = client.Request(
            request_id=f"bill{number:04d}",
            method="POST",
            path=f"/bill/{number}?size={ANSWER_BYTES}",
            body=b"12.50",
            deadline_s=DEADLINE_S,
        )
        look = client.Request(
            request_id=f"look{number:04d}",
            method="GET",
            path=f"/look/{number}",
            deadline_s=DEADLINE_S,
        )
        in_window = elapsed_s < TROUBLE_S and elapsed_s % (PAUSE_S + WINDOW_S) > PAUSE_S
        leaves = in_window and rng.random() < LEAVE_SHARE
        if leaves and site_fleet.with_trouble():
            fleet.record(f"SENT {bill.request_id}, its client leaves")
            after_s = rng.uniform(0, LEAVE_WITHIN_S)
            leavers.append(asyncio.create_task(leave_early(calls, bill, after_s)))
        else:
            bills.append(asyncio.create_task(client.send(calls, bill)))
        looks.append(asyncio.create_task(client.send(calls, look)))
        await asyncio.sleep(1 / RATE_PER_S)
    await asyncio.gather(*leavers)
    calm_from = started + TROUBLE_S + CONTACT_S
    return await asyncio.gather(*bills), await asyncio.gather(*looks), calm_from


def served(results: list[client.Result]) -> int:
    """Return how many requests were answered with success, whole."""
    return sum(one.status == 200 and one.complete for one in results)


def play(fleet: site_fleet.Site) -> bool:
    """Return whether the added route is served less than a quarter as often."""
    first = site_fleet.manifest("5000ms", "250ms", LOOK_SERVICE)
    fleet.publish(first)
    fleet.add_box(LOOK_SERVICE, slots=SLOTS, work_ms=WORK_MS, seed=1)
    fleet.add_box(slots=SLOTS, work_ms=WORK_MS, seed=2)
    fleet.wait_serving()
    fleet.publish(with_added_route(first))
    time.sleep(APPLY_S)
    bills, looks, calm_from = asyncio.run(play_windows(fleet))
    ran = {one["id"] for one in fleet.server_events("ran")}
    for one in (*bills, *looks):
        fleet.record(
            f"SENT {one.request_id} at {one.sent_at - calm_from:.3f} s "
            f"ANSWER {one.status or 'none'} {one.ending} "
            f"RAN {'yes' if one.request_id in ran else 'no'}"
        )
    before = [one for one in bills if one.sent_at < calm_from]
    late_bills = [one for one in bills if one.sent_at >= calm_from]
    late_looks = [one for one in looks if one.sent_at >= calm_from]
    fleet.record(
        f"COUNTS before the calm: added route {served(before)} of {len(before)}; "
        f"in the calm: added route {served(late_bills)} of {len(late_bills)}, "
        f"first route {served(late_looks)} of {len(late_looks)}"
    )
    bill_share = served(late_bills) / len(late_bills)
    return bill_share < served(late_looks) / len(late_looks) / 4


if __name__ == "__main__":
    sys.exit(site_fleet.main(CASE, play))
