"""Heartbeats that are sent to another daemon than that of their target."""

from __future__ import annotations

from ferrydeck.mesh import events, messages
from tests.mesh import samples


def test_a_heartbeat_is_relayed_to_the_daemon_of_its_target():
    world = samples.world_of(2)
    box, other = world.boxes["box-0"], world.boxes["box-1"]
    world.run(1.0)
    acked = []
    number = world.number()
    world.targets.acks[number] = acked.append
    leaving = events.Heartbeat(
        conn=number,
        target_id=box.target.target_id,
        service=box.target.service,
        address=f"{box.address.rpartition(':')[0]}:80",
        slots=8,
        sequence=100,
        ready=False,
        terminating=False,
        warmup_s=0.0,
        started_ms=box.target.started_ms,
    )
    world.feed(other, leaving)
    world.run(0.2)
    assert acked == [True]
    assert box.core.inbound.target.phase is messages.Phase.LEAVING
