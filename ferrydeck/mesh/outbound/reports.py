"""Applies the load, price and demand reports that are piggybacked on responses.

It keeps no state: each figure is passed on to the component that uses it.
"""

from __future__ import annotations

import attrs

from ferrydeck.mesh import messages
from ferrydeck.mesh.inbound import inbound
from ferrydeck.mesh.members import peers
from ferrydeck.mesh.outbound import outbound_request


@attrs.define(kw_only=True)
class Reports:
    """Passes piggybacked reports to the components that use them."""

    inbound: inbound.Inbound

    def apply(
        self,
        now: float,
        req: outbound_request.OutboundRequest,
        peer: peers.Peer | None,
        message: messages.Answer | messages.Rejected | messages.AttemptFailed,
    ) -> None:
        """Apply the reports of a message; `peer` is `None` for this box."""
        if peer is not None:
            peer.update_load(now, message.load)
            self.apply_prices(now, peer, message.load)
        if isinstance(message, messages.AttemptFailed):
            return
        self.inbound.correlator.set_called(
            req.route.name, called=message.called_by_targets
        )
        if isinstance(message, messages.Answer):
            costs = self.inbound.costs
            costs.set_demand(req.route.name, message.demand, sheddable=req.sheddable)
            if req.parent is not None:
                req.parent.answered_calls[req.route.name] += 1

    def apply_prices(self, now: float, peer: peers.Peer, load: messages.Load) -> None:
        """Apply the price reports that are part of a load report."""
        if load.prices and peer.target_state is not None:
            service = peer.target_state.service
            self.inbound.prices.received(now, service, load.prices)
