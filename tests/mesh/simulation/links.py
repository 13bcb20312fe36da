"""The links of a simulated world: a delay by distance, and cuts."""

from __future__ import annotations

import collections
from collections.abc import Callable

import attrs

from ferrydeck.mesh import events, messages
from tests.mesh.simulation import box as boxes
from tests.mesh.simulation import timeline

NEAR_S = 0.0002
FAR_S = 0.001


@attrs.define(kw_only=True)
class Links:
    """Dials, carries messages, and ends links; a cut swallows what crosses it."""

    line: timeline.Timeline
    by_address: dict[str, boxes.Box] = attrs.Factory(dict)
    cut: Callable[[boxes.Box, boxes.Box], bool] = lambda one, other: False
    """Tells whether nothing comes from one box to another."""
    sent: collections.Counter[str] = attrs.Factory(collections.Counter)
    """Messages between daemons, by class."""

    def mend(self) -> None:
        """End the cut."""
        self.cut = lambda one, other: False

    def dial(self, box: boxes.Box, address: str) -> None:
        """Make a link, which is up once two messages have crossed."""
        other = self.by_address.get(address)
        if other is None or not other.up:
            down = events.OutgoingLinkDown(address=address, was_up=False)
            self.line.feed_later(box, down, FAR_S)
            return
        if self.cut(box, other):
            return
        number = self.line.number()
        box.links_out[address] = number
        other.links_in[number] = box.address
        up = events.OutgoingLinkUp(address=address)
        self.line.feed_later(box, up, 2 * delay_s(box, other))

    def hang_up(self, box: boxes.Box, address: str) -> None:
        """Close a link that a box dialled."""
        number = box.links_out.pop(address, None)
        other = self.by_address.get(address)
        if number is None or other is None:
            return
        if not self.cut(box, other):
            self.line.after(delay_s(box, other), lambda: self._ended(other, number))

    def drop(self, box: boxes.Box, other: boxes.Box) -> None:
        """End the links between two boxes, one of which has gone."""
        number = other.links_out.pop(box.address, None)
        if number is not None:
            down = events.OutgoingLinkDown(address=box.address, was_up=True)
            self.line.feed_later(other, down, FAR_S)
        number = box.links_out.pop(other.address, None)
        if number is not None:
            self.line.after(FAR_S, lambda: self._ended(other, number))

    def send(self, box: boxes.Box, address: str, message: messages.AnyMessage) -> None:
        """Send a message on a link that a box dialled."""
        number = box.links_out.get(address)
        other = self.by_address.get(address)
        if number is None or other is None or self.cut(box, other):
            return
        copy = self._encoded(message)

        def arrive() -> None:
            if number in other.links_in:
                received = events.IncomingLinkMessage(link=number, message=copy)
                self.line.feed(other, received)

        self.line.after(delay_s(box, other), arrive)

    def send_back(
        self, box: boxes.Box, number: int, message: messages.AnyMessage
    ) -> None:
        """Send a message on a link that another box dialled."""
        other = self.by_address.get(box.links_in.get(number, ""))
        if other is None or self.cut(box, other):
            return
        copy = self._encoded(message)

        def arrive() -> None:
            if other.links_out.get(box.address) == number:
                received = events.OutgoingLinkMessage(address=box.address, message=copy)
                self.line.feed(other, received)

        self.line.after(delay_s(box, other), arrive)

    def _encoded(self, message: messages.AnyMessage) -> messages.AnyMessage:
        """Count a message; return it as it comes out of its bytes."""
        self.sent[type(message).__name__] += 1
        return messages.decode(messages.encode(message))

    def _ended(self, box: boxes.Box, number: int) -> None:
        if box.links_in.pop(number, None) is not None:
            self.line.feed(box, events.IncomingLinkDown(link=number))


def around(data_centre: str) -> Callable[[boxes.Box, boxes.Box], bool]:
    """Return a cut between a data centre and all others."""

    def cut(one: boxes.Box, other: boxes.Box) -> bool:
        return (one.data_centre == data_centre) != (other.data_centre == data_centre)

    return cut


def delay_s(one: boxes.Box, other: boxes.Box) -> float:
    """Return how long a message takes between two boxes, seconds."""
    return NEAR_S if one.data_centre == other.data_centre else FAR_S
