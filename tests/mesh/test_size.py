"""What a daemon does, counted, in fleets of three sizes: it must not grow with them."""

from __future__ import annotations

import pytest

from ferrydeck.mesh.members import peer_table
from ferrydeck.mesh.outbound import balancing
from tests.mesh import samples

SIZES = (15, 60, 120)


@pytest.mark.parametrize("boxes", SIZES)
def test_a_choice_looks_at_a_bounded_number_of_gates(boxes, monkeypatch):
    world = samples.world_of(boxes, data_centres=5)
    picker = world.boxes["box-0"].core.outbound.picker
    scored = []
    score = balancing.Picker._score

    def counted(self, now, peer, group):
        scored.append(peer)
        return score(self, now, peer, group)

    monkeypatch.setattr(balancing.Picker, "_score", counted)
    for step in range(100):
        picker.pick(world.now + step * 0.001, "desk", set())
    most = balancing.NEAR_SAMPLE_SIZE + balancing.FAR_SAMPLE_SIZE
    assert len(scored) <= 100 * max(most, min(boxes, balancing.MAX_FULL_SCAN))
    assert len(set(scored)) > min(boxes, 40) / 2, "draws reach most of them"


@pytest.mark.parametrize("boxes", SIZES)
def test_an_idle_daemon_looks_at_all_links_once_a_second_only(boxes, monkeypatch):
    world = samples.world_of(boxes, data_centres=5)
    world.run(3)
    looked = []
    look = peer_table.PeerTable._keep_alive

    def counted(self, now, peer, idle_s):
        looked.append(peer)
        look(self, now, peer, idle_s)

    monkeypatch.setattr(peer_table.PeerTable, "_keep_alive", counted)
    world.run(2.0)
    # Beside all of them twice, those that were just pinged: one in fifty ticks or so.
    assert len(looked) <= boxes * (2 * (boxes - 1) + 2 * 20)


def test_a_daemon_that_was_forgotten_is_looked_at_no_more():
    world = samples.world_of(3)
    world.run(3)
    core = world.boxes["box-0"].core
    gone = world.boxes["box-2"]
    gone.up = False
    world.store.records.pop("box-2")
    for other in world.boxes.values():
        world.links.drop(gone, other)
    world.run(30)
    assert len(core.peers.by_address) == 1
    assert {peer.box for peer in core.peers._active} <= {"box-1"}
