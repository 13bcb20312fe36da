"""What the links between daemons share in both programs: frames on TCP connections.

A frame is its length, four bytes in network order, and that many bytes. Owns the
listening socket, the connections and their counters; a subclass says what a frame is
and which way a connection is used.
"""

from __future__ import annotations

import collections
import socket
import struct
from typing import Any

import attrs

from ferrydeck.net import poller, sockets

LENGTH_PREFIX = struct.Struct(">I")


@attrs.define(kw_only=True, eq=False)
class Link(sockets.Conn):
    """A connection with another daemon."""

    address: str = ""
    """Where it was dialled to; empty for an incoming one."""
    connected: bool = False


class FrameLinks(sockets.SocketComponent):
    """Accepts, dials and reads the links of one daemon."""

    max_frame_bytes = 0
    """The longest frame that is read, bytes."""
    flags = 0
    """Bits of the length that are no part of it."""

    def __init__(
        self, *, poller: poller.Poller, channel: str, ip: str, port: int
    ) -> None:
        super().__init__(poller=poller, channel=channel)
        self.faults: collections.Counter[str] = collections.Counter()
        self.bytes_in = 0
        self.bytes_out = 0
        self.listening = sockets.open_listener(ip, port)
        self.poller.watch(self.listening, self.on_read, self.on_write)

    def link_accepted(self, sock: socket.socket) -> None:
        """Act on a connection that another daemon made."""
        raise NotImplementedError

    def link_connected(self, link: Any) -> None:
        """Act on a connection that was made from here and stands now."""
        raise NotImplementedError

    def frame_read(self, link: Any, frame: bytes, flags: int) -> None:
        """Act on a whole frame; `flags` are the bits that stood in its length."""
        raise NotImplementedError

    def close(self) -> None:
        """Close all sockets; nothing is reported of it."""
        self.poller.unwatch(self.listening)
        self.listening.close()
        for link in list(self.conns.values()):
            link.closed = True
            self.poller.unwatch(link.sock)
            link.sock.close()

    def listener_readable(self, source: object) -> None:
        """Take the connections that wait."""
        for sock, _ in sockets.accept_pending(self.listening):
            self.link_accepted(sock)

    def data_received(self, link: Any, data: bytes) -> None:
        """Take the whole frames out of what came in."""
        self.bytes_in += len(data)
        link.inbuf += data
        while not link.closed and len(link.inbuf) >= LENGTH_PREFIX.size:
            [stated] = LENGTH_PREFIX.unpack_from(link.inbuf)
            length = stated & ~self.flags
            if length > self.max_frame_bytes:
                self._fail(link, "too-long")
                return
            end = LENGTH_PREFIX.size + length
            if len(link.inbuf) < end:
                return
            frame = bytes(link.inbuf[LENGTH_PREFIX.size : end])
            del link.inbuf[:end]
            self.frame_read(link, frame, stated & self.flags)

    def writable(self, link: Any) -> bool:
        """Finish a dial."""
        if link.connected:
            return True
        if link.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self.close_conn(link)
            return False
        link.connected = True
        self.link_connected(link)
        return not link.closed

    def _fail(self, link: Any, fault: str) -> None:
        """Count a fault of the other side and close the link."""
        self.faults[fault] += 1
        self.close_conn(link)
