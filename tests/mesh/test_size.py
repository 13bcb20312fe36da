"""Work of a daemon in fleets of three sizes, which must not grow with the fleet."""

from __future__ import annotations

import pytest

from ferrydeck.mesh.members import peer_table
from ferrydeck.mesh.outbound import balancing
from tests.mesh import samples

SIZES = (15, 60, 120)


@pytest.mark.parametrize("boxes", SIZES)
def test_choice_scores_bounded_number_of_targets(boxes, monkeypatch):
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
    max_scored = balancing.NEAR_SAMPLE_SIZE + balancing.FAR_SAMPLE_SIZE
    assert len(scored) <= 100 * max(max_scored, min(boxes, balancing.MAX_FULL_SCAN))
    assert len(set(scored)) > min(boxes, 40) / 2, "too few targets are drawn"


@pytest.mark.parametrize("boxes", SIZES)
def test_idle_daemon_checks_all_links_once_per_second(boxes, monkeypatch):
    world = samples.world_of(boxes, data_centres=5)
    world.run(3)
    checked = []
    keep_alive = peer_table.PeerTable._keep_alive

    def counted(self, now, peer, idle_interval_s):
        checked.append(peer)
        keep_alive(self, now, peer, idle_interval_s)

    monkeypatch.setattr(peer_table.PeerTable, "_keep_alive", counted)
    world.run(2.0)
    # All links twice, and recently pinged ones about once in fifty checks.
    assert len(checked) <= boxes * (2 * (boxes - 1) + 2 * 20)


def test_removed_daemon_is_no_longer_checked():
    world = samples.world_of(3)
    world.run(3)
    core = world.boxes["box-0"].core
    removed = world.boxes["box-2"]
    removed.up = False
    world.store.records.pop("box-2")
    for other in world.boxes.values():
        world.links.drop(removed, other)
    world.run(30)
    assert len(core.peers.by_address) == 1
    assert {peer.box for peer in core.peers._active} <= {"box-1"}
