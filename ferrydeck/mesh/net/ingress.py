"""HTTP/1.1 server for one endpoint of `ferrydeck-meshd`.

Serves one request at a time per connection: pipelined bytes are buffered until the
answer is sent. Owns the connections; `body_queue` owns the memory of their request
bodies. The driver calls `sweep` to enforce timeouts.
"""

from __future__ import annotations

import contextlib
import itertools
import socket
import struct
from collections.abc import Callable

import attrs

from ferrydeck import clock
from ferrydeck.mesh import long_bodies
from ferrydeck.mesh.net import bodies, body_queue, caller_conn
from ferrydeck.net import http, poller, sockets

MAX_READ_AHEAD_BYTES = 256 * 1024
"""Bytes of pipelined requests that are buffered per connection."""
NO_MEMORY = http.Malformed(status=503, detail="no memory left")
"""Rejection of a request whose body found no memory."""
NO_MEMORY_RETRY_AFTER_S = 1.0
"""Retry-After of that rejection, seconds."""
LOW_WATER_BYTES = 128 * 1024
"""Unsent bytes below which more of a streamed answer is requested."""
SEND_TIMEOUT_S = 60.0
"""Time after which a connection that takes no more of its answer is closed, seconds.
The kernel takes more only once a caller has read a large part of what it holds."""
LINGER_S = 2.0
"""Time after a rejection in which the rest of the request is read and discarded,
seconds: closing with unread data resets the connection, and the answer may be lost."""
UNREAD_STATUSES = frozenset({413, 503})
"""Rejections of a request whose body is still on its way."""
LAST_CHUNK = b"0\r\n\r\n"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""SO_LINGER with a zero timeout: the caller sees a reset, not a regular close."""
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

_numbers = itertools.count(1)


@attrs.define(kw_only=True, frozen=True)
class Request:
    """A complete request."""

    conn: int
    head: http.RequestHead
    body: long_bodies.Body
    source: str
    """IP address of the caller."""
    age_s: float
    """Time since the head was received, seconds."""


@attrs.define(kw_only=True)
class Limits:
    """Size limits and timeouts for callers."""

    head_bytes: int = http.MAX_HEAD_BYTES
    body_bytes: int = http.MAX_BODY_BYTES
    head_s: float = 3.0
    """Timeout for a whole head, and between parts of a body, seconds."""
    idle_s: float = 15.0
    """Idle timeout between requests, seconds."""


class Ingress(sockets.SocketComponent):
    """Accepts connections on one address, reads requests and writes answers."""

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
        patience_s: Callable[[http.RequestHead], float | None] = lambda head: None,
    ) -> None:
        super().__init__(poller=poller, channel=channel)
        self.body_queue = body_queue.BodyQueue(patience_s=patience_s)
        self.limits = limits
        self.on_request = on_request
        self.on_disconnect = on_disconnect
        self.on_sent = on_sent
        self.on_malformed = on_malformed
        self.by_number: dict[int, caller_conn.CallerConn] = {}
        self.closing = False
        self.listening = sockets.open_listener(ip, port)
        self.poller.watch(self.listening, self.on_read, self.on_write)

    def listener_readable(self, source: object) -> None:
        """Accept pending connections."""
        for sock, ip in sockets.accept_pending(self.listening):
            self.add_conn(
                caller_conn.CallerConn(sock=sock, source=ip, active_at=clock.now())
            )

    def data_received(self, conn: caller_conn.CallerConn, data: bytes) -> None:
        """Parse a request, or buffer it while another one is answered."""
        if conn.linger_until:
            return
        if not conn.request_number:
            if not conn.inbuf and conn.head is None:
                # The timeout for the head starts at its first byte.
                conn.active_at = clock.now()
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
        """Write an answer, or the head and first part of a streamed one."""
        conn = self.by_number.get(number)
        if conn is None or conn.closed:
            return
        conn.keep_alive = conn.keep_alive and conn.head.keep_alive and not self.closing
        conn.streaming = more
        conn.chunked = more and total < 0
        head = self._head(conn, status, fields, len(body) if not more else total)
        conn.close_when_sent = not more and not conn.keep_alive
        if not more:
            self._finish(conn)
            self.send(conn, head + body)
            self._after_response(conn)
            return
        conn.unreported_bytes += len(body)
        self.send(conn, head + self._framed(conn, body))
        self._report_sent(conn)

    def reply_part(self, number: int, data: bytes, *, last: bool) -> None:
        """Write a further part of a streamed answer."""
        conn = self.by_number.get(number)
        if conn is None or conn.closed:
            return
        conn.unreported_bytes += len(data)
        framed = self._framed(conn, data)
        if last:
            framed += LAST_CHUNK if conn.chunked else b""
            conn.close_when_sent = not conn.keep_alive
            self._finish(conn)
        self.send(conn, framed)
        if last:
            self._after_response(conn)
        else:
            self._report_sent(conn)

    def abort(self, number: int) -> None:
        """Reset the connection if its answer can't be completed."""
        conn = self.by_number.get(number)
        if conn is None:
            return
        self._finish(conn)
        conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.close_conn(conn)

    def stop_keep_alive(self) -> None:
        """Disable keep-alive, and close idle connections once their answer is sent."""
        self.closing = True
        for conn in list(self.body_queue.waiting):
            self._reject(conn, NO_MEMORY)
        for conn in list(self.conns.values()):
            if conn.request_number or conn.inbuf or conn.head is not None:
                continue
            if conn.linger_until:
                continue
            if conn.outbuf:
                conn.close_when_sent = True
            else:
                self.close_conn(conn)

    def memory_freed(self) -> None:
        """Read the long bodies that have waited for memory, as far as they fit."""
        while (conn := self.body_queue.pop_next(self.limits.body_bytes)) is not None:
            conn.active_at = clock.now()
            self.resume_reading(conn)
            self._continue(conn)
            self._dispatch_request(conn)

    def drained(self, conn: caller_conn.CallerConn) -> None:
        """Request more of a streamed answer once the last part is sent."""
        if conn.linger_until:
            # The caller may have reset the connection.
            with contextlib.suppress(OSError):
                conn.sock.shutdown(socket.SHUT_WR)
            return
        conn.active_at = clock.now()
        self._report_sent(conn)

    def connection_lost(self, conn: caller_conn.CallerConn) -> None:
        """Report a caller that disconnected before it had its answer."""
        self.body_queue.drop(conn)
        number = conn.request_number
        if number:
            self._finish(conn)
            self.on_disconnect(number)

    def sweep(self, now: float) -> None:
        """Close idle connections and reject requests that arrive too slowly."""
        for conn in list(self.conns.values()):
            if conn.linger_until:
                if now >= conn.linger_until:
                    self.close_conn(conn)
                continue
            if conn.outbuf:
                # The caller reads slowly, or not at all.
                if now - conn.wrote_at > SEND_TIMEOUT_S:
                    self.close_conn(conn)
                continue
            if conn.request_number or conn.close_when_sent:
                continue
            if conn.wait_until:
                if now >= conn.wait_until:
                    self._reject(conn, NO_MEMORY)
                continue
            request_started = conn.inbuf or conn.head is not None
            if request_started and now - conn.active_at > self.limits.head_s:
                self._reject(conn, http.Malformed(status=408, detail="too slow"))
            elif not request_started and now - conn.active_at > self.limits.idle_s:
                self.close_conn(conn)

    def _after_response(self, conn: caller_conn.CallerConn) -> None:
        if not conn.closed and not conn.close_when_sent:
            self._dispatch_request(conn)

    def _head(
        self,
        conn: caller_conn.CallerConn,
        status: int,
        fields: http.Fields,
        length: int,
    ) -> bytes:
        if conn.chunked:
            fields = [*fields, ("transfer-encoding", "chunked")]
            length = -1
        return http.response_head(status, fields, length, close=not conn.keep_alive)

    def _framed(self, conn: caller_conn.CallerConn, data: bytes) -> bytes:
        if not conn.chunked or not data:
            return data
        return b"%x\r\n%s\r\n" % (len(data), data)

    def _report_sent(self, conn: caller_conn.CallerConn) -> None:
        if (
            not conn.streaming
            or not conn.request_number
            or len(conn.outbuf) > LOW_WATER_BYTES
        ):
            return
        unreported_bytes, conn.unreported_bytes = conn.unreported_bytes, 0
        if unreported_bytes:
            self.on_sent(conn.request_number, unreported_bytes)

    def _finish(self, conn: caller_conn.CallerConn) -> None:
        self.by_number.pop(conn.request_number, None)
        self.body_queue.drop(conn)
        conn.request_number = 0
        conn.head = None
        conn.reader = None
        conn.streaming = False
        conn.unreported_bytes = 0
        conn.active_at = clock.now()
        self.resume_reading(conn)

    def _dispatch_request(self, conn: caller_conn.CallerConn) -> None:
        """Pass on the first buffered request once it is complete."""
        if conn.close_when_sent or conn.linger_until or conn.closed:
            return
        if conn.head is None and not self._read_head(conn):
            return
        if not self._read_body(conn):
            return
        conn.request_number = next(_numbers)
        self.by_number[conn.request_number] = conn
        long_body, conn.long_body = conn.long_body, None
        if long_body is not None:
            long_body.complete()
        self.on_request(
            Request(
                conn=conn.request_number,
                head=conn.head,
                body=bytes(conn.body) if long_body is None else long_body,
                source=conn.source,
                age_s=clock.now() - conn.head_at,
            )
        )

    def _read_head(self, conn: caller_conn.CallerConn) -> bool:
        """Parse the next head; return false if it is incomplete or invalid."""
        while conn.inbuf[:2] == b"\r\n":
            del conn.inbuf[:2]
        if not conn.inbuf:
            return False
        end = conn.inbuf.find(http.END_OF_HEAD)
        max_bytes = self.limits.head_bytes
        if end < 0 and b"\n\n" in conn.inbuf:
            self._reject(conn, http.Malformed(status=400, detail="a bare line end"))
            return False
        if end > max_bytes or (end < 0 and len(conn.inbuf) > max_bytes):
            self._reject(conn, http.Malformed(status=431, detail="head too long"))
            return False
        if end < 0:
            return False
        end += len(http.END_OF_HEAD)
        head = http.read_request(
            bytes(conn.inbuf[:end]), chunked=True, max_body=self.limits.body_bytes
        )
        del conn.inbuf[:end]
        if isinstance(head, http.Malformed):
            self._reject(conn, head)
            return False
        conn.head = head
        conn.head_at = clock.now()
        conn.reader = bodies.BodyReader(length=head.length)
        is_long = head.length > long_bodies.MAX_SHORT_BODY_BYTES
        if is_long and not self._reserve(conn):
            return False
        self._continue(conn)
        return not conn.closed

    def _continue(self, conn: caller_conn.CallerConn) -> None:
        """Ask a caller for the body if it waits for that."""
        if conn.head.expects_continue and not conn.inbuf and conn.head.length:
            self.send(conn, CONTINUE)

    def _read_body(self, conn: caller_conn.CallerConn) -> bool:
        """Read more of the body; return whether it is complete."""
        if conn.wait_until:
            return False
        try:
            data = conn.reader.read(conn.inbuf)
        except bodies.BadBody as exc:
            self._reject(conn, http.Malformed(status=400, detail=str(exc)))
            return False
        if data:
            conn.active_at = clock.now()
        if conn.long_body is not None:
            return self._add_to_long_body(conn, data)
        self.body_queue.add_short(conn, data)
        if len(conn.body) > self.limits.body_bytes:
            self._reject(conn, http.Malformed(status=413, detail="body too large"))
            return False
        if self.body_queue.short_full and not conn.reader.done:
            self._reject(conn, NO_MEMORY)
            return False
        # Only a chunked body turns out to be long after a part was read.
        is_long = len(conn.body) > long_bodies.MAX_SHORT_BODY_BYTES
        return (not is_long or self._reserve(conn)) and conn.reader.done

    def _add_to_long_body(self, conn: caller_conn.CallerConn, data: bytes) -> bool:
        """Add to a long body; return whether it is complete."""
        if len(data) > conn.long_body.free_bytes:
            self._reject(conn, http.Malformed(status=413, detail="body too large"))
            return False
        conn.long_body.append(data)
        return conn.reader.done

    def _reserve(self, conn: caller_conn.CallerConn) -> bool:
        """Reserve memory for a long body, or stop reading until there is some."""
        if self.body_queue.reserve(conn, self.limits.body_bytes):
            return True
        self.body_queue.add(clock.now(), conn)
        self.pause_reading(conn)
        return False

    def _reject(self, conn: caller_conn.CallerConn, fault: http.Malformed) -> None:
        """Answer an invalid request and close the connection."""
        self.on_malformed(fault)
        body = f"not-run: {fault.detail}\n".encode("latin-1", "replace")
        conn.inbuf.clear()
        self.body_queue.drop(conn)
        fields = [("content-type", "text/plain")]
        if fault is NO_MEMORY:
            fields.append(("retry-after", f"{NO_MEMORY_RETRY_AFTER_S:.3f}"))
        head = http.response_head(fault.status, fields, len(body), close=True)
        if fault.status in UNREAD_STATUSES:
            conn.linger_until = clock.now() + LINGER_S
            self.resume_reading(conn)
        else:
            conn.close_when_sent = True
            self.pause_reading(conn)
        self.send(conn, head + body)
