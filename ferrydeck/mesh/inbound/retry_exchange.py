"""Tells the daemons of a service's other targets how many retries are granted here.

Counts go out on the links that this daemon has dialled, once a period, while any side
grants retries. On the links that the others dialled they would pass for answers, and
hide that nothing of theirs arrives. Owns the time of the last report; the counts are
`retry_budget`'s.
"""

from __future__ import annotations

import attrs

from ferrydeck.mesh import context, messages
from ferrydeck.mesh.inbound import retry_budget
from ferrydeck.mesh.members import peer_table, peers


@attrs.define(kw_only=True)
class RetryExchange:
    """Sends this side's counts, and takes those of the others."""

    ctx: context.Context
    peers: peer_table.PeerTable
    budget: retry_budget.RetryBudget
    _reported: int = 0
    """The period of the last report."""

    def tick(self, now: float) -> None:
        """Send a report where a new period has begun; to be called often."""
        period = int(now / retry_budget.STEP_S) // self.budget.period
        if period == self._reported:
            return
        self._reported = period
        counts = self.budget.report(now)
        if counts is None:
            return
        requests, retries = counts
        message = messages.RetryCounts(requests=requests, retries=retries)
        for peer in self.peers.by_address.values():
            if self._takes_counts(peer):
                self.ctx.send(peer.address, message)

    def received(self, now: float, address: str, counts: messages.RetryCounts) -> None:
        """Take the counts of the daemon at an address."""
        self.budget.report_received(now, address, counts.requests, counts.retries)

    def _takes_counts(self, peer: peers.Peer) -> bool:
        linked = peer.link is peers.LinkState.UP
        known = peer.protocol_version >= messages.RETRY_PROTOCOL
        return linked and known and peer.service == self.ctx.identity.service
