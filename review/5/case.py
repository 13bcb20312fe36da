"""Case 5: requests with the largest body that the limits allow."""
# ruff: noqa: D101, D102, D103 -- as in all tests of this project

import http.client
import os
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "shared_2"))

import stack  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUTES = [
    [
        "episode",
        stack.HOST,
        "/episode/",
        "unsafe",
        "8000ms",
        "6000ms",
        1,
        2,
        "publisher",
    ],
    ["browse", stack.HOST, "/browse/", "safe", "2000ms", "1000ms", 0, 2, "catalogue"],
]
MAX_BODY_BYTES = 67108864
SMALL_BODY_BYTES = 65536
MEMORY_MB = 300
ENDS = 3
UPLOADS = 4
RESTART_S = 0.5


class Platform(threading.Thread):
    """Kills a daemon whose memory exceeds the limit and starts it again."""

    def __init__(self, fleet, record):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.record = record
        self.ends = {box.name: 0 for box in fleet.boxes}
        self.peaks = {box.name: 0.0 for box in fleet.boxes}
        self.page_mb = os.sysconf("SC_PAGESIZE") / 2**20
        self.done = threading.Event()

    def run(self):
        while not self.done.wait(0.002):
            for box in self.fleet.boxes:
                self.check(box)

    def check(self, box):
        try:
            with open(f"/proc/{box.daemon.pid}/statm") as file:
                memory_mb = int(file.read().split()[1]) * self.page_mb
        except (OSError, IndexError):
            return
        self.peaks[box.name] = max(self.peaks[box.name], memory_mb)
        if memory_mb <= MEMORY_MB or not box.daemon.alive():
            return
        box.daemon.kill()
        self.ends[box.name] += 1
        self.record.add(f"daemon of {box.name} killed with {memory_mb:.0f} MB in use")
        time.sleep(RESTART_S)
        self.fleet.start_daemon(box)
        self.record.add(f"daemon of {box.name} started")


def upload(box, attempt_id, size, record, answers):
    record.add(f"sent {attempt_id} at {box.name} with a body of {size} bytes")
    fields = {"Host": stack.HOST, "X-Attempt-Id": attempt_id, "X-Deadline-Ms": "8000"}
    conn = http.client.HTTPConnection(box.ip, box.ports["calls"], timeout=10)
    try:
        conn.request(
            "POST", "/episode/new?work_ms=20", body=bytes(size), headers=fields
        )
        answer = conn.getresponse()
        answer.read()
        outcome = str(answer.status)
    except (OSError, http.client.HTTPException) as exc:
        outcome = f"broken {type(exc).__name__}"
    finally:
        conn.close()
    answers.append(outcome)
    record.add(f"answered {attempt_id} {outcome}")


def client(fleet, box, size, record, answers):
    """Upload one episode after the other, each once the machine is ready again."""
    for number in range(UPLOADS):
        fleet.wait(lambda: fleet.ready(box), f"{box.name} is ready", 15)
        time.sleep(1.0)
        upload(box, f"e{box.number}n{number}", size, record, answers)


def case(fleet, record):
    fleet.publish(stack.manifest(1, ROUTES, ["catalogue", "publisher"]))
    fronts = [fleet.add_box("catalogue", zone) for zone in ("hall-a", "hall-b")]
    for zone in ("hall-a", "hall-b"):
        fleet.add_box("publisher", zone)
    fleet.wait_up()
    time.sleep(2.0)
    platform = Platform(fleet, record)
    platform.start()
    size = MAX_BODY_BYTES if TROUBLE else SMALL_BODY_BYTES
    answers = []
    for box in fronts:
        client(fleet, box, size, record, answers)
    platform.done.set()
    platform.join()
    for run in fleet.runs():
        record.add(f"ran {run['id']} with {run['body_bytes']} bytes")
    for name, ends in platform.ends.items():
        record.add(f"{name}: peak {platform.peaks[name]:.0f} MB, {ends} ends by memory")
    if not TROUBLE and set(answers) != {"200"}:
        raise stack.CannotRun("not all requests were served")
    ended = sum(ends >= ENDS for ends in platform.ends.values())
    return ended < max(2, len(fleet.boxes) / 10)


if __name__ == "__main__":
    stack.main(FOLDER, case)
