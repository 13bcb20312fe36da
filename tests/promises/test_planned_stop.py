from __future__ import annotations

import collections
import http.client
import socket
import threading

from ferrydeck.commands import client
from ferrydeck.signed.core import headers
from ferrydeck.standins import fleet, sample, target
from tests import worlds

AUDIO_BYTES = 20_000_000
SHORT_AUDIO_BYTES = 250_000
"""More than the kernel holds by itself for a caller that does not read."""
SEGMENT_BYTES = 1400
"""Longest TCP segment, as on a network, where a sender's buffer stays small."""


def start(make_fleet):
    mesh = make_fleet("north", "south")
    for name in ("north", "south"):
        mesh.add_box(f"{name}-entry", name, entry=True)
        mesh.add_box(f"{name}-ledger", name, service="payments-ledger")
        mesh.add_box(f"{name}-audio", name, service="audio-delivery")
    rolled = mesh.roll(sample.bundle_toml())
    assert rolled.returncode == 0, rolled.stderr
    mesh.wait_ready()
    return mesh


class Load:
    """Threads that send postings and slow lookups until stopped."""

    def __init__(self, mesh, entries):
        self.mesh = mesh
        self.entries = entries
        self.stopping = threading.Event()
        self.outcomes = collections.Counter()
        self.connection_errors = []
        self.threads = [
            threading.Thread(target=self.run, args=(number,)) for number in range(8)
        ]
        for thread in self.threads:
            thread.start()

    def run(self, caller):
        number = 0
        while not self.stopping.is_set():
            number += 1
            entry = self.entries[number % len(self.entries)]
            post = number % 2
            path = "/postings?ms=20" if post else "/balances?ms=300"
            try:
                answer = client.fetch(
                    entry.address("entry"),
                    "POST" if post else "GET",
                    f"/payments-ledger{path}",
                    headers={headers.IDEMPOTENCY_KEY: f"{caller}-{number}"},
                )
            except ConnectionRefusedError:
                self.outcomes["refused to connect"] += 1
                continue
            except (OSError, http.client.HTTPException) as exc:
                self.connection_errors.append(repr(exc))
                continue
            outcome = answer.headers[headers.OUTCOME]
            reason = answer.headers.get(headers.REASON, "")
            self.outcomes[f"{outcome} {reason}".strip()] += 1

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join()


def download(entry, result):
    """Download a long body, pausing until the box has begun to stop."""
    conn = http.client.HTTPConnection("127.0.0.1", entry.ports["entry"], timeout=30)
    conn.request("GET", f"/audio-delivery/episodes/1?size={AUDIO_BYTES}")
    answer = conn.getresponse()
    result["box"] = answer.headers[headers.BOX]
    result["body"] = answer.read(100_000)
    result["begun"].set()
    result["go on"].wait(20)
    result["body"] += answer.read()


def stop_under_load(mesh, names, entries):
    load = Load(mesh, entries)
    result = {"begun": threading.Event(), "go on": threading.Event()}
    reader = threading.Thread(target=download, args=(mesh.boxes["north-entry"], result))
    reader.start()
    assert result["begun"].wait(10)
    names = [result["box"] if name == "audio" else name for name in names]
    fleet.eventually(lambda: load.outcomes.total() > 50, "calls are under way")
    for name in names:
        mesh.boxes[name].daemon.signal(15)
    stopped = [mesh.boxes[name] for name in names]
    fleet.eventually(
        lambda: all(box_is_leaving(box) for box in stopped), "boxes are leaving"
    )
    result["go on"].set()
    codes = [box.daemon.popen.wait(20) for box in stopped]
    before = load.outcomes.total()
    fleet.eventually(lambda: load.outcomes.total() > before + 50, "calls go on")
    load.stop()
    reader.join()
    assert codes == [0] * len(names)
    assert result["body"] == target.numbered_body(AUDIO_BYTES)
    return load


def box_is_leaving(box):
    return box.daemon.popen.poll() is not None or box.status()["leaving"]


def check_no_quarantine(mesh):
    """Check that no shard was taken over without its key table."""
    for box in mesh.boxes.values():
        if box.daemon.popen.poll() is None:
            details = [one["detail"] for one in box.audit("shard-owned")]
            assert not [one for one in details if "quarantine" in one], details


def test_target_box_stops_without_aborting_requests(make_fleet):
    mesh = start(make_fleet)
    entries = [mesh.boxes["north-entry"], mesh.boxes["south-entry"]]
    # Makes the shard handover slower than flushing the last messages.
    mesh.set_faults(slow_s=0.2)
    load = stop_under_load(mesh, ["north-ledger", "audio"], entries)
    assert load.connection_errors == []
    assert set(load.outcomes) == {"done"}, load.outcomes
    fleet.eventually(
        lambda: len(mesh.boxes["south-ledger"].status()["shards"]) == 32, "shards"
    )
    check_no_quarantine(mesh)
    assert max(mesh.effects().values()) == 1


def test_an_entry_box_stops_and_cuts_off_nothing(make_fleet):
    mesh = start(make_fleet)
    entries = [mesh.boxes["north-entry"], mesh.boxes["south-entry"]]
    load = stop_under_load(mesh, ["north-entry"], entries)
    assert load.connection_errors == []
    allowed = {"done", "not-run leaving", "unknown leaving", "refused to connect"}
    assert set(load.outcomes) <= allowed, load.outcomes
    assert max(mesh.effects().values()) == 1


def test_both_at_once_cut_off_nothing(make_fleet):
    mesh = start(make_fleet)
    entries = [mesh.boxes["north-entry"], mesh.boxes["south-entry"]]
    names = ["north-entry", "north-ledger", "audio"]
    load = stop_under_load(mesh, names, entries)
    assert load.connection_errors == []
    check_no_quarantine(mesh)
    assert max(mesh.effects().values()) == 1


# Guards against an answer that is cut off at a planned stop: the process ended while
# bytes that it had buffered for a caller were unsent.
def test_an_answer_that_is_read_slowly_outlives_the_entry_box(make_fleet):
    mesh = start(make_fleet)
    entry = mesh.boxes["north-entry"]
    with socket.socket() as conn:
        conn.settimeout(10)
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        conn.connect(("127.0.0.1", entry.ports["entry"]))
        path = f"/audio-delivery/episodes/1?size={SHORT_AUDIO_BYTES}"
        conn.sendall(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        fleet.eventually(lambda: effects_of_audio(mesh), "the request runs")
        fleet.eventually(
            lambda: not entry.status()["callers_waiting"], "it is answered"
        )
        assert entry.daemon.stop() == 0
        data = b""
        while part := conn.recv(65536):
            data += part
    assert data.partition(b"\r\n\r\n")[2] == target.numbered_body(SHORT_AUDIO_BYTES)


def effects_of_audio(mesh):
    boxes = (mesh.boxes[f"{name}-audio"] for name in ("north", "south"))
    return [one for box in boxes for one in box.effects()]


def test_idle_owner_hands_over_its_shards_on_a_slow_platform():
    sim = worlds.ledger_world()
    sim.faults.platform_slow_s = 1.0
    sim.stop("north-ledger")
    sim.run(0.3)
    assert not sim.boxes["north-ledger"].stopped
    sim.run(10)
    assert sim.boxes["north-ledger"].stopped
    successor = sim.boxes["south-ledger"]
    assert len(successor.core.shard_owner.owned) == 32
    details = [one.detail for one in successor.audit if one.action == "shard-owned"]
    assert not [one for one in details if "quarantine" in one]
