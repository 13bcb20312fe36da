"""Tells the daemons of a service's other targets how many retries are granted here.

Counts go back on the links that those daemons dialled, once a period, while any side
grants retries. Owns the time of the last report; the counts are `retry_budget`'s.
"""

from __future__ import annotations

import attrs

from ferrydeck.mesh import context, messages
from ferrydeck.mesh.inbound import retry_budget
from ferrydeck.mesh.members import incoming_links, peer_table


@attrs.define(kw_only=True)
class RetryExchange:
    """Sends this side's counts, and takes those of the others."""

    ctx: context.Context
    peers: peer_table.Peers
    incoming_links: incoming_links.IncomingLinks
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
        for number in self._links():
            self.incoming_links.send(number, message)

    def received(self, now: float, address: str, counts: messages.RetryCounts) -> None:
        """Take the counts of the daemon at an address."""
        self.budget.report_received(now, address, counts.requests, counts.retries)

    def _links(self) -> list[int]:
        """Return the links of daemons whose targets are of the same service."""
        own = self.ctx.identity.service
        return [
            number
            for number, link in self.incoming_links.by_number.items()
            if link.protocol >= messages.RETRY_PROTOCOL
            and (peer := self.peers.by_address.get(link.address)) is not None
            and peer.service == own
        ]
