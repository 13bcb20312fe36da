"""Routes each heartbeat to the daemon of its target, and acknowledges it.

A target may send its heartbeat to any daemon. A heartbeat of another box's target is
relayed to the daemon there, and acknowledged once that daemon has processed it.

Owns the relays that wait for an acknowledgement.
"""

from __future__ import annotations

import attrs

from ferrydeck.mesh import context, effects, events, incarnations, messages
from ferrydeck.mesh.inbound import inbound
from ferrydeck.mesh.members import peer_table, peers

RELAY_TIMEOUT_S = 0.8
"""Timeout of a relayed heartbeat, seconds; the target waits for one second."""


@attrs.define(kw_only=True, frozen=True)
class RelayTimer:
    """The timeout of a relayed heartbeat has expired."""

    number: int


@attrs.define(kw_only=True)
class Heartbeats:
    """Processes heartbeats of the local target, and relays all others."""

    ctx: context.Context
    peers: peer_table.PeerTable
    inbound: inbound.Inbound
    _relays: dict[int, int] = attrs.Factory(dict)
    """Connections of relayed heartbeats, by relay number."""

    def on_heartbeat(self, now: float, heartbeat: events.Heartbeat) -> None:
        """Process a heartbeat, or relay it to the daemon of its target."""
        own = heartbeat.address == self.ctx.identity.target_address
        if own and self._names_other_service(heartbeat):
            # The configured service of this box differs, so the target may not be used.
            self.ctx.note(
                "report",
                outcome="odd",
                instance=heartbeat.target_id,
                service=heartbeat.service,
            )
            self._ack(heartbeat.conn, accepted=False)
            return
        if own or (heartbeat.terminating and self._may_be_own(heartbeat.target_id)):
            self.inbound.target.heartbeat(now, heartbeat)
            self._ack(heartbeat.conn, accepted=True)
            return
        peer = self._peer_of_target(heartbeat)
        if peer is None or peer.link is not peers.LinkState.UP:
            self.ctx.note("report", outcome="refused", instance=heartbeat.target_id)
            self._ack(heartbeat.conn, accepted=False)
            return
        self._send_relay(now, peer, heartbeat)

    def on_relay(self, now: float, link: int, relay: messages.HeartbeatRelay) -> None:
        """Process a heartbeat that another daemon relayed, and acknowledge it."""
        heartbeat = events.Heartbeat(
            conn=0,
            target_id=relay.target_id,
            service=relay.service,
            address=relay.address,
            slots=relay.slots,
            sequence=relay.sequence,
            ready=relay.ready,
            terminating=relay.terminating,
            warmup_s=relay.warmup_s,
            started_ms=relay.started_ms,
        )
        self.inbound.target.heartbeat(now, heartbeat)
        ack = messages.HeartbeatAck(number=relay.number, accepted=True)
        self.ctx.emit(effects.SendIncoming(link=link, message=ack))

    def end_relay(self, number: int, *, accepted: bool) -> None:
        """Acknowledge a relayed heartbeat, after its acknowledgement or timeout."""
        conn = self._relays.pop(number, None)
        if conn is not None:
            self._ack(conn, accepted=accepted)

    def _send_relay(
        self, now: float, peer: peers.Peer, heartbeat: events.Heartbeat
    ) -> None:
        number = self.ctx.next_number()
        self._relays[number] = heartbeat.conn
        self.ctx.set_timer(now + RELAY_TIMEOUT_S, RelayTimer(number=number))
        relay = messages.HeartbeatRelay(
            number=number,
            target_id=heartbeat.target_id,
            service=heartbeat.service,
            address=heartbeat.address,
            slots=heartbeat.slots,
            sequence=heartbeat.sequence,
            ready=heartbeat.ready,
            terminating=heartbeat.terminating,
            warmup_s=heartbeat.warmup_s,
            started_ms=heartbeat.started_ms,
        )
        self.peers.send(now, peer, relay)

    def _ack(self, conn: int, *, accepted: bool) -> None:
        self.ctx.emit(effects.AckHeartbeat(conn=conn, accepted=accepted))

    def _names_other_service(self, event: events.Heartbeat) -> bool:
        """Return whether a heartbeat states another service than that of this box."""
        return not event.terminating and event.service != self.ctx.identity.service

    def _may_be_own(self, target_id: str) -> bool:
        """Return whether a heartbeat without address may belong to the local target."""
        target = self.inbound.target
        known = {
            incarnations.target_id_of(inc) for inc in (target.incarnation, *target.left)
        }
        return not target.incarnation or target_id in known

    def _peer_of_target(self, heartbeat: events.Heartbeat) -> peers.Peer | None:
        """Return the daemon of the target of a heartbeat, by address or by id."""
        if ip := heartbeat.address.rpartition(":")[0]:
            return self.peers.find_by_ip(ip)
        for peer in self.peers.by_address.values():
            state = peer.target_state
            if state is None:
                continue
            if incarnations.target_id_of(state.incarnation) == heartbeat.target_id:
                return peer
        return None
