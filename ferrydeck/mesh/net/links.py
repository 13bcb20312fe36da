"""Links between the daemons of `ferrydeck-meshd`.

A link is a TCP connection that carries requests in one direction and their answers in
the other. Owns the connections and their compression state; the core reconnects after
`OutgoingLinkDown`.
"""

from __future__ import annotations

import collections
import contextlib
import itertools
import socket
from collections.abc import Callable

import attrs
import msgspec

from ferrydeck.mesh import events, long_bodies, messages
from ferrydeck.mesh.net import deflate
from ferrydeck.net import frame_links, poller, sockets

DEFLATED_FLAG = 1 << 31
"""Flag in the length field of a compressed frame."""
MAX_DEFLATED_LINKS = 128
"""Maximum number of compressed links, at 36 KB of memory each."""
MAX_MESSAGE_BYTES = 72 * 1024 * 1024
"""Longest message: a request with the largest body that the platform allows, from a
daemon that does not send long bodies in parts."""
MAX_UNSENT_BYTES = 8 * 1024 * 1024
"""Unsent bytes above which a link is closed."""
ACK_TIMEOUT_MS = 3000
"""TCP_USER_TIMEOUT of links, milliseconds."""
MAX_KERNEL_UNSENT_BYTES = 256 * 1024
"""TCP_NOTSENT_LOWAT of links, bytes: parts of long bodies delay other messages by no
more. Not below `sockets.SEND_BUFFER_BYTES`, which the kernel is to take at the exit."""

_numbers = itertools.count(1)


@attrs.define(kw_only=True, eq=False)
class Upload:
    """A long body that is sent on a link."""

    number: int
    """Number of the attempt."""
    body: long_bodies.LongBody
    sent: int = 0
    """Bytes that were passed to the link."""


@attrs.define(kw_only=True, eq=False)
class Link(frame_links.Link):
    """Connection to another daemon."""

    number: int = 0
    """Number of an incoming link; 0 for an outgoing one."""
    deflater: deflate.Deflater | None = None
    inflater: deflate.Inflater | None = None
    uploads: collections.deque[Upload] = attrs.Factory(collections.deque)
    """Long bodies in transmission, which take turns."""


