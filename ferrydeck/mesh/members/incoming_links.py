"""The links that other daemons dialled.

Owns the daemon and the least clock difference of each, from its `Hello` on. Links that
this daemon dialled are in `peer_table`.
"""

from __future__ import annotations

import attrs

from ferrydeck.mesh import context, effects, messages


@attrs.define(kw_only=True)
class IncomingLink:
    """A link that another daemon dialled."""

    box: str
    address: str
    """The address at which that daemon accepts links."""
    protocol: int
    """Protocol version of that daemon."""
    min_clock_difference_s: float = float("inf")
    """The least difference seen between both clocks, including the delay, seconds."""

    def excess_delay_s(self, now: float, sent_s: float) -> float:
        """Return the delay of a message beyond the least delay seen, seconds."""
        difference = now - sent_s
        self.min_clock_difference_s = min(self.min_clock_difference_s, difference)
        return difference - self.min_clock_difference_s


@attrs.define(kw_only=True)
class IncomingLinks:
    """The table of the links that other daemons dialled."""

    ctx: context.Context
    by_id: dict[int, IncomingLink] = attrs.Factory(dict)

    def add(self, now: float, link_id: int, hello: messages.Hello) -> None:
        """Add a link by the `Hello` that the other daemon sent on it."""
        link = IncomingLink(
            box=hello.box, address=hello.address, protocol=hello.protocol
        )
        link.excess_delay_s(now, hello.sent_s)
        self.by_id[link_id] = link

    def remove(self, link_id: int) -> None:
        """Remove a closed link."""
        self.by_id.pop(link_id, None)

    def send(self, link_id: int, message: messages.AnyMessage) -> None:
        """Send a message on one link."""
        self.ctx.emit(effects.SendIncoming(link=link_id, message=message))

    def broadcast(self, message: messages.AnyMessage, *, min_protocol: int = 0) -> None:
        """Send a message on all links to daemons of a protocol version or later."""
        for link_id, link in self.by_id.items():
            if link.protocol >= min_protocol:
                self.send(link_id, message)
