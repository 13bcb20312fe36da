"""The links that other daemons dialled.

Owns who is at the other end of each, and the least difference of clocks seen on it;
the links that this daemon dialled are in `peer_table`. A link counts from its `Hello`.
"""

from __future__ import annotations

import attrs

from ferrydeck.mesh import context, effects, messages


@attrs.define(kw_only=True)
class IncomingLink:
    """A link that another daemon dialled."""

    box: str
    address: str
    """Where that daemon takes links."""
    min_clock_difference_s: float = float("inf")
    """The least difference of the two clocks seen on it, seconds."""

    def excess_delay_s(self, now: float, sent_s: float) -> float:
        """Return how long a message took beyond the least time seen, seconds."""
        difference = now - sent_s
        self.min_clock_difference_s = min(self.min_clock_difference_s, difference)
        return difference - self.min_clock_difference_s


@attrs.define(kw_only=True)
class IncomingLinks:
    """The table of the links that other daemons dialled."""

    ctx: context.Context
    by_id: dict[int, IncomingLink] = attrs.Factory(dict)

    def add(self, now: float, number: int, hello: messages.Hello) -> None:
        """Take the daemon that sends a `Hello` as the other end of a link."""
        link = IncomingLink(box=hello.box, address=hello.address)
        link.excess_delay_s(now, hello.sent_s)
        self.by_id[number] = link

    def remove(self, number: int) -> None:
        """Forget a link that ended."""
        self.by_id.pop(number, None)

    def send(self, number: int, message: messages.Any) -> None:
        """Send a message on one link."""
        self.ctx.emit(effects.SendBack(link=number, message=message))

    def broadcast(self, message: messages.Any) -> None:
        """Send a message on each link."""
        for number in self.by_id:
            self.send(number, message)
