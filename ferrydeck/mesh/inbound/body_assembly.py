"""Long bodies of requests from other daemons, on their way to this box's target.

A request with a long body is announced first. Its body is asked for once there is
memory for it, and the request is submitted once the body is complete. So a request has
not run if its body was lost on the way.

Owns the announced requests until then, and the memory of their bodies.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs
import msgspec

from ferrydeck.mesh import context, long_bodies, messages
from ferrydeck.mesh.inbound import inbound


@attrs.define(kw_only=True, eq=False)
class Announced:
    """A request whose body has not arrived completely."""

    link: int
    announcement: messages.LongForward
    delay_s: float
    """Transmission delay of the announcement, seconds."""
    arrived_at: float
    body: long_bodies.LongBody | None = None
    """What has arrived of the body; `None` while it waits for memory."""

    @property
    def start_by(self) -> float:
        """Time after which its answer would be of no use."""
        forward = self.announcement.forward
        left_s = min(forward.wait_s, forward.left_s) - self.delay_s
        return self.arrived_at + left_s


@attrs.define(kw_only=True)
class BodyAssembly:
    """Receives long bodies and submits their requests."""

    ctx: context.Context
    inbound: inbound.Inbound
    send: Callable[[int, messages.AnyMessage], None]
    """Sends a message on an incoming link."""
    memory: long_bodies.BodyMemory = attrs.Factory(
        lambda: long_bodies.BodyMemory(limit_bytes=long_bodies.LINK_LIMIT_BYTES)
    )
    _announced: dict[tuple[int, int], Announced] = attrs.Factory(dict)
    """Announced requests by link and number, in order of arrival."""

    def __len__(self) -> int:
        """Return the number of requests whose body has not arrived completely."""
        return len(self._announced)

    @property
    def waiting(self) -> int:
        """Number of requests whose body waits for memory."""
        return sum(one.body is None for one in self._announced.values())

    def announce(
        self, now: float, link: int, message: messages.LongForward, delay_s: float
    ) -> None:
        """Ask for the body of a request, or have it wait for memory."""
        one = Announced(
            link=link, announcement=message, delay_s=delay_s, arrived_at=now
        )
        if not self.inbound.accepts_requests:
            self._reject(now, one, messages.Reason.CLOSED)
            return
        if not 0 < message.size <= long_bodies.MAX_BODY_BYTES:
            self._reject(now, one, messages.Reason.NOT_SENT)
            return
        self._announced[link, message.number] = one
        self.request_bodies()

    def part_received(self, now: float, link: int, part: messages.BodyPart) -> None:
        """Add a part to a body; submit the request once it is complete."""
        one = self._announced.get((link, part.number))
        if one is None or one.body is None:
            return
        if len(part.data) > one.body.free_bytes:
            self._end(now, one, messages.Reason.NOT_SENT)
            return
        one.body.append(part.data)
        if one.body.free_bytes:
            return
        self._forget(one)
        forward = msgspec.structs.replace(one.announcement.forward, body=one.body)
        delay_s = one.delay_s + now - one.arrived_at
        self.inbound.submit(now, link, forward, delay_s)

    def control(
        self,
        now: float,
        link: int,
        message: messages.Cancel | messages.Withdraw | messages.Credit,
    ) -> bool:
        """Cancel or withdraw an announced request; return whether it was one."""
        one = self._announced.get((link, message.number))
        if one is None:
            return False
        self._end(now, one, messages.Reason.CANCELLED)
        return True

    def link_down(self, link: int) -> None:
        """Drop the requests that were announced on a closed link."""
        for one in list(self._announced.values()):
            if one.link == link:
                self._forget(one)

    def check(self, now: float) -> None:
        """Reject requests whose time is over, and ask for bodies that fit now."""
        for one in list(self._announced.values()):
            if not self.inbound.accepts_requests:
                self._end(now, one, messages.Reason.CLOSED)
            elif now >= one.start_by:
                self._end(now, one, messages.Reason.OVERLOAD)
        self.request_bodies()

    def request_bodies(self) -> None:
        """Ask for the bodies that fit into memory, in order of arrival."""
        self.memory.freed = False
        for (link, number), one in self._announced.items():
            if one.body is not None:
                continue
            size = one.announcement.size
            one.body = self.memory.reserve(size)
            if one.body is None:
                return
            self.send(link, messages.Credit(number=number, size=size))

    def _end(self, now: float, one: Announced, reason: messages.Reason) -> None:
        self._forget(one)
        self._reject(now, one, reason)

    def _forget(self, one: Announced) -> None:
        self._announced.pop((one.link, one.announcement.number), None)

    def _reject(self, now: float, one: Announced, reason: messages.Reason) -> None:
        self.inbound.reject_unread(
            now,
            one.link,
            one.announcement.forward,
            one.delay_s,
            reason,
            body_bytes=one.announcement.size,
            received_bytes=0 if one.body is None else len(one.body),
        )
