"""Payments to servers that shed, while second answers of servers turn up late."""

from __future__ import annotations

import asyncio
import collections
import pathlib
import sys

import client
import site_fleet

CASE = pathlib.Path(__file__).resolve().parent
BOXES = 5
SLOTS = 20
WORK_MS = 72
SHED_SHARE = 0.55
"""Dose of `srv_grey`, how "shed all", in the site file, for 8.5 s there."""
EXTRA_SHARE = 0.03
"""Dose of `garble`, how "extra late", in the site file, for 5 s there."""
EXTRA_SERVERS = 3
"""Servers with second answers: share 0.6, as in the site file."""
WINDOW_S = 5.0
PAUSE_S = 1.0
WINDOWS = 17
RATE_PER_S = 82.5
"""Rate of `payment-post` on the sheet."""
DEADLINE_S = 5.0


async def send_payments(
    fleet: site_fleet.Site, stop: asyncio.Event
) -> list[client.Result]:
    """Send payments at an even rate until told to stop; return what came back."""
    tasks = []
    while not stop.is_set():
        number = len(tasks)
        request = client.Request(
            request_id=f"pay{number:05d}",
            method="POST",
            path=f"/pay/{number}",
            body=b"12.50",
            deadline_s=DEADLINE_S,
        )
        box = fleet.boxes[number % BOXES]
        tasks.append(asyncio.create_task(client.send(box.calls, request)))
        await asyncio.sleep(1 / RATE_PER_S)
    return await asyncio.gather(*tasks)


async def play_windows(fleet: site_fleet.Site) -> list[client.Result]:
    """Play the windows of trouble under load; return the results of the payments."""
    stop = asyncio.Event()
    load = asyncio.create_task(send_payments(fleet, stop))
    for _ in range(WINDOWS):
        await asyncio.sleep(PAUSE_S)
        if site_fleet.with_trouble():
            set_trouble(fleet, SHED_SHARE, EXTRA_SHARE)
        await asyncio.sleep(WINDOW_S)
        set_trouble(fleet, 0.0, 0.0)
    stop.set()
    return await load


def set_trouble(fleet: site_fleet.Site, shed: float, extra: float) -> None:
    """Set the shares of requests that servers shed, and of second answers."""
    fleet.record(f"TROUBLE shed {shed} second answers {extra}")
    for number, box in enumerate(fleet.boxes):
        box.set_server(shed=shed, extra=extra if number < EXTRA_SERVERS else 0.0)


def play(fleet: site_fleet.Site) -> bool:
    """Return whether a payment has run twice, or was refused though it ran."""
    fleet.publish(site_fleet.manifest("5000ms", "1500ms"))
    for number in range(BOXES):
        fleet.add_box(slots=SLOTS, work_ms=WORK_MS, seed=number)
    fleet.wait_serving()
    results = asyncio.run(play_windows(fleet))
    runs = collections.defaultdict(list)
    for event in fleet.server_events("ran"):
        runs[event["id"]].append(f"{event['server']} at {event['at']}")
    for one in results:
        ran = len(runs[one.request_id])
        fleet.record(f"SENT {one.request_id} ANSWER {one.status or 'none'} RAN {ran}")
    twice = [one for one in results if len(runs[one.request_id]) > 1]
    for one in twice:
        ran = ", ".join(runs[one.request_id])
        fleet.record(f"TWICE {one.request_id} ANSWER {one.status} RAN {ran}")
    refused = [one for one in results if one.status == 503 and runs[one.request_id]]
    for one in refused:
        ran = ", ".join(runs[one.request_id])
        fleet.record(f"REFUSED {one.request_id} ANSWER {one.status} RAN {ran}")
    fleet.record(
        f"COUNTS sent {len(results)}, ran twice {len(twice)}, "
        f"refused though run {len(refused)}"
    )
    return bool(twice or refused)


if __name__ == "__main__":
    sys.exit(site_fleet.main(CASE, play))
