"""One HTTP endpoint of `ferrydeck-meshd`: its connections, requests and answers.

One request a connection at a time: bytes that come before the answer is out wait, so
that an answer can't reach another request. Owns the connections and the bodies that are
being read; relies on the driver to call `sweep`, which ends what takes too long.
"""

from __future__ import annotations

import itertools
import socket
import struct
from collections.abc import Callable

import attrs

from ferrydeck import clock
from ferrydeck.mesh.net import bodies
from ferrydeck.net import http, poller, sockets

MAX_READ_AHEAD_BYTES = 256 * 1024
"""Bytes of further requests that are read ahead while one is answered."""
MAX_BUFFERED_BYTES = 96 * 1024 * 1024
"""Bytes of request bodies that are buffered at once: a third of a small box's RAM."""
LOW_WATER_BYTES = 128 * 1024
"""Unsent bytes below which more of a long answer is asked for."""
LAST_CHUNK = b"0\r\n\r\n"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Linger on, for no time: the caller sees a reset and not the end of its answer."""
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

_numbers = itertools.count(1)


@attrs.define(kw_only=True, frozen=True)
class Request:
    """A whole request."""

    conn: int
    head: http.RequestHead
    body: bytes
    source: str
    """IP number of the caller."""


@attrs.define(kw_only=True)
class Limits:
    """What callers may send, and how long they may take or be idle."""

    head_bytes: int = http.MAX_HEAD_BYTES
    body_bytes: int = http.MAX_BODY_BYTES
    head_s: float = 3.0
    """Time from the first byte of a head, or from the last of a body, seconds."""
    idle_s: float = 15.0
    """How long a connection may be idle between requests, seconds."""


@attrs.define(kw_only=True, eq=False)
class CallerConn(sockets.Conn):
    """A caller's connection."""

    source: str = ""
    head: http.RequestHead | None = None
    body: bytearray = attrs.Factory(bytearray)
    reader: bodies.BodyReader | None = None
    number: int = 0
    """The request that is being answered; 0 for none."""
    keep: bool = True
    """Whether the connection may serve a further request."""
    streaming: bool = False
    chunked: bool = False
    unreported_bytes: int = 0
    """Bytes of a long answer that were given and not reported as sent."""
    since: float = 0.0
    """When it was last idle, or had bytes of the request that is being read."""


