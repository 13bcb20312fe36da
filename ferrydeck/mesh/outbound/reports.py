"""What answers and rejections report beside the answer: load, prices, demand, calls.

Owns nothing: each figure goes to the part that decides by it. A figure comes with
every message of an inbound side, so no message of its own is spent on it.
"""

from __future__ import annotations

import attrs

from ferrydeck.mesh import messages
from ferrydeck.mesh.inbound import inbound
from ferrydeck.mesh.members import peers
from ferrydeck.mesh.outbound import outbound_request


@attrs.define(kw_only=True)
class Reports:
    """Hands reported figures to the parts that decide by them."""

    inbound: inbound.Inbound

    def received(
        self,
        now: float,
        req: outbound_request.OutboundRequest,
        peer: peers.Peer | None,
        message: messages.Answer | messages.Rejected | messages.Broken,
    ) -> None:
        """Take what a message of a peer reports, `None` for this box."""
        if peer is not None:
            peer.update_load(now, message.load)
            self.prices_received(now, peer, message.load)
        if isinstance(message, messages.Broken):
            return
        self.inbound.correlator.set_called(req.route.name, called=message.called)
        if isinstance(message, messages.Answer):
            costs = self.inbound.costs
            costs.set_demand(req.route.name, message.demand, sheddable=req.lowest)
            if req.parent is not None:
                req.parent.answered_calls[req.route.name] += 1

    def prices_received(
        self, now: float, peer: peers.Peer, load: messages.Load
    ) -> None:
        """Take the price reports that came with a daemon's load."""
        if load.prices and peer.target_state is not None:
            service = peer.target_state.service
            self.inbound.prices.received(now, service, load.prices)
