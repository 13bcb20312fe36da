"""Sockets that don't block, on the poller of a daemon.

They are served without the events of `circuits.net`: each of those costs a request
about as much as the whole decision (docs/design/signed-rounds.md has the figures). A
component here owns its sockets, with what was read and what is still to be written on
each; subclasses act on the bytes.
"""

from __future__ import annotations

import errno
import socket
from collections.abc import Iterator
from typing import Any

import attrs
import circuits

from ferrydeck.net import poller

CHUNK = 64 * 1024
"""Bytes read at once."""
AGAIN = (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR)
"""Errors of a socket that only has nothing to read, or no room, for now."""
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
"""How long a connection carries no byte until the kernel probes it, and the pause from
probe to probe, seconds."""


@attrs.define(kw_only=True, eq=False)
class Conn:
    """One connection with what is still to be written on it."""

    sock: socket.socket
    inbuf: bytearray = attrs.Factory(bytearray)
    outbuf: bytearray = attrs.Factory(bytearray)
    reading: bool = False
    writing: bool = False
    closed: bool = False
    socket_error: bool = False
    """Whether it was reset, not ended by the other side."""
    close_when_sent: bool = False


class SocketComponent(circuits.BaseComponent):
    """Reads, writes and closes sockets; subclasses act on what comes in."""

    def __init__(self, *, poller: poller.Poller, channel: str) -> None:
        super().__init__(channel=channel)
        self.poller = poller
        self.conns: dict[socket.socket, Any] = {}

    def on_read(self, source: Any) -> None:
        """Read a socket that is ready; raises nothing that ends the loop."""
        conn = self.conns.get(source)
        if conn is None:
            self.listener_readable(source)
            return
        data = self._receive(conn)
        if data is None:
            return
        if not data:
            self.close_conn(conn)
            return
        self.data_received(conn, data)

    def on_write(self, source: Any) -> None:
        """Write to a socket that takes bytes again."""
        conn = self.conns.get(source)
        if conn is None or conn.closed or not self.writable(conn):
            return
        self._push(conn)

    def listener_readable(self, source: Any) -> None:
        """Act on a source that is no connection, a listening socket for one."""

    def data_received(self, conn: Any, data: bytes) -> None:
        """Act on bytes that came in."""
        raise NotImplementedError

    def writable(self, conn: Any) -> bool:
        """Act on a socket that takes bytes; false to leave what is buffered."""
        return True

    def drained(self, conn: Any) -> None:
        """Act on a connection whose bytes are all out."""

    def connection_lost(self, conn: Any) -> None:
        """Act on a connection that is closed now."""

    def add_conn(self, conn: Any) -> None:
        """Start reading a connection."""
        self.conns[conn.sock] = conn
        conn.reading = True
        self.poller.watch(conn.sock, self.on_read, self.on_write)

    def resume_reading(self, conn: Any) -> None:
        """Read the connection again."""
        if not conn.reading and not conn.closed:
            conn.reading = True
            self._want(conn)

    def pause_reading(self, conn: Any) -> None:
        """Leave what comes in with the kernel, so that the other side waits."""
        if conn.reading and not conn.closed:
            conn.reading = False
            self._want(conn)

    def send(self, conn: Any, data: bytes) -> None:
        """Send at once; what does not fit goes out when the socket takes it."""
        if conn.closed:
            return
        if conn.outbuf or conn.writing:
            conn.outbuf += data
            return
        try:
            sent = conn.sock.send(data)
        except OSError as exc:
            if exc.errno not in AGAIN:
                conn.socket_error = True
                self.close_conn(conn)
                return
            sent = 0
        if sent < len(data):
            conn.outbuf += data[sent:]
            self.await_writable(conn)
            return
        self._all_sent(conn)

    def await_writable(self, conn: Any) -> None:
        """Have `on_write` called when the socket takes bytes."""
        if not conn.writing:
            conn.writing = True
            self._want(conn)

    def close_conn(self, conn: Any) -> None:
        """Close a connection."""
        if conn.closed:
            return
        conn.closed = True
        self.conns.pop(conn.sock, None)
        self.poller.unwatch(conn.sock)
        conn.sock.close()
        self.connection_lost(conn)

    def _want(self, conn: Any) -> None:
        self.poller.set_interest(conn.sock, read=conn.reading, write=conn.writing)

    def _receive(self, conn: Any) -> bytes | None:
        """Return what came in, nothing at the end, `None` where none is there yet."""
        if conn.closed:
            return None
        try:
            return conn.sock.recv(CHUNK)
        except OSError as exc:
            if exc.errno in AGAIN:
                return None
            conn.socket_error = True
            return b""

    def _push(self, conn: Any) -> None:
        try:
            sent = conn.sock.send(conn.outbuf) if conn.outbuf else 0
        except OSError as exc:
            if exc.errno not in AGAIN:
                conn.socket_error = True
                self.close_conn(conn)
            return
        del conn.outbuf[:sent]
        if conn.outbuf:
            return
        conn.writing = False
        self._want(conn)
        self._all_sent(conn)

    def _all_sent(self, conn: Any) -> None:
        if conn.close_when_sent:
            self.close_conn(conn)
            return
        self.drained(conn)


def open_listener(ip: str, port: int) -> socket.socket:
    """Return a listening socket."""
    family = socket.AF_INET6 if ":" in ip else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((ip, port))
    sock.listen(1024)
    sock.setblocking(False)
    return sock


def accept_pending(listening: socket.socket) -> Iterator[tuple[socket.socket, str]]:
    """Take the connections that wait; yield each with its other end's IP number."""
    while True:
        try:
            sock, (ip, *_) = listening.accept()
        except OSError:
            # None waits, or this one is gone or can't be taken for want of descriptors:
            # the poller comes back as long as any waits.
            return
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        yield sock, ip


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an address."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def enable_keepalive(
    sock: socket.socket, *, keepalive_probes: int, unacked_timeout_ms: int = 0
) -> None:
    """Have the kernel end a connection that says nothing more, without a reset.

    It ends after some unanswered probes, or once sent bytes have not been acknowledged
    for `unacked_ms`, milliseconds; 0 leaves that to the kernel's own limit.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, keepalive_probes)
    if unacked_timeout_ms:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacked_timeout_ms)


def dial(address: str) -> socket.socket | None:
    """Return a socket that is connecting to an address, or `None`."""
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    if sock.connect_ex((host, port)) not in (0, errno.EINPROGRESS):
        sock.close()
        return None
    return sock
