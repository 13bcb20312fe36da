from __future__ import annotations

import collections
import http.client
import threading

from ferrydeck.commands import client
from ferrydeck.signed.core import headers
from ferrydeck.standins import fleet, sample, target
from tests import worlds

AUDIO = 20_000_000


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
    """Callers that send postings and slow lookups until they are told to end."""

    def __init__(self, mesh, entries):
        self.mesh = mesh
        self.entries = entries
        self.ending = threading.Event()
        self.told = collections.Counter()
        self.cut = []
        self.threads = [
            threading.Thread(target=self.run, args=(number,)) for number in range(8)
        ]
        for thread in self.threads:
            thread.start()

    def run(self, caller):
        number = 0
        while not self.ending.is_set():
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
                self.told["refused to connect"] += 1
                continue
            except (OSError, http.client.HTTPException) as exc:
                self.cut.append(repr(exc))
                continue
            outcome = answer.headers[headers.OUTCOME]
            reason = answer.headers.get(headers.REASON, "")
            self.told[f"{outcome} {reason}".strip()] += 1

    def end(self):
        self.ending.set()
        for thread in self.threads:
            thread.join()


def download(entry, into):
    """Read a long body slowly enough that a stop meets it."""
    conn = http.client.HTTPConnection("127.0.0.1", entry.ports["entry"], timeout=30)
    conn.request("GET", f"/audio-delivery/episodes/1?size={AUDIO}")
    answer = conn.getresponse()
    into["box"] = answer.headers[headers.BOX]
    into["body"] = answer.read(100_000)
    into["begun"].set()
    into["go on"].wait(20)
    into["body"] += answer.read()


def stop_under_load(mesh, names, entries):
    load = Load(mesh, entries)
    into = {"begun": threading.Event(), "go on": threading.Event()}
    reader = threading.Thread(target=download, args=(mesh.boxes["north-entry"], into))
    reader.start()
    assert into["begun"].wait(10)
    names = [into["box"] if name == "audio" else name for name in names]
    fleet.eventually(lambda: load.told.total() > 50, "calls are under way")
    for name in names:
        mesh.boxes[name].daemon.signal(15)
    stopped = [mesh.boxes[name] for name in names]
    fleet.eventually(
        lambda: all(box_is_leaving(box) for box in stopped), "boxes are leaving"
    )
    into["go on"].set()
    codes = [box.daemon.popen.wait(20) for box in stopped]
    before = load.told.total()
    fleet.eventually(lambda: load.told.total() > before + 50, "calls go on")
    load.end()
    reader.join()
    assert codes == [0] * len(names)
    assert into["body"] == target.numbered_body(AUDIO)
    return load


def box_is_leaving(box):
    return box.daemon.popen.poll() is not None or box.status()["leaving"]


def no_quarantine(mesh):
    """Check that no shard changed hands without its table."""
    for box in mesh.boxes.values():
        if box.daemon.popen.poll() is None:
            details = [one["detail"] for one in box.audit("shard-owned")]
            assert not [one for one in details if "quarantine" in one], details


def test_a_target_box_stops_and_cuts_off_nothing(make_fleet):
    mesh = start(make_fleet)
    entries = [mesh.boxes["north-entry"], mesh.boxes["south-entry"]]
    # The handing over takes longer than the last messages take to leave.
    mesh.set_faults(slow_s=0.2)
    load = stop_under_load(mesh, ["north-ledger", "audio"], entries)
    assert load.cut == []
    assert set(load.told) == {"done"}, load.told
    fleet.eventually(
        lambda: len(mesh.boxes["south-ledger"].status()["shards"]) == 32, "shards"
    )
    no_quarantine(mesh)
    assert max(mesh.effects().values()) == 1


def test_an_entry_box_stops_and_cuts_off_nothing(make_fleet):
    mesh = start(make_fleet)
    entries = [mesh.boxes["north-entry"], mesh.boxes["south-entry"]]
    load = stop_under_load(mesh, ["north-entry"], entries)
    assert load.cut == []
    allowed = {"done", "not-run leaving", "unknown leaving", "refused to connect"}
    assert set(load.told) <= allowed, load.told
    assert max(mesh.effects().values()) == 1


def test_both_at_once_cut_off_nothing(make_fleet):
    mesh = start(make_fleet)
    entries = [mesh.boxes["north-entry"], mesh.boxes["south-entry"]]
    names = ["north-entry", "north-ledger", "audio"]
    load = stop_under_load(mesh, names, entries)
    assert load.cut == []
    no_quarantine(mesh)
    assert max(mesh.effects().values()) == 1


def test_an_idle_owner_waits_for_its_shards_on_a_slow_platform():
    made = worlds.ledger_world()
    made.faults.platform_slow_s = 1.0
    made.stop("north-ledger")
    made.run(0.3)
    assert not made.boxes["north-ledger"].stopped
    made.run(10)
    assert made.boxes["north-ledger"].stopped
    successor = made.boxes["south-ledger"]
    assert len(successor.core.shard_owner.owned) == 32
    details = [one.detail for one in successor.audit if one.action == "shard-owned"]
    assert not [one for one in details if "quarantine" in one]