class Ingress(sockets.SocketComponent):
    """Reads requests on one address, hands them on and writes their answers."""

    def __init__(
        self,
        *,
        poller: poller.Poller,
        channel: str,
        ip: str,
        port: int,
        limits: Limits,
        on_request: Callable[[Request], None],
        on_disconnect: Callable[[int], None],
        on_sent: Callable[[int, int], None],
        on_malformed: Callable[[http.Malformed], None],
    ) -> None:
        super().__init__(poller=poller, channel=channel)
        self.limits = limits
        self.on_request = on_request
        self.on_disconnect = on_disconnect
        self.on_sent = on_sent
        self.on_malformed = on_malformed
        self.by_number: dict[int, CallerConn] = {}
        self.buffered = 0
        self.closing = False
        self.listening = sockets.open_listener(ip, port)
        self.poller.watch(self.listening, self.on_read, self.on_write)

    def listener_readable(self, source: object) -> None:
        """Take the connections that wait."""
        for sock, ip in sockets.accept_pending(self.listening):
            self.add_conn(CallerConn(sock=sock, source=ip, since=clock.now()))

    def data_received(self, conn: CallerConn, data: bytes) -> None:
        """Read a request, or buffer it while another one is answered."""
        if not conn.number:
            if not conn.inbuf and conn.head is None:
                # The time for a head runs from its first byte on.
                conn.since = clock.now()
            conn.inbuf += data
            self._dispatch_request(conn)
            return
        conn.inbuf += data
        if len(conn.inbuf) > MAX_READ_AHEAD_BYTES:
            self.pause_reading(conn)

    def reply(
        self,
        number: int,
        status: int,
        fields: http.Fields,
        body: bytes,
        *,
        more: bool = False,
        total: int = -1,
    ) -> None:
        """Write an answer, or the head and first part of a long one."""
        conn = self.by_number.get(number)
        if conn is None or conn.closed:
            return
        conn.keep = conn.keep and conn.head.keep_alive and not self.closing
        conn.streaming = more
        conn.chunked = more and total < 0
        head = self._head(conn, status, fields, len(body) if not more else total)
        conn.close_when_sent = not more and not conn.keep
        if not more:
            self._finish(conn)
            self.send(conn, head + body)
            self._after_response(conn)
            return
        conn.unreported_bytes += len(body)
        self.send(conn, head + self._framed(conn, body))
        self._report_sent(conn)

    def reply_part(self, number: int, data: bytes, *, last: bool) -> None:
        """Write a further part of a long answer."""
        conn = self.by_number.get(number)
        if conn is None or conn.closed:
            return
        conn.unreported_bytes += len(data)
        framed = self._framed(conn, data)
        if last:
            framed += LAST_CHUNK if conn.chunked else b""
            conn.close_when_sent = not conn.keep
            self._finish(conn)
        self.send(conn, framed)
        if last:
            self._after_response(conn)
        else:
            self._report_sent(conn)

    def abort(self, number: int) -> None:
        """Reset the connection of an answer that can't be completed."""
        conn = self.by_number.get(number)
        if conn is None:
            return
        self._finish(conn)
        conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.close_conn(conn)

    def stop_keep_alive(self) -> None:
        """Keep no connection for further requests; close those that are idle."""
        self.closing = True
        for conn in list(self.conns.values()):
            if not conn.number and not conn.inbuf and conn.head is None:
                self.close_conn(conn)

    def drained(self, conn: CallerConn) -> None:
        """Ask for more of a long answer once the last part is out."""
        self._report_sent(conn)

    def connection_lost(self, conn: CallerConn) -> None:
        """Report a caller that went away before its answer was out."""
        self._drop_body(conn)
        number = conn.number
        if number:
            self._finish(conn)
            self.on_disconnect(number)

    def sweep(self, now: float) -> None:
        """Close connections idle for too long, reject requests that stop midway."""
        for conn in list(self.conns.values()):
            if conn.number or conn.close_when_sent:
                continue
            begun = conn.inbuf or conn.head is not None
            if begun and now - conn.since > self.limits.head_s:
                self._reject(conn, http.Malformed(status=408, detail="too slow"))
            elif not begun and now - conn.since > self.limits.idle_s:
                self.close_conn(conn)

    def _after_response(self, conn: CallerConn) -> None:
        if not conn.closed and not conn.close_when_sent:
            self._dispatch_request(conn)

    def _head(
        self, conn: CallerConn, status: int, fields: http.Fields, length: int
    ) -> bytes:
        if conn.chunked:
            fields = [*fields, ("transfer-encoding", "chunked")]
            length = -1
        return http.response_head(status, fields, length, close=not conn.keep)

    def _framed(self, conn: CallerConn, data: bytes) -> bytes:
        if not conn.chunked or not data:
            return data
        return b"%x\r\n%s\r\n" % (len(data), data)

    def _report_sent(self, conn: CallerConn) -> None:
        if not conn.streaming or not conn.number or len(conn.outbuf) > LOW_WATER_BYTES:
            return
        unreported_bytes, conn.unreported_bytes = conn.unreported_bytes, 0
        if unreported_bytes:
            self.on_sent(conn.number, unreported_bytes)

    def _finish(self, conn: CallerConn) -> None:
        self.by_number.pop(conn.number, None)
        self._drop_body(conn)
        conn.number = 0
        conn.head = None
        conn.reader = None
        conn.streaming = False
        conn.unreported_bytes = 0
        conn.since = clock.now()
        self.resume_reading(conn)

    def _drop_body(self, conn: CallerConn) -> None:
        self.buffered -= len(conn.body)
        conn.body = bytearray()

    def _dispatch_request(self, conn: CallerConn) -> None:
        """Hand on the request at the front of the buffer, once it is whole."""
        if conn.close_when_sent or conn.closed:
            return
        if conn.head is None and not self._read_head(conn):
            return
        if not self._read_body(conn):
            return
        conn.number = next(_numbers)
        self.by_number[conn.number] = conn
        self.on_request(
            Request(
                conn=conn.number,
                head=conn.head,
                body=bytes(conn.body),
                source=conn.source,
            )
        )

    def _read_head(self, conn: CallerConn) -> bool:
        """Read the next head; false where it is not whole or not usable."""
        while conn.inbuf[:2] == b"\r\n":
            del conn.inbuf[:2]
        if not conn.inbuf:
            return False
        end = conn.inbuf.find(http.END_OF_HEAD)
        most = self.limits.head_bytes
        if end < 0 and b"\n\n" in conn.inbuf:
            self._reject(conn, http.Malformed(status=400, detail="a bare line end"))
            return False
        if end > most or (end < 0 and len(conn.inbuf) > most):
            self._reject(conn, http.Malformed(status=431, detail="head too long"))
            return False
        if end < 0:
            return False
        end += len(http.END_OF_HEAD)
        head = http.read_request(
            bytes(conn.inbuf[:end]),
            allow_chunked=True,
            max_body_bytes=self.limits.body_bytes,
        )
        del conn.inbuf[:end]
        if isinstance(head, http.Malformed):
            self._reject(conn, head)
            return False
        conn.head = head
        conn.reader = bodies.BodyReader(length=head.length)
        if head.expects_continue and not conn.inbuf and head.length:
            self.send(conn, CONTINUE)
        return not conn.closed

    def _read_body(self, conn: CallerConn) -> bool:
        """Read more of the body; return whether it is whole."""
        try:
            data = conn.reader.take(conn.inbuf)
        except bodies.BadBody as exc:
            self._reject(conn, http.Malformed(status=400, detail=str(exc)))
            return False
        conn.body += data
        self.buffered += len(data)
        if data:
            conn.since = clock.now()
        if len(conn.body) > self.limits.body_bytes:
            self._reject(conn, http.Malformed(status=413, detail="body too large"))
            return False
        if self.buffered > MAX_BUFFERED_BYTES and not conn.reader.done:
            self._reject(conn, http.Malformed(status=503, detail="no memory left"))
            return False
        return conn.reader.done

    def _reject(self, conn: CallerConn, fault: http.Malformed) -> None:
        """Answer what is no request and close: where the next begins isn't known."""
        self.on_malformed(fault)
        body = f"not-run: {fault.detail}\n".encode("latin-1", "replace")
        conn.inbuf.clear()
        conn.close_when_sent = True
        fields = [("content-type", "text/plain")]
        head = http.response_head(fault.status, fields, len(body), close=True)
        self.pause_reading(conn)
        self.send(conn, head + body)