class Links(frame_links.FrameLinks):
    """Opens, accepts and serves the links of one daemon."""

    max_frame_bytes = MAX_MESSAGE_BYTES
    flag_bits = DEFLATED_FLAG

    def __init__(
        self,
        *,
        poller: poller.Poller,
        ip: str,
        port: int,
        feed: Callable[[events.Event], None],
    ) -> None:
        super().__init__(poller=poller, channel="links", ip=ip, port=port)
        self.feed = feed
        self.outgoing: dict[str, Link] = {}
        """Outgoing links by address."""
        self.incoming: dict[int, Link] = {}
        """Incoming links by number."""

    def open_link(self, address: str) -> None:
        """Open a link; `OutgoingLinkUp` or `OutgoingLinkDown` follows."""
        sock = sockets.dial(address)
        if sock is None:
            self.feed(events.OutgoingLinkDown(address=address, was_up=False))
            return
        set_options(sock)
        link = Link(sock=sock, address=address)
        self.outgoing[address] = link
        self.add_conn(link)
        self.await_writable(link)

    def close_link(self, address: str) -> None:
        """Close an outgoing link; no event follows."""
        link = self.outgoing.pop(address, None)
        if link is not None:
            link.address = ""
            self.close_conn(link)

    def send_outgoing(self, address: str, message: messages.AnyMessage) -> None:
        """Send a message on an outgoing link."""
        link = self.outgoing.get(address)
        if link is not None and link.connected:
            self._write(link, message)

    def send_incoming(self, number: int, message: messages.AnyMessage) -> None:
        """Send a message on an incoming link."""
        link = self.incoming.get(number)
        if link is not None:
            self._write(link, message)

    def send_body(self, address: str, number: int, body: long_bodies.LongBody) -> None:
        """Send a long body in parts on an outgoing link; `BodySent` follows."""
        link = self.outgoing.get(address)
        if link is not None and link.connected:
            link.uploads.append(Upload(number=number, body=body))
            self.await_writable(link)

    def stop_body(self, address: str, number: int) -> None:
        """Send no more of a long body."""
        link = self.outgoing.get(address)
        if link is None:
            return
        for upload in list(link.uploads):
            if upload.number == number:
                link.uploads.remove(upload)

    def drained(self, link: Link) -> None:
        """Send a further part of the next long body."""
        if not link.uploads:
            return
        upload = link.uploads.popleft()
        data = upload.body.part(upload.sent)
        upload.sent += len(data)
        link.outbuf += self._framed(
            link, messages.BodyPart(number=upload.number, data=data)
        )
        self.await_writable(link)
        if upload.sent < len(upload.body):
            link.uploads.append(upload)
        else:
            self.feed(events.BodySent(address=link.address, number=upload.number))

    def deflate_outgoing(self, address: str) -> None:
        """Compress further messages on an outgoing link."""
        self._deflate(self.outgoing.get(address))

    def deflate_incoming(self, number: int) -> None:
        """Compress further messages on an incoming link."""
        self._deflate(self.incoming.get(number))

    def link_accepted(self, sock: socket.socket) -> None:
        """Register a link that another daemon opened."""
        set_options(sock)
        link = Link(sock=sock, number=next(_numbers), connected=True)
        self.incoming[link.number] = link
        self.add_conn(link)

    def link_connected(self, link: Link) -> None:
        """Report that an outgoing link is up."""
        if link.address:
            self.feed(events.OutgoingLinkUp(address=link.address))

    def frame_read(self, link: Link, frame: bytes, flags: int) -> None:
        """Feed the message in a frame; an invalid frame closes the link."""
        try:
            message = messages.decode(self._inflated(link, frame) if flags else frame)
        except (msgspec.DecodeError, ValueError):
            # The stream and its compression state are no longer in sync.
            self._fail(link, "malformed")
            return
        if link.address:
            self.feed(events.OutgoingLinkMessage(address=link.address, message=message))
        else:
            self.feed(events.IncomingLinkMessage(link=link.number, message=message))

    def connection_lost(self, link: Link) -> None:
        """Report that a link was closed."""
        link.uploads.clear()
        if link.address and self.outgoing.get(link.address) is link:
            del self.outgoing[link.address]
            self.feed(
                events.OutgoingLinkDown(address=link.address, was_up=link.connected)
            )
        if link.number and self.incoming.pop(link.number, None) is not None:
            self.feed(events.IncomingLinkDown(link=link.number))

    def _write(self, link: Link, message: messages.AnyMessage) -> None:
        if len(link.outbuf) > MAX_UNSENT_BYTES:
            self._fail(link, "backlog")
            return
        self.send(link, self._framed(link, message))

    def _framed(self, link: Link, message: messages.AnyMessage) -> bytes:
        frame = messages.encode(message)
        flag = 0
        if link.deflater is not None and len(frame) <= deflate.MAX_FRAME_BYTES:
            frame = link.deflater.pack(frame)
            flag = DEFLATED_FLAG
        self.bytes_out += len(frame) + frame_links.LENGTH_PREFIX.size
        return frame_links.LENGTH_PREFIX.pack(len(frame) | flag) + frame

    def _deflate(self, link: Link | None) -> None:
        deflated = sum(one.deflater is not None for one in self.conns.values())
        if link is not None and deflated < MAX_DEFLATED_LINKS:
            link.deflater = deflate.Deflater()

    def _inflated(self, link: Link, frame: bytes) -> bytes:
        if link.inflater is None:
            link.inflater = deflate.Inflater()
        return link.inflater.unpack(frame)


def set_options(sock: socket.socket) -> None:
    """Bound the time for unacknowledged data, and the unsent data in the kernel."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, ACK_TIMEOUT_MS)
    # Without this option, messages wait behind a full send buffer.
    with contextlib.suppress(OSError):
        lowat = socket.TCP_NOTSENT_LOWAT
        sock.setsockopt(socket.IPPROTO_TCP, lowat, MAX_KERNEL_UNSENT_BYTES)
