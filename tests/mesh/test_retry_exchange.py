"""Daemons of one service tell each other how many retries they grant."""

from __future__ import annotations

import collections

from ferrydeck.mesh import messages
from tests.mesh import samples


def shedding(monkeypatch):
    """Return a world whose targets shed half, and what its daemons send."""
    sent: collections.Counter[str] = collections.Counter()
    encode = messages.encode

    def counted(message):
        sent[type(message).__name__] += 1
        return encode(message)

    monkeypatch.setattr(messages, "encode", counted)
    world = samples.world_of(4, data_centres=2, slots=30)
    for box in world.boxes.values():
        box.target.sheds_share = 0.5
    return world, sent


def test_each_side_knows_what_the_others_have_granted(monkeypatch):
    world, _ = shedding(monkeypatch)
    samples.load(world, "box-0", 300)
    world.run(0.6)
    granted = {
        name: sum(box.core.inbound.retry_budget._granted.values())
        for name, box in world.boxes.items()
    }
    assert all(granted.values())
    for name, box in world.boxes.items():
        others = box.core.inbound.retry_budget.peer_counts
        assert len(others) == 3
        assert sum(others.retries.values()) == sum(granted.values()) - granted[name]


def test_a_daemon_of_an_earlier_protocol_is_sent_no_counts(monkeypatch):
    world, sent = shedding(monkeypatch)
    for box in world.boxes.values():
        for peer in box.core.peers.by_address.values():
            peer.protocol_version = messages.RETRY_PROTOCOL - 1
    samples.load(world, "box-0", 300)
    assert sent["RetryCounts"] == 0


def test_a_calm_fleet_sends_no_counts(monkeypatch):
    world, sent = shedding(monkeypatch)
    for box in world.boxes.values():
        box.target.sheds_share = 0.0
    samples.load(world, "box-0", 300)
    assert sent["RetryCounts"] == 0


def test_counts_are_sent_no_longer_than_they_matter(monkeypatch):
    world, sent = shedding(monkeypatch)
    samples.load(world, "box-0", 100)
    world.run(32.0)
    sent.clear()
    world.run(10.0)
    assert sent["RetryCounts"] == 0


# Guards against reports that pass for answers: a daemon whose messages are lost one way
# was not found silent, and what was sent to it was lost for as long as it reported.
def test_reports_do_not_hide_that_a_daemon_receives_nothing(monkeypatch):
    world, _ = shedding(monkeypatch)
    samples.load(world, "box-0", 200)
    deaf, sender = world.boxes["box-1"], world.boxes["box-0"]
    world.links.cut = lambda one, other: one is sender and other is deaf
    since = world.now
    samples.load(world, "box-2", 400)
    lost = [
        at
        for at, name, one in world.decisions
        if name == "box-0" and one.kind == "link-lost" and one.inputs["peer"] == "box-1"
    ]
    assert lost
    assert lost[0] - since < 3.0
