"""A planned stop, while payments wait in queues and downloads are read slowly."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys
import time

import client
import site_fleet

CASE = pathlib.Path(__file__).resolve().parent
FILE_SERVICE = "desk"
STOP_AT_S = 6.0
"""When the daemon is stopped; later than `contact` after the last change of load."""
CLIENTS_LEAVE_S = 2.0
"""Time after SIGTERM until the clients of the box go elsewhere: two ready checks."""
LAST_SIXTH_S = 5 / 6 * site_fleet.GRACE_S
"""Time after SIGTERM from which on a server at work is an excuse."""

PAYMENT_SLOTS = 8
PAYMENT_WORK_MS = 1000
PAYMENT_DEADLINE_S = 6.0
"""Deadline of `dues-payment` on the sheet, and the longest time-out of a route."""
FIRST_PAYMENTS = 60
FIRST_INTERVAL_S = 0.01
INTERVAL_S = 1 / 14
"""Interval of the further payments: as many as two servers can run."""

FILE_CLIENTS = 20
FILE_SLOTS = 60
FILE_WORK_MS = 72
FILE_BYTES = 200_000
FILE_DEADLINE_S = 6.0
FILE_PACE = client.Pace(bytes_per_s=50_000.0)
FILE_CLIENT_INTERVAL_S = 0.2


class Clients:
    """The clients of the first box, until they go elsewhere."""

    def __init__(self, fleet: site_fleet.Site) -> None:
        self.calls = fleet.boxes[0].calls
        self.leave_at = float("inf")
        self.payments: list[asyncio.Task] = []
        self.files: list[client.Result] = []

    async def pay(self) -> None:
        """Send payments, each on a connection of its own."""
        while time.time() < self.leave_at:
            number = len(self.payments)
            request = client.Request(
                request_id=f"pay{number:03d}",
                method="POST",
                path=f"/pay/{number}",
                body=b"12.50",
                deadline_s=PAYMENT_DEADLINE_S,
            )
            task = asyncio.create_task(client.send(self.calls, request))
            self.payments.append(task)
            first = number < FIRST_PAYMENTS
            await asyncio.sleep(FIRST_INTERVAL_S if first else INTERVAL_S)

    async def download(self, name: int) -> None:
        """Download one file after the other over a kept connection."""
        await asyncio.sleep(name * FILE_CLIENT_INTERVAL_S)
        slow = client.SlowClient(self.calls, FILE_PACE)
        number = 0
        while time.time() < self.leave_at:
            number += 1
            request = client.Request(
                request_id=f"file{name:02d}-{number}",
                method="GET",
                path=f"/file/{number}?size={FILE_BYTES}",
                deadline_s=FILE_DEADLINE_S,
            )
            self.files.append(await slow.send(request))
        slow.close()


async def play_stop(
    fleet: site_fleet.Site,
) -> tuple[list[client.Result], list[client.Result], float]:
    """Stop the daemon under load; return payments, downloads and the time."""
    clients = Clients(fleet)
    tasks = [asyncio.create_task(clients.pay())]
    tasks += [asyncio.create_task(clients.download(i)) for i in range(FILE_CLIENTS)]
    await asyncio.sleep(STOP_AT_S)
    stopped_at = time.time()
    clients.leave_at = stopped_at + CLIENTS_LEAVE_S
    if site_fleet.with_trouble():
        fleet.boxes[0].daemon.send_signal(signal.SIGTERM)
        fleet.record("SIGTERM to the daemon of box-1")
    await asyncio.gather(*tasks)
    return await asyncio.gather(*clients.payments), clients.files, stopped_at


def lost_payments(
    payments: list[client.Result], ran: dict[str, float]
) -> list[client.Result]:
    """Return payments that ended in time without an answer, and without an excuse.

    `ran` holds the times of their runs after the stop, seconds.
    """
    lost = []
    for one in payments:
        ended_s = ran.get(one.request_id, -1e9) + PAYMENT_WORK_MS / 1000
        in_time = one.ended_at < one.sent_at + PAYMENT_DEADLINE_S
        if not one.status and in_time and ended_s < LAST_SIXTH_S:
            lost.append(one)
    return lost


def lost_files(
    files: list[client.Result], answered: dict[str, float]
) -> list[client.Result]:
    """Return downloads that were cut in time, though a server had sent all of them.

    `answered` holds the times, after the stop, at which it had, seconds.
    """
    return [
        one
        for one in files
        if not one.complete
        and one.ended_at < one.sent_at + FILE_DEADLINE_S
        and answered.get(one.request_id, LAST_SIXTH_S) < LAST_SIXTH_S
    ]


def play(fleet: site_fleet.Site) -> bool:
    """Return whether a request was read, and then neither answered nor excused."""
    fleet.publish(site_fleet.manifest("6000ms", "1500ms", FILE_SERVICE))
    for number in (1, 2):
        fleet.add_box(slots=PAYMENT_SLOTS, work_ms=PAYMENT_WORK_MS, seed=number)
    fleet.add_box(FILE_SERVICE, slots=FILE_SLOTS, work_ms=FILE_WORK_MS, seed=3)
    fleet.wait_serving()
    payments, files, stopped_at = asyncio.run(play_stop(fleet))
    ran = {one["id"]: one["at"] - stopped_at for one in fleet.server_events("ran")}
    answered = {
        one["id"]: one["at"] - stopped_at for one in fleet.server_events("answered")
    }
    for one in (*payments, *files):
        ran_s = ran.get(one.request_id)
        fleet.record(
            f"SENT {one.request_id} at {one.sent_at - stopped_at:.3f} s "
            f"ANSWER {one.status or 'none'} "
            f"{one.body_bytes} of {one.expected_bytes} bytes, {one.ending} "
            f"at {one.ended_at - stopped_at:.3f} s "
            f"RAN {'never' if ran_s is None else f'at {ran_s:.3f} s'}"
        )
    no_answer = lost_payments(payments, ran)
    cut = lost_files(files, answered)
    for one in (*no_answer, *cut):
        fleet.record(f"LOST {one.request_id}")
    fleet.record(
        f"COUNTS payments {len(payments)} lost {len(no_answer)}, "
        f"downloads {len(files)} lost {len(cut)}"
    )
    return bool(no_answer or cut)


if __name__ == "__main__":
    sys.exit(site_fleet.main(CASE, play))
