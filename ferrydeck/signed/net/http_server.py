"""HTTP server for callers; pipelined requests are processed one at a time.

Owns the callers' connections; the driver feeds its events to the core and passes the
core's answers back.
"""

from __future__ import annotations

import itertools
import socket
from collections.abc import Callable

import attrs

from ferrydeck.net import http, poller, sockets
from ferrydeck.signed.core import effects, events, headers
from ferrydeck.signed.net import fields

MAX_READ_AHEAD_BYTES = 256 * 1024
"""Limit of buffered input while a request is in progress, bytes."""
LOW_WATER_BYTES = 128 * 1024
"""Unsent bytes below which the next part of a streamed answer is requested."""
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

request_numbers = itertools.count(1)


@attrs.define(kw_only=True, eq=False)
class CallerConn(sockets.Conn):
    """A caller's connection."""

    head: http.RequestHead | None = None
    call: int = 0
    """Number of the request in progress; 0 for none."""
    remaining_bytes: int = 0
    """Remaining bytes of the answer."""
    unreported_parts: int = 0
    """Sent parts that were not yet reported to the core."""


class HttpServer(sockets.SocketComponent):
    """Reads requests, feeds them to the core and writes the answers.

    Each request has a unique number; pipelined requests wait for the previous answer.
    """

    def __init__(
        self,
        *,
        poller: poller.Poller,
        channel: str,
        ip: str,
        port: int,
        local: bool,
        feed: Callable[[events.Event], None],
    ) -> None:
        super().__init__(poller=poller, channel=channel)
        self.local = local
        self.feed = feed
        self.by_call: dict[int, CallerConn] = {}
        self.listening: socket.socket | None = sockets.open_listener(ip, port)
        self.poller.watch(self.listening, self.on_read, self.on_write)

    def stop_listening(self) -> None:
        """Stop accepting connections; existing and pending ones continue.

        Accepts the pending connections first, as the kernel would reset them.
        """
        if self.listening is None:
            return
        self.listening.listen(0)
        self.listener_readable(self.listening)
        self.poller.unwatch(self.listening)
        self.listening.close()
        self.listening = None

    def listener_readable(self, source: object) -> None:
        """Accept pending connections."""
        if source is not self.listening:
            return
        for sock, _ in sockets.accept_pending(self.listening):
            self.add_conn(CallerConn(sock=sock))

    def data_received(self, conn: CallerConn, data: bytes) -> None:
        """Read a request, or buffer it while another one is in progress."""
        conn.inbuf += data
        if not conn.call:
            self._next_request(conn)
        elif len(conn.inbuf) > MAX_READ_AHEAD_BYTES:
            self.pause_reading(conn)

    def answer(self, effect: effects.AnswerCaller) -> None:
        """Write a complete answer, or the head and first part of a streamed one."""
        conn = self.by_call.get(effect.conn)
        if conn is None or conn.closed:
            return
        close = not conn.head.keep_alive or self.listening is None
        pairs = fields.to_fields(effect.headers)
        head = http.response_head(effect.status, pairs, effect.total, close=close)
        conn.remaining_bytes = effect.total - len(effect.body)
        conn.close_when_sent = close and conn.remaining_bytes <= 0
        if conn.remaining_bytes <= 0:
            self._finish(conn)
        self.send(conn, head + effect.body)
        if not conn.call and not conn.closed:
            self._next_request(conn)

    def pass_part(self, effect: effects.PassPart) -> None:
        """Write a subsequent part of a streamed answer."""
        conn = self.by_call.get(effect.conn)
        if conn is None or conn.closed:
            return
        conn.remaining_bytes -= len(effect.data)
        conn.unreported_parts += 1
        if conn.remaining_bytes <= 0:
            conn.close_when_sent = not conn.head.keep_alive or self.listening is None
            self._finish(conn)
        self.send(conn, effect.data)
        if len(conn.outbuf) < LOW_WATER_BYTES:
            self._report_parts(conn)
        if not conn.call and not conn.closed:
            self._next_request(conn)

    def abort(self, call: int) -> None:
        """Close the connection of a call whose answer was aborted."""
        conn = self.by_call.get(call)
        if conn is not None:
            self._finish(conn)
            self.close_conn(conn)

    def drained(self, conn: CallerConn) -> None:
        """Request further parts when the write buffer is empty."""
        self._report_parts(conn)

    def connection_lost(self, conn: CallerConn) -> None:
        """Report a caller that disconnected before its answer was complete."""
        if conn.call:
            call = conn.call
            self._finish(conn)
            self.feed(events.CallerGone(conn=call))

    def _report_parts(self, conn: CallerConn) -> None:
        unreported_parts, conn.unreported_parts = conn.unreported_parts, 0
        for _ in range(unreported_parts if conn.call else 0):
            self.feed(events.PartPassed(conn=conn.call))

    def _finish(self, conn: CallerConn) -> None:
        self.by_call.pop(conn.call, None)
        conn.call = 0
        conn.head = None
        self.resume_reading(conn)

    def _next_request(self, conn: CallerConn) -> None:
        """Feed the next buffered request to the core if it is complete."""
        if conn.close_when_sent:
            return
        if conn.head is None and not self._read_head(conn):
            return
        if len(conn.inbuf) < conn.head.length:
            return
        body = bytes(conn.inbuf[: conn.head.length])
        del conn.inbuf[: conn.head.length]
        conn.call = next(request_numbers)
        self.by_call[conn.call] = conn
        self.feed(
            events.CallReceived(
                conn=conn.call,
                local=self.local,
                method=conn.head.method,
                path=conn.head.path,
                headers=fields.to_headers(conn.head.fields),
                body=body,
            )
        )

    def _read_head(self, conn: CallerConn) -> bool:
        """Parse the next head; return false if incomplete or malformed."""
        while conn.inbuf[:2] == b"\r\n":
            del conn.inbuf[:2]
        end = conn.inbuf.find(http.END_OF_HEAD)
        if end < 0:
            if len(conn.inbuf) > http.MAX_HEAD_BYTES:
                self._reject(conn, http.Malformed(status=431, detail="head too long"))
            return False
        end += len(http.END_OF_HEAD)
        head = http.read_request(bytes(conn.inbuf[:end]))
        del conn.inbuf[:end]
        if isinstance(head, http.Malformed):
            self._reject(conn, head)
            return False
        conn.head = head
        if head.expects_continue and len(conn.inbuf) < head.length:
            self.send(conn, CONTINUE)
        return not conn.closed

    def _reject(self, conn: CallerConn, fault: http.Malformed) -> None:
        """Reject a malformed request and close, as the next one can't be located."""
        body = f"not-run: {fault.detail}\n".encode("latin-1", "replace")
        pairs = [
            (headers.OUTCOME, effects.Outcome.NOT_RUN),
            ("content-type", "text/plain"),
        ]
        conn.inbuf.clear()
        conn.close_when_sent = True
        head = http.response_head(fault.status, pairs, len(body), close=True)
        self.pause_reading(conn)
        self.send(conn, head + body)
