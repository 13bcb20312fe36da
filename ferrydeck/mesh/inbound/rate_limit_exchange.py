"""Exchanges the rate limits of targets with the other daemons.

Each daemon announces the limit of its target, and is sent it back by each of the others
when they link with it, since it may have restarted. Owns no state: `rate_limit` has the
limit of the local target, `peer_table` those of the others.
"""

from __future__ import annotations

import attrs

from ferrydeck.mesh import context, messages
from ferrydeck.mesh.inbound import rate_limit
from ferrydeck.mesh.members import incoming_links, peer_table, peers


@attrs.define(kw_only=True)
class RateLimitExchange:
    """Announces the limit of this box's target, and receives those of the others."""

    ctx: context.Context
    peers: peer_table.PeerTable
    incoming_links: incoming_links.IncomingLinks
    limit: rate_limit.RateLimit

    def tick(self) -> None:
        """Update whether all targets of the service state a limit."""
        own = self.limit.rate_per_s is not None
        service = self.ctx.identity.service
        self.limit.service_limited = own and self.peers.all_limited(service)

    def broadcast(self) -> None:
        """Announce the limit to the daemons that support it."""
        self.incoming_links.broadcast(
            self._message(), min_protocol=messages.MIN_RATE_LIMIT_PROTOCOL
        )

    def hello_received(self, link: int, hello: messages.Hello) -> None:
        """Send the limit to a daemon that has dialled, if there is one."""
        supported = hello.protocol >= messages.MIN_RATE_LIMIT_PROTOCOL
        if supported and self.limit.rate_per_s is not None:
            self.incoming_links.send(link, self._message())

    def announced(self, peer: peers.Peer, message: messages.RateLimit) -> None:
        """Store the limit that a peer announces for its target."""
        peer.rate_limit = message if message.rate_per_s >= 0 else None

    def returned(self, now: float, link: int, message: messages.RateLimit) -> None:
        """Apply the limit of this target that a peer knows, or correct the peer."""
        applied = self.limit.peer_reported(now, message.target_id, message.rate_per_s)
        if not applied:
            self.incoming_links.send(link, self._message())

    def _message(self) -> messages.RateLimit:
        rate_per_s = self.limit.rate_per_s
        return messages.RateLimit(
            target_id=self.limit.target_id,
            rate_per_s=-1.0 if rate_per_s is None else rate_per_s,
        )
