"""Case 8: all daemons are killed after a server's leaving was acknowledged; two of the
server's heartbeats come seconds late."""
# ruff: noqa: D101, D102, D103 -- as in all tests of this project

import http.client
import os
import pathlib
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "shared_2"))

import relay  # noqa: E402
import stack  # noqa: E402

ROUTES = [
    ["dues", stack.HOST, "/dues/", "unsafe", "4000ms", "1500ms", 0, 2, "membership"],
    ["browse", stack.HOST, "/browse/", "safe", "2000ms", "1000ms", 1, 2, "catalogue"],
]
LATE_S = 5.0
LATE_BEATS_S = 3.0
DOWN_S = 0.5
DRAIN_S = 2.0
CONTACT_S = 3.0
SERVES_ON_S = 12.0
KILL = os.environ.get("KILL", "1") != "0"
LATE = os.environ.get("LATE", "1") != "0"


class Client(threading.Thread):
    """Sends payments from one machine, with a new connection each."""

    def __init__(self, box, record, done):
        super().__init__(daemon=True)
        self.box = box
        self.record = record
        self.done = done
        self.number = 0

    def run(self):
        while not self.done.wait(0.05):
            self.number += 1
            attempt_id = f"p{self.box.number}n{self.number}"
            self.record.add(f"answered {attempt_id} {self.pay(attempt_id)}")

    def pay(self, attempt_id):
        fields = {
            "Host": stack.HOST,
            "X-Attempt-Id": attempt_id,
            "X-Deadline-Ms": "4000",
        }
        ip, port = self.box.ip, self.box.ports["calls"]
        conn = http.client.HTTPConnection(ip, port, timeout=5)
        try:
            conn.request("POST", "/dues/pay?work_ms=200", body=b"pay", headers=fields)
            answer = conn.getresponse()
            answer.read()
            return answer.status
        except (OSError, http.client.HTTPException) as exc:
            return f"closed {type(exc).__name__}"
        finally:
            conn.close()


def case(fleet, record):
    fleet.publish(stack.manifest(1, ROUTES, ["catalogue", "membership"]))
    front = fleet.add_box("catalogue", "hall-a")
    port = stack.free_ports(1)[0]
    leaver = fleet.add_box("membership", "hall-a", server=False)
    way = relay.Relay(leaver.ip, port, leaver.address("reports"))
    fleet.start_server(leaver, reports=way.address)
    other = fleet.add_box("membership", "hall-b")
    fleet.wait_up()
    time.sleep(4.0)
    done = threading.Event()
    clients = [Client(box, record, done) for box in (front, other)]
    for one in clients:
        one.start()
    if stack.trouble() and LATE:
        way.late_s = LATE_S
        record.add("the heartbeats of the next seconds come late")
    time.sleep(LATE_BEATS_S)
    leaver.server.signal(signal.SIGUSR1)
    acked_at = fleet.wait(lambda: leave_acked(leaver), "the leaving is acknowledged")
    record.add(f"leaving of {leaver.instance} acknowledged")
    if stack.trouble() and KILL:
        time.sleep(0.1)
        for box in fleet.boxes:
            box.daemon.kill()
        record.add("all daemons killed")
        time.sleep(DOWN_S)
        for box in fleet.boxes:
            fleet.start_daemon(box)
        record.add("all daemons started")
    in_touch_at = time.monotonic() + CONTACT_S
    time.sleep(max(0.0, acked_at + SERVES_ON_S - time.monotonic()))
    leaver.server.kill()
    record.add(f"server {leaver.instance} ended")
    time.sleep(1.0)
    done.set()
    for one in clients:
        one.join(6)
    way.stop()
    since = max(acked_at + DRAIN_S, in_touch_at)
    late = []
    for run in fleet.runs():
        after_s = run["at"] - acked_at
        late += (
            [run] if run["instance"] == leaver.instance and run["at"] > since else []
        )
        record.add(
            f"ran {run['id']} at {run['instance']}, {after_s:.3f} s after the ack"
        )
    for late_s, answer in way.delivered:
        record.add(f"heartbeat delivered {late_s} s late: {answer}")
    record.add(
        f"{len(late)} requests ran at the server that left, "
        f"later than {since - acked_at:.3f} s after the ack"
    )
    if not fleet.runs():
        raise stack.CannotRun("nothing was served")
    return not late


def leave_acked(box):
    lines = [line for line in box.server.lines() if line["event"] == "leave-acked"]
    return lines[0]["at"] if lines else None


if __name__ == "__main__":
    stack.main(FOLDER, case)
