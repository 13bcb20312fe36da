"""Base class of the links between daemons: length-prefixed frames over TCP.

The length prefix is four bytes in network byte order. Owns the listening socket, the
connections and their counters; subclasses process the frames.
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
    """A connection to another daemon."""

    address: str = ""
    """Remote address; empty for an incoming connection."""
    connected: bool = False


class FrameLinks(sockets.SocketComponent):
    """Accepts and reads the links of a daemon."""

    max_frame_bytes = 0
    """Maximum length of a received frame, bytes."""
    flag_bits = 0
    """Bits of the length prefix that are flags."""

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
        """Handle an accepted connection."""
        raise NotImplementedError

    def link_connected(self, link: Any) -> None:
        """Handle an outgoing connection that was established."""
        raise NotImplementedError

    def frame_read(self, link: Any, frame: bytes, flags: int) -> None:
        """Handle a frame; `flags` are the flag bits of its length prefix."""
        raise NotImplementedError

    def close(self) -> None:
        """Close all sockets without calling `connection_lost`."""
        self.poller.unwatch(self.listening)
        self.listening.close()
        for link in list(self.conns.values()):
            link.closed = True
            self.poller.unwatch(link.sock)
            link.sock.close()

    def listener_readable(self, source: object) -> None:
        """Accept pending connections."""
        for sock, _ in sockets.accept_pending(self.listening):
            self.link_accepted(sock)

    def data_received(self, link: Any, data: bytes) -> None:
        """Extract the complete frames from received data."""
        self.bytes_in += len(data)
        link.inbuf += data
        while not link.closed and len(link.inbuf) >= LENGTH_PREFIX.size:
            [prefix] = LENGTH_PREFIX.unpack_from(link.inbuf)
            length = prefix & ~self.flag_bits
            if length > self.max_frame_bytes:
                self._fail(link, "too-long")
                return
            end = LENGTH_PREFIX.size + length
            if len(link.inbuf) < end:
                return
            frame = bytes(link.inbuf[LENGTH_PREFIX.size : end])
            del link.inbuf[:end]
            self.frame_read(link, frame, prefix & self.flag_bits)

    def writable(self, link: Any) -> bool:
        """Complete a connect."""
        if link.connected:
            return True
        if link.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self.close_conn(link)
            return False
        link.connected = True
        self.link_connected(link)
        return not link.closed

    def _fail(self, link: Any, fault: str) -> None:
        """Count a protocol error of the peer and close the link."""
        self.faults[fault] += 1
        self.close_conn(link)
