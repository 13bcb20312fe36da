"""Exchanges retry counts with the daemons of the service's other targets.

Counts are sent once per period while any daemon grants retries. They are sent on
outgoing links only: on incoming links they would count as replies, and hide that the
messages of the peer are lost. Owns the period of the last report; `retry_budget` owns
the counts.
"""

from __future__ import annotations

import attrs

from ferrydeck.mesh import context, messages
from ferrydeck.mesh.inbound import retry_budget
from ferrydeck.mesh.members import peer_table, peers


@attrs.define(kw_only=True)
class RetryExchange:
    """Sends the counts of this daemon, and receives those of the others."""

    ctx: context.Context
    peers: peer_table.PeerTable
    budget: retry_budget.RetryBudget
    _reported: int = 0
    """The period of the last report."""

    def tick(self, now: float) -> None:
        """Send a report if a new period has begun; must be called often."""
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
            if self._accepts_counts(peer):
                self.ctx.send(peer.address, message)

    def update_target_count(self, restarted_at: float | None) -> None:
        """Update the number of targets that share the slack of the budget.

        `restarted_at` is when this daemon started, if its box had one before.
        """
        if restarted_at is not None:
            self.budget.started_at = restarted_at
        others = self.peers.count_targets(self.ctx.identity.service)
        self.budget.observe_target_count(1 + others)

    def received(self, now: float, address: str, counts: messages.RetryCounts) -> None:
        """Store the counts of the daemon at an address."""
        self.budget.report_received(now, address, counts.requests, counts.retries)

    def _accepts_counts(self, peer: peers.Peer) -> bool:
        linked = peer.link is peers.LinkState.UP
        known = peer.protocol_version >= messages.MIN_RETRY_PROTOCOL
        return linked and known and peer.service == self.ctx.identity.service
