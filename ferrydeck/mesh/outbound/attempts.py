"""The attempts that are out: one sending of a request to one target each.

Owns the table of attempts by number; relies on `peer_table` to reach other daemons, and
on the inbound side of this box where the target is its own.
"""

from __future__ import annotations

import attrs

from ferrydeck.mesh import context, messages
from ferrydeck.mesh.inbound import inbound
from ferrydeck.mesh.members import peer_table, peers
from ferrydeck.mesh.outbound import outbound_request


@attrs.define(kw_only=True)
class Attempts:
    """Sends requests, and finds them again by what is received about them."""

    ctx: context.Context
    peers: peer_table.PeerTable
    inbound: inbound.Inbound
    by_number: dict[int, outbound_request.OutboundRequest] = attrs.Factory(dict)

    def send(
        self,
        now: float,
        req: outbound_request.OutboundRequest,
        peer: peers.Peer | None,
        incarnation: str,
    ) -> None:
        """Send a request to an incarnation at a peer, `None` for this box's own."""
        number = self.ctx.number()
        req.current_attempt = number
        req.peer = peer
        req.sends += 1
        req.attempts += 1
        self.by_number[number] = req
        forward = self._forward(now, req, incarnation)
        if peer is None:
            req.tried.add(self.ctx.identity.address)
            self.inbound.submit(now, inbound.LOCAL_LINK, forward, 0.0)
            return
        req.tried.add(peer.address)
        peer.in_flight[number] = now
        self.peers.send(now, peer, forward)

    def find(
        self, peer: peers.Peer | None, number: int
    ) -> outbound_request.OutboundRequest | None:
        """Return the request whose attempt a message from a peer is about."""
        req = self.by_number.get(number)
        if req is not None and req.peer is peer:
            return req
        if peer is not None:
            peer.in_flight.pop(number, None)
        return None

    def end(self, req: outbound_request.OutboundRequest) -> None:
        """Forget the attempt that is out, where there is one."""
        self.by_number.pop(req.current_attempt, None)
        if req.peer is not None:
            req.peer.in_flight.pop(req.current_attempt, None)
        req.current_attempt = 0
        req.peer = None

    def withdraw(self, now: float, req: outbound_request.OutboundRequest) -> None:
        """Have the attempt that is out cancelled, where there is one."""
        number, peer = req.current_attempt, req.peer
        if not number:
            return
        self.end(req)
        if peer is None:
            self.inbound.cancel(now, inbound.LOCAL_LINK, number)
        elif peer.link is peers.LinkState.UP:
            self.peers.send(now, peer, messages.Cancel(number=number))

    def credit(
        self, now: float, req: outbound_request.OutboundRequest, size: int
    ) -> None:
        """Ask for `size` further bytes of a long answer."""
        number = req.current_attempt
        if req.peer is None:
            self.inbound.credit(inbound.LOCAL_LINK, number, size)
            return
        self.peers.send(now, req.peer, messages.Credit(number=number, size=size))

    def _forward(
        self, now: float, req: outbound_request.OutboundRequest, incarnation: str
    ) -> messages.Forward:
        received = req.received
        retry = req.retry
        if retry is messages.Retry.REJECTED and not _takes_rejected(req.peer):
            retry = messages.Retry.NO
        return _forward_of(
            req.team_name,
            number=req.current_attempt,
            request_id=req.request_id,
            incarnation=incarnation,
            service=req.service,
            caller=self.ctx.identity.service,
            method=received.method,
            path=received.path,
            fields=received.fields,
            body=received.body,
            sent_s=now,
            left_s=req.deadline - now,
            wait_s=max(0.0, req.give_up_at - now),
            objective_s=req.late_at - now,
            route=req.route.name,
            priority=req.priority,
            begins=req.parent is not None and not req.parent.calls,
            lowest=req.lowest,
            retryable=req.route.retryable,
            came_back=req.came_back,
            first=req.sends == 1,
            retry=retry,
        )


def _takes_rejected(peer: peers.Peer | None) -> bool:
    """Return whether a daemon, `None` for this one, knows of rejected requests."""
    return peer is None or peer.protocol_version >= messages.RETRY_PROTOCOL


def _forward_of(team: str, **values: object) -> messages.Forward:
    """Return a request as it is sent to a daemon, with its team where it has one."""
    if team:
        return messages.TeamForward(team=team, **values)
    return messages.Forward(**values)
