"""Payments that wait for a busy server, while the daemon that took them is stopped."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys
import time

import client
import site_fleet

CASE = pathlib.Path(__file__).resolve().parent
BOXES = 2
SLOTS = 8
WORK_MS = 1000
DEADLINE_S = 6.0
"""Deadline of `dues-payment` on the sheet, and the longest time-out of a route."""
FIRST_PAYMENTS = 60
FIRST_INTERVAL_S = 0.01
INTERVAL_S = 1 / 14
"""Interval of the further payments: as many as the servers can run."""
STOP_AT_S = 4.5
"""When the daemon is stopped; later than `contact` after the first payments."""
CLIENTS_LEAVE_S = 2.0
"""Time after SIGTERM until the clients of the box go elsewhere: two ready checks."""
LAST_SIXTH = 5 / 6
"""Part of the grace from which on a server at work is an excuse."""


async def play_stop(fleet: site_fleet.Site) -> tuple[list[client.Result], float]:
    """Send payments to the first box, and stop its daemon under this load."""
    box = fleet.boxes[0]
    started = time.time()
    stopped_at = 0.0
    tasks = []
    while not stopped_at or time.time() < stopped_at + CLIENTS_LEAVE_S:
        number = len(tasks)
        request = client.Request(
            request_id=f"pay{number:03d}",
            method="POST",
            path=f"/pay/{number}",
            body=b"12.50",
            deadline_s=DEADLINE_S,
        )
        tasks.append(asyncio.create_task(client.send(box.calls, request)))
        first = number < FIRST_PAYMENTS
        await asyncio.sleep(FIRST_INTERVAL_S if first else INTERVAL_S)
        if not stopped_at and time.time() > started + STOP_AT_S:
            stopped_at = time.time()
            if site_fleet.with_trouble():
                box.daemon.send_signal(signal.SIGTERM)
                fleet.record("SIGTERM to the daemon of box-1")
    return await asyncio.gather(*tasks), stopped_at


def play(fleet: site_fleet.Site) -> bool:
    """Return whether a payment was read, and then neither answered nor excused."""
    fleet.publish(site_fleet.manifest("6000ms", "1500ms"))
    for number in range(BOXES):
        fleet.add_box(slots=SLOTS, work_ms=WORK_MS, seed=number)
    fleet.wait_serving()
    results, stopped_at = asyncio.run(play_stop(fleet))
    ran = {one["id"]: one["at"] - stopped_at for one in fleet.server_events("ran")}
    excused_from = LAST_SIXTH * site_fleet.GRACE_S
    lost = []
    for one in results:
        ran_s = ran.get(one.request_id)
        fleet.record(
            f"SENT {one.request_id} at {one.sent_at - stopped_at:.3f} s "
            f"ANSWER {one.status or 'none'}, {one.ending} "
            f"at {one.ended_at - stopped_at:.3f} s, "
            f"RAN {'never' if ran_s is None else f'at {ran_s:.3f} s'}"
        )
        in_time = one.ended_at < one.sent_at + DEADLINE_S
        at_work = ran_s is not None and ran_s + WORK_MS / 1000 >= excused_from
        if not one.status and in_time and not at_work:
            lost.append(one)
    for one in lost:
        fleet.record(f"LOST {one.request_id}")
    fleet.record(f"COUNTS sent {len(results)} lost {len(lost)}")
    return bool(lost)


if __name__ == "__main__":
    sys.exit(site_fleet.main(CASE, play))
