"""Case 8: machines freeze and wake while one tenant sends several times its rate."""
# ruff: noqa: D101, D102, D103 -- as in all tests of this project

import asyncio
import bisect
import collections
import os
import pathlib
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "shared_2"))

import stack  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUTES = [
    ["post", stack.HOST, "/post/", "unsafe", "3000ms", "1500ms", 0, 2, "paybook"],
]
KEY = "k1acme0000000001"
RATE_PER_S = 100
BURST = 50
TENANTS = {
    "columns": ["name", "api_keys", "priority", "rate_per_s", "burst"],
    "rows": [
        ["acme", [KEY], 0, RATE_PER_S, BURST],
        ["small", ["k2small000000001"], 0, 20, 10],
    ],
}
QUOTA_WINDOW_S = 5.0
QUOTA_OVERAGE = 0.1
QUOTA_SLACK = 20
BOUNDS = stack.BOUNDS | {
    "ack": "5000ms",
    "sync_time": "6s",
    "drain": "2500ms",
    "config_apply": "2500ms",
    "strict_revoke": "true",
    "revoke": "5000ms",
    "budget_slack": "100",
    "quota_window": "5s",
    "quota_overage": "0.1",
    "quota_slack": "20",
}
BOXES = 4
HOT_X = 6.0
FREEZE_S = 3.0
BEFORE_S = 6.0
BETWEEN_S = 8.0


class Clients(threading.Thread):
    """Sends the tenant's payments, a new connection each, while boxes are ready."""

    def __init__(self, boxes, record):
        super().__init__(daemon=True)
        self.boxes = boxes
        self.record = record
        self.sent = {}
        self.outcomes = collections.Counter()
        self.in_use = dict.fromkeys((box.number for box in boxes), True)
        self.done = False

    def run(self):
        asyncio.run(self.send_all())

    async def send_all(self):
        tasks = [asyncio.create_task(self.watch(box)) for box in self.boxes]
        tasks += [asyncio.create_task(self.pay_from(box)) for box in self.boxes]
        await asyncio.gather(*tasks)

    async def watch(self, box):
        """Ask a daemon once a second whether it is ready; two misses take it out."""
        misses = 0
        while not self.done:
            asked_at = time.monotonic()
            status = await self.exchange(box, "ready", "GET /api/ready", "", 1.0)
            misses = 0 if status == "200" else misses + 1
            self.in_use[box.number] = misses < 2
            await asyncio.sleep(max(0.0, asked_at + 1.0 - time.monotonic()))

    async def pay_from(self, box):
        number = 0
        running = set()
        at = time.monotonic()
        while not self.done:
            at += BOXES / (HOT_X * RATE_PER_S)
            await asyncio.sleep(max(0.0, at - time.monotonic()))
            if not self.in_use[box.number]:
                continue
            number += 1
            running.add(asyncio.create_task(self.pay(box, f"q{box.number}n{number}")))
            running = {task for task in running if not task.done()}
        if running:
            await asyncio.wait(running, timeout=6)

    async def pay(self, box, attempt_id):
        head = (
            f"X-Attempt-Id: {attempt_id}\r\nX-Deadline-Ms: 5000\r\nX-Api-Key: {KEY}\r\n"
        )
        self.sent[attempt_id] = time.monotonic()
        self.record.add(f"sent {attempt_id}")
        start = "POST /post/pay?work_ms=4"
        status = await self.exchange(box, "calls", start, head, 5.0)
        self.outcomes[status] += 1
        self.record.add(f"answered {attempt_id} {status}")

    async def exchange(self, box, endpoint, start, head, patience_s):
        try:
            return await asyncio.wait_for(
                self.ask(box, endpoint, start, head), patience_s
            )
        except TimeoutError:
            return "no answer"
        except (OSError, IndexError):
            return "closed"

    async def ask(self, box, endpoint, start, head):
        reader, writer = await asyncio.open_connection(box.ip, box.ports[endpoint])
        try:
            text = f"{start} HTTP/1.1\r\nHost: {stack.HOST}\r\nConnection: close\r\n"
            writer.write((text + head + "Content-Length: 0\r\n\r\n").encode())
            return (await reader.read()).split()[1].decode()
        finally:
            writer.close()


def fullest_window(runs):
    """Return the most requests that were sent and begun within one window."""
    most, since = 0, 0.0
    runs = sorted(runs)
    begun = [at for at, _ in runs]
    for start in begun:
        first = bisect.bisect_left(begun, start)
        last = bisect.bisect_right(begun, start + QUOTA_WINDOW_S)
        count = sum(sent >= start for _, sent in runs[first:last])
        if count > most:
            most, since = count, start
    return most, since


def case(fleet, record):
    fleet.bounds = BOUNDS
    fleet.publish(stack.manifest(1, ROUTES, ["paybook"], tenants=TENANTS))
    for number in range(BOXES):
        fleet.add_box("paybook", ("hall-a", "hall-b", "hall-c")[number % 3])
    fleet.wait_up()
    time.sleep(2.0)
    clients = Clients(fleet.boxes, record)
    clients.start()
    time.sleep(BEFORE_S)
    for box in fleet.boxes:
        if TROUBLE:
            for process in (box.server, box.daemon):
                process.signal(signal.SIGSTOP)
            record.add(f"{box.name} frozen")
        time.sleep(FREEZE_S)
        if TROUBLE:
            for process in (box.server, box.daemon):
                process.signal(signal.SIGCONT)
            record.add(f"{box.name} wakes")
        time.sleep(BETWEEN_S)
    clients.done = True
    clients.join(10)
    runs = [one for one in fleet.runs() if one["tenant"] == "acme"]
    for run in runs:
        record.add(f"ran {run['id']} at {run['at'] - record.started:.3f}")
    sent = clients.sent
    most, since = fullest_window([(run["at"], sent[run["id"]]) for run in runs])
    allowed = (RATE_PER_S * QUOTA_WINDOW_S + BURST) * (1 + QUOTA_OVERAGE) + QUOTA_SLACK
    record.add(f"outcomes {dict(clients.outcomes)}")
    record.add(
        f"fullest window: {most} requests of the tenant from "
        f"{since - record.started:.3f}, allowed {allowed:.0f}"
    )
    if not runs:
        raise stack.CannotRun("nothing was served")
    return most <= allowed


if __name__ == "__main__":
    stack.main(FOLDER, case)
