from __future__ import annotations

import threading
import time

import pytest

from ferrydeck import cli
from ferrydeck.commands import client
from ferrydeck.signed.core import headers, platform
from ferrydeck.standins import fleet, sample
from tests import worlds

BOUND_S = 3.0
"""Seconds after which a leaving target gets no new work."""


def start(make_fleet):
    mesh = make_fleet("north", "south")
    for name in ("north", "south"):
        mesh.add_box(f"{name}-entry", name, entry=True)
        for number in range(2):
            mesh.add_box(f"{name}-{number}", name, service="catalogue")
    rolled = mesh.roll(sample.bundle_toml())
    assert rolled.returncode == 0, rolled.stderr
    mesh.wait_ready()
    return mesh


class Callers:
    """Callers at both entries, until they are told to end."""

    def __init__(self, mesh):
        self.ending = threading.Event()
        self.boxes = []
        entries = [mesh.boxes["north-entry"], mesh.boxes["south-entry"]]
        self.threads = [
            threading.Thread(target=self.run, args=(entries[number % 2],))
            for number in range(6)
        ]
        for thread in self.threads:
            thread.start()

    def run(self, entry):
        while not self.ending.is_set():
            path = "/catalogue/shows?ms=2"
            answer = client.fetch(entry.address("entry"), "GET", path)
            self.boxes.append(answer.headers.get(headers.BOX, ""))

    def end(self):
        self.ending.set()
        for thread in self.threads:
            thread.join()


def by_signal(mesh, box):
    box.daemon.signal(15)


def by_drain(mesh, box):
    # Within this process: the bound runs from the command, and an interpreter that
    # starts beside busy processes took longer than the bound itself.
    assert cli.main(["drain", box.address("admin")]) == 0


def by_list(mesh, box):
    states = dict.fromkeys(mesh.boxes, "live")
    mesh.set_box_list(states | {box.name: "leaving"})


def by_crash(mesh, box):
    box.daemon.kill()


# While the platform is out there is no list of its own to leave by.
@pytest.mark.parametrize(
    ("leave", "platform_out"),
    [
        (by_signal, False),
        (by_signal, True),
        (by_drain, False),
        (by_drain, True),
        (by_crash, False),
        (by_crash, True),
        (by_list, False),
    ],
)
def test_a_leaving_target_gets_no_new_work(make_fleet, leave, platform_out):
    mesh = start(make_fleet)
    mesh.set_box_list(dict.fromkeys(mesh.boxes, "live"))
    callers = Callers(mesh)
    box = mesh.boxes["north-0"]
    fleet.eventually(lambda: box.effects(), "the box works")
    if platform_out:
        mesh.set_faults(down=True)
    asked = time.monotonic()
    leave(mesh, box)
    count = len(callers.boxes)
    fleet.eventually(lambda: time.monotonic() > asked + BOUND_S, "the bound")
    fleet.eventually(lambda: len(callers.boxes) > count + 200, "calls go on")
    callers.end()
    late = [one for one in box.effects() if one["at"] > asked + BOUND_S]
    assert late == []
    assert "" not in callers.boxes[-100:], "calls fail after the box left"


def test_a_box_that_restarts_gets_work_again_while_the_list_lags(make_fleet):
    mesh = start(make_fleet)
    box = mesh.boxes["north-0"]
    by_list(mesh, box)
    entry = mesh.boxes["north-entry"]

    def taken(wanted):
        peers = entry.status()["peers"]
        return [p["box"] for p in peers if p["takes_work"] == wanted]

    fleet.eventually(lambda: "north-0" in taken(False), "listed as leaving")
    assert box.daemon.stop() == 0
    mesh.restart(box)
    fleet.eventually(lambda: "north-0" in taken(True), "back at work")
    # A box that starts now has not seen the change that the list still shows.
    other = mesh.boxes["south-0"]
    other.daemon.kill()
    mesh.restart(other)
    fleet.eventually(lambda: other.status()["ready"], "the other box is back")
    reads = mesh.platform_counts()["reads"]
    fleet.eventually(
        lambda: mesh.platform_counts()["reads"] > reads + 40, "the list is read again"
    )
    assert "north-0" in taken(True)


def test_only_a_change_to_leaving_that_was_seen_counts():
    members = worlds.ledger_world().boxes["north-entry"].core.members

    def listed(**states):
        return members.sync_list(
            0.0,
            tuple(
                platform.ListedBox(
                    box=f"{name}-ledger", address="", data_centre=name, state=state
                )
                for name, state in states.items()
            ),
        )

    members._list_received = False
    assert listed(north="live", south="leaving") == []
    assert [one.box for one in listed(north="leaving", south="leaving")] == [
        "north-ledger"
    ]
    assert members.peers["south-ledger"].accepts_work
    assert not members.peers["north-ledger"].accepts_work
