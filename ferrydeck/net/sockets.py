"""Non-blocking sockets on the poller of a daemon.

Bypasses the events of `circuits.net` to reduce latency. A component owns its sockets
with their buffers; subclasses process the received data. Figures are in
docs/design/signed-rounds.md.
"""

from __future__ import annotations

import contextlib
import errno
import socket
from collections.abc import Iterator
from typing import Any

import attrs
import circuits

from ferrydeck import clock
from ferrydeck.net import poller

MAX_READ_BYTES = 64 * 1024
"""Maximum number of bytes per read."""
RETRY_ERRNOS = (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR)
"""Errors after which the operation is retried when the socket is ready."""
SEND_BUFFER_BYTES = 212_992
"""Send buffer for what is unsent when the process exits: the usual limit of Linux for
the size that a process may set, bytes."""
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
"""Idle time before the first TCP keepalive probe, and time between probes, seconds."""


@attrs.define(kw_only=True, eq=False)
class Conn:
    """A connection with its buffers."""

    sock: socket.socket
    inbuf: bytearray = attrs.Factory(bytearray)
    outbuf: bytearray = attrs.Factory(bytearray)
    reading: bool = False
    writing: bool = False
    closed: bool = False
    socket_error: bool = False
    """Whether the connection ended by an error, not by the peer closing it."""
    close_when_sent: bool = False
    wrote_at: float = 0.0
    """When unsent data was last sent or added to an empty buffer; `clock.now`."""


class SocketComponent(circuits.BaseComponent):
    """Reads, writes and closes sockets; subclasses process the received data."""

    def __init__(self, *, poller: poller.Poller, channel: str) -> None:
        super().__init__(channel=channel)
        self.poller = poller
        self.conns: dict[socket.socket, Any] = {}

    @property
    def unsent_bytes(self) -> int:
        """Bytes in the write buffers of all connections."""
        return sum(len(conn.outbuf) for conn in self.conns.values())

    def on_read(self, source: Any) -> None:
        """Read from a socket that is ready."""
        conn = self.conns.get(source)
        if conn is None:
            self.listener_readable(source)
            return
        data = self._recv(conn)
        if data is None:
            return
        if not data:
            self.close_conn(conn)
            return
        self.data_received(conn, data)

    def on_write(self, source: Any) -> None:
        """Write buffered data to a socket that is writable."""
        conn = self.conns.get(source)
        if conn is None or conn.closed or not self.writable(conn):
            return
        self._write_buffered(conn)

    def listener_readable(self, source: Any) -> None:
        """Handle a readable source that is not a connection, such as a listener."""

    def data_received(self, conn: Any, data: bytes) -> None:
        """Handle received data."""
        raise NotImplementedError

    def writable(self, conn: Any) -> bool:
        """Handle a writable socket; return whether to send buffered data."""
        return True

    def drained(self, conn: Any) -> None:
        """Called when the write buffer is empty."""

    def connection_lost(self, conn: Any) -> None:
        """Called when a connection was closed."""

    def add_conn(self, conn: Any) -> None:
        """Register a connection and start reading."""
        self.conns[conn.sock] = conn
        conn.reading = True
        self.poller.watch(conn.sock, self.on_read, self.on_write)

    def resume_reading(self, conn: Any) -> None:
        """Resume reading."""
        if not conn.reading and not conn.closed:
            conn.reading = True
            self._update_interest(conn)

    def pause_reading(self, conn: Any) -> None:
        """Stop reading, so that TCP flow control blocks the sender."""
        if conn.reading and not conn.closed:
            conn.reading = False
            self._update_interest(conn)

    def send(self, conn: Any, data: bytes) -> None:
        """Send immediately; buffer the rest until the socket is writable."""
        if conn.closed:
            return
        if conn.outbuf or conn.writing:
            conn.outbuf += data
            return
        try:
            sent = conn.sock.send(data)
        except OSError as exc:
            if exc.errno not in RETRY_ERRNOS:
                conn.socket_error = True
                self.close_conn(conn)
                return
            sent = 0
        if sent < len(data):
            conn.wrote_at = clock.now()
            conn.outbuf += data[sent:]
            self.await_writable(conn)
            return
        self._write_complete(conn)

    def await_writable(self, conn: Any) -> None:
        """Call `on_write` when the socket is writable."""
        if not conn.writing:
            conn.writing = True
            self._update_interest(conn)

    def enlarge_send_buffers(self) -> None:
        """Have the kernel take as much unsent data as it can.

        It sends this data even after the end of the process.
        """
        for conn in list(self.conns.values()):
            if not conn.outbuf:
                continue
            # If the size is refused, the kernel takes less.
            with contextlib.suppress(OSError):
                enlarge_send_buffer(conn.sock)
            self._write_buffered(conn)

    def close_conn(self, conn: Any) -> None:
        """Close a connection."""
        if conn.closed:
            return
        conn.closed = True
        self.conns.pop(conn.sock, None)
        self.poller.unwatch(conn.sock)
        conn.sock.close()
        self.connection_lost(conn)

    def _update_interest(self, conn: Any) -> None:
        self.poller.set_interest(conn.sock, read=conn.reading, write=conn.writing)

    def _recv(self, conn: Any) -> bytes | None:
        """Return received data, empty at end of stream, `None` if not ready."""
        if conn.closed:
            return None
        try:
            return conn.sock.recv(MAX_READ_BYTES)
        except OSError as exc:
            if exc.errno in RETRY_ERRNOS:
                return None
            conn.socket_error = True
            return b""

    def _write_buffered(self, conn: Any) -> None:
        try:
            sent = conn.sock.send(conn.outbuf) if conn.outbuf else 0
        except OSError as exc:
            if exc.errno not in RETRY_ERRNOS:
                conn.socket_error = True
                self.close_conn(conn)
            return
        if sent:
            conn.wrote_at = clock.now()
        del conn.outbuf[:sent]
        if conn.outbuf:
            return
        conn.writing = False
        self._update_interest(conn)
        self._write_complete(conn)

    def _write_complete(self, conn: Any) -> None:
        if conn.close_when_sent:
            self.close_conn(conn)
            return
        self.drained(conn)


def open_listener(ip: str, port: int) -> socket.socket:
    """Return a non-blocking listening socket."""
    family = socket.AF_INET6 if ":" in ip else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((ip, port))
    sock.listen(1024)
    sock.setblocking(False)
    return sock


def accept_pending(listening: socket.socket) -> Iterator[tuple[socket.socket, str]]:
    """Accept pending connections; yield each with the IP address of the peer."""
    while True:
        try:
            sock, (ip, *_) = listening.accept()
        except OSError:
            # None is pending, or accept failed; the poller reports pending ones again.
            return
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        yield sock, ip


def split_address(address: str) -> tuple[str, int]:
    """Split an address into host and port."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def enable_keepalive(sock: socket.socket, *, probes: int, unacked_ms: int = 0) -> None:
    """Enable TCP keepalive, to detect peers that vanished without closing.

    `unacked_ms` limits how long sent data may stay unacknowledged; 0 keeps the
    default of the kernel.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, probes)
    if unacked_ms:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacked_ms)


def enlarge_send_buffer(sock: socket.socket) -> None:
    """Enlarge the send buffer to `SEND_BUFFER_BYTES`, but never shrink it."""
    size = sock.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF)
    if size < SEND_BUFFER_BYTES:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)


def dial(address: str) -> socket.socket | None:
    """Start a non-blocking connect; return `None` if it fails immediately."""
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    if sock.connect_ex((host, port)) not in (0, errno.EINPROGRESS):
        sock.close()
        return None
    return sock
