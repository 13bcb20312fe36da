"""Daemons of one service report their granted retries to each other."""

from __future__ import annotations

import collections

from ferrydeck.mesh import messages
from tests.mesh import samples


def shedding_world(monkeypatch):
    """Return a world whose targets shed half, and counts of sent messages."""
    sent: collections.Counter[str] = collections.Counter()
    encode = messages.encode

    def counted(message):
        sent[type(message).__name__] += 1
        return encode(message)

    monkeypatch.setattr(messages, "encode", counted)
    world = samples.world_of(4, data_centres=2, slots=30)
    for box in world.boxes.values():
        box.target.shed_ratio = 0.5
    return world, sent


def test_each_daemon_knows_the_grants_of_the_others(monkeypatch):
    world, _ = shedding_world(monkeypatch)
    samples.load(world, "box-0", 300)
    world.run(0.6)
    granted = {
        name: sum(box.core.inbound.retry_budget._granted.values())
        for name, box in world.boxes.items()
    }
    assert all(granted.values())
    for name, box in world.boxes.items():
        peers = box.core.inbound.retry_budget.peers
        assert len(peers) == 3
        assert sum(peers.retries.values()) == sum(granted.values()) - granted[name]


def test_no_counts_are_sent_to_a_daemon_of_an_earlier_protocol(monkeypatch):
    world, sent = shedding_world(monkeypatch)
    for box in world.boxes.values():
        for peer in box.core.peers.by_address.values():
            peer.protocol_version = messages.MIN_RETRY_PROTOCOL - 1
    samples.load(world, "box-0", 300)
    assert sent["RetryCounts"] == 0


def test_no_counts_are_sent_without_shedding(monkeypatch):
    world, sent = shedding_world(monkeypatch)
    for box in world.boxes.values():
        box.target.shed_ratio = 0.0
    samples.load(world, "box-0", 300)
    assert sent["RetryCounts"] == 0


def test_no_counts_are_sent_once_the_grants_have_expired(monkeypatch):
    world, sent = shedding_world(monkeypatch)
    samples.load(world, "box-0", 100)
    world.run(32.0)
    sent.clear()
    world.run(10.0)
    assert sent["RetryCounts"] == 0


# Guards against reports that count as replies: a daemon that received nothing was not
# detected as long as it sent reports.
def test_reports_do_not_hide_that_a_daemon_receives_no_messages(monkeypatch):
    world, _ = shedding_world(monkeypatch)
    samples.load(world, "box-0", 200)
    receiver, sender = world.boxes["box-1"], world.boxes["box-0"]
    world.links.cut = lambda source, peer: source is sender and peer is receiver
    cut_at = world.now
    samples.load(world, "box-2", 400)
    detected = [
        at
        for at, name, one in world.decisions
        if name == "box-0" and one.kind == "link-lost" and one.inputs["peer"] == "box-1"
    ]
    assert detected
    assert detected[0] - cut_at < 3.0
