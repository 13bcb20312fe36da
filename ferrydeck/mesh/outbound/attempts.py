"""Attempts in progress: each sends a request to one target once.

Attempts go to other daemons through `peer_table`, and to the target of this box through
its inbound side.
"""

from __future__ import annotations

import attrs
import msgspec

from ferrydeck.mesh import context, effects, long_bodies, messages
from ferrydeck.mesh.inbound import inbound
from ferrydeck.mesh.members import peer_table, peers
from ferrydeck.mesh.outbound import outbound_request

MAX_UNDIVIDED_BODY_BYTES = 4 * 1024 * 1024
"""Longest body that is sent in one message to a daemon that takes no parts, bytes;
half of what may be unsent on a link."""


@attrs.define(kw_only=True)
class Attempts:
    """Sends requests and matches incoming messages to them."""

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
        """Send a request to a target incarnation; `peer` is `None` for this box."""
        number = self.ctx.next_number()
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
        body = req.received.body
        if not isinstance(body, long_bodies.LongBody):
            self.peers.send(now, peer, forward)
            return
        if not takes_parts(peer):
            whole = msgspec.structs.replace(forward, body=bytes(body.view()))
            self.peers.send(now, peer, whole)
            return
        req.body_pending = True
        announced = msgspec.structs.replace(forward, body=b"")
        message = messages.LongForward(forward=announced, size=len(body))
        self.peers.send(now, peer, message)

    def send_body(self, peer: peers.Peer, number: int) -> None:
        """Send the long body of an attempt, as its peer has memory for it now."""
        req = self.find(peer, number)
        if req is None or not req.body_pending:
            return
        self.ctx.emit(
            effects.SendBody(
                address=peer.address, number=number, body=req.received.body
            )
        )

    def body_sent(self, address: str, number: int) -> None:
        """Note that an attempt may run from now on."""
        req = self.by_number.get(number)
        if req is not None and req.peer is not None and req.peer.address == address:
            req.body_pending = False

    def find(
        self, peer: peers.Peer | None, number: int
    ) -> outbound_request.OutboundRequest | None:
        """Return the request whose current attempt at a peer has this number."""
        req = self.by_number.get(number)
        if req is not None and req.peer is peer:
            return req
        if peer is not None:
            peer.in_flight.pop(number, None)
        return None

    def end(self, req: outbound_request.OutboundRequest) -> None:
        """Remove the current attempt of a request, if any."""
        self.by_number.pop(req.current_attempt, None)
        if req.body_pending:
            req.body_pending = False
            self.ctx.emit(
                effects.StopBody(address=req.peer.address, number=req.current_attempt)
            )
        if req.peer is not None:
            req.peer.in_flight.pop(req.current_attempt, None)
        req.current_attempt = 0
        req.peer = None

    def cancel(self, now: float, req: outbound_request.OutboundRequest) -> None:
        """Cancel the current attempt of a request, if any."""
        number, peer = req.current_attempt, req.peer
        if not number:
            return
        self.end(req)
        if peer is None:
            self.inbound.control.cancel(now, inbound.LOCAL_LINK, number)
        elif peer.link is peers.LinkState.UP:
            self.peers.send(now, peer, messages.Cancel(number=number))

    def withdraw(self, now: float, req: outbound_request.OutboundRequest) -> None:
        """Have the current attempt rejected if it is queued; a running one goes on.

        Daemons of older versions know no such message.
        """
        number, peer = req.current_attempt, req.peer
        if not number or req.streaming or req.withdrawn_attempt == number:
            return
        req.withdrawn_attempt = number
        if peer is None:
            self.inbound.control.withdraw(now, inbound.LOCAL_LINK, number)
        elif peer.protocol_version >= messages.MIN_WITHDRAW_PROTOCOL:
            self.peers.send(now, peer, messages.Withdraw(number=number))

    def service_time_s(self, req: outbound_request.OutboundRequest) -> float:
        """Return the mean service time at the current target, seconds; 0 if unknown."""
        if req.peer is None:
            return self.inbound.costs.service_time_ms / 1000
        return req.peer.service_time_ms / 1000

    def send_credit(
        self, now: float, req: outbound_request.OutboundRequest, size: int
    ) -> None:
        """Extend flow control by `size` bytes of a streamed response."""
        number = req.current_attempt
        if req.peer is None:
            self.inbound.control.credit(now, inbound.LOCAL_LINK, number, size)
            return
        self.peers.send(now, req.peer, messages.Credit(number=number, size=size))

    def _forward(
        self, now: float, req: outbound_request.OutboundRequest, incarnation: str
    ) -> messages.Forward:
        received = req.received
        retry = req.retry_kind
        if retry is messages.Retry.REJECTED and not _supports_rejected(req.peer):
            retry = messages.Retry.NO
        return _new_forward(
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
            objective_s=req.objective_at - now,
            route=req.route.name,
            priority=req.priority,
            is_first_call=req.parent is not None and not req.parent.ended_calls,
            sheddable=req.sheddable,
            retryable=req.route.retryable,
            caller_retry=req.caller_retry,
            first_attempt=req.sends == 1,
            retry=retry,
        )


def takes_parts(peer: peers.Peer) -> bool:
    """Return whether a peer is known to take long bodies in parts."""
    return peer.protocol_version >= messages.MIN_BODY_PARTS_PROTOCOL


def may_carry(peer: peers.Peer, body: long_bodies.Body) -> bool:
    """Return whether a request with this body may be sent to a peer."""
    return len(body) <= MAX_UNDIVIDED_BODY_BYTES or takes_parts(peer)


def _supports_rejected(peer: peers.Peer | None) -> bool:
    """Return whether a peer, `None` for this box, supports `Retry.REJECTED`."""
    return peer is None or peer.protocol_version >= messages.MIN_RETRY_PROTOCOL


def _new_forward(team: str, **values: object) -> messages.Forward:
    """Return the message that forwards a request, with its team if it has one."""
    if team:
        return messages.TeamForward(team=team, **values)
    return messages.Forward(**values)
