"""The HTTP endpoints for callers: one request a connection at a time.

Owns the connections of callers and the requests that wait on them; relies on the driver
to feed its events to the core and to bring back the core's answers.
"""

from __future__ import annotations

import itertools
import socket
from collections.abc import Callable

import attrs

from ferrydeck.net import http, poller, sockets
from ferrydeck.signed.core import effects, events, headers
from ferrydeck.signed.net import fields

READ_AHEAD = 256 * 1024
"""Bytes of further requests that are read ahead while one is answered."""
BACKLOG_LOW = 128 * 1024
"""Unsent bytes below which the next part of a long answer is asked for."""
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

numbers = itertools.count(1)


@attrs.define(kw_only=True, eq=False)
class CallerConn(sockets.Conn):
    """A caller's connection."""

    head: http.RequestHead | None = None
    call: int = 0
    """Number of the request that is being answered; 0 for none."""
    left: int = 0
    """Bytes of the answer that are still to come."""
    owed: int = 0
    """Parts that were sent and not yet reported as passed on."""


class HttpServer(sockets.SocketComponent):
    """Reads requests, hands them on and writes their answers.

    A request that comes before the last one is answered waits, so an answer
    can't go to another request. Each request has a number of its own.
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
        """Take no new connection; those there are, or wait to be taken, go on.

        The kernel resets connections that nobody accepted, and with them the
        requests that they may have sent, so these are accepted first.
        """
        if self.listening is None:
            return
        self.listening.listen(0)
        self.listener_readable(self.listening)
        self.poller.unwatch(self.listening)
        self.listening.close()
        self.listening = None

    def listener_readable(self, source: object) -> None:
        """Take the connections that wait."""
        if source is not self.listening:
            return
        for sock, _ in sockets.accept_pending(self.listening):
            self.add_conn(CallerConn(sock=sock))

    def data_received(self, conn: CallerConn, data: bytes) -> None:
        """Read a request, or buffer it while another one is answered."""
        conn.inbuf += data
        if not conn.call:
            self._next_request(conn)
        elif len(conn.inbuf) > READ_AHEAD:
            self.pause_reading(conn)

    def answer(self, effect: effects.AnswerCaller) -> None:
        """Write an answer, or the head and first part of a long one."""
        conn = self.by_call.get(effect.conn)
        if conn is None or conn.closed:
            return
        close = not conn.head.keep_alive or self.listening is None
        plain = fields.plain(effect.headers)
        head = http.response_head(effect.status, plain, effect.total, close=close)
        conn.left = effect.total - len(effect.body)
        conn.close_when_sent = close and conn.left <= 0
        if conn.left <= 0:
            self._finish(conn)
        self.send(conn, head + effect.body)
        if not conn.call and not conn.closed:
            self._next_request(conn)

    def pass_part(self, effect: effects.PassPart) -> None:
        """Write a further part of a long answer."""
        conn = self.by_call.get(effect.conn)
        if conn is None or conn.closed:
            return
        conn.left -= len(effect.data)
        conn.owed += 1
        if conn.left <= 0:
            conn.close_when_sent = not conn.head.keep_alive or self.listening is None
            self._finish(conn)
        self.send(conn, effect.data)
        if len(conn.outbuf) < BACKLOG_LOW:
            self._report_passed(conn)
        if not conn.call and not conn.closed:
            self._next_request(conn)

    def abort(self, call: int) -> None:
        """Close the connection of a call whose answer can't be completed."""
        conn = self.by_call.get(call)
        if conn is not None:
            self._finish(conn)
            self.close_conn(conn)

    def drained(self, conn: CallerConn) -> None:
        """Ask for the next parts once the last ones are out."""
        self._report_passed(conn)

    def connection_lost(self, conn: CallerConn) -> None:
        """Report a caller that went away before its answer was out."""
        if conn.call:
            call = conn.call
            self._finish(conn)
            self.feed(events.CallerGone(conn=call))

    def _report_passed(self, conn: CallerConn) -> None:
        owed, conn.owed = conn.owed, 0
        for _ in range(owed if conn.call else 0):
            self.feed(events.PartPassed(conn=conn.call))

    def _finish(self, conn: CallerConn) -> None:
        self.by_call.pop(conn.call, None)
        conn.call = 0
        conn.head = None
        self.resume_reading(conn)

    def _next_request(self, conn: CallerConn) -> None:
        """Hand on the request at the front of the buffer, once it is whole."""
        if conn.close_when_sent:
            return
        if conn.head is None and not self._read_head(conn):
            return
        if len(conn.inbuf) < conn.head.length:
            return
        body = bytes(conn.inbuf[: conn.head.length])
        del conn.inbuf[: conn.head.length]
        conn.call = next(numbers)
        self.by_call[conn.call] = conn
        self.feed(
            events.CallReceived(
                conn=conn.call,
                local=self.local,
                method=conn.head.method,
                path=conn.head.path,
                headers=fields.typed(conn.head.fields),
                body=body,
            )
        )

    def _read_head(self, conn: CallerConn) -> bool:
        """Read the next head; false where it is not whole or not usable."""
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
        """Answer what is no request and close: where the next begins isn't known."""
        body = f"not-run: {fault.detail}\n".encode("latin-1", "replace")
        plain = [
            (headers.OUTCOME, effects.Outcome.NOT_RUN),
            ("content-type", "text/plain"),
        ]
        conn.inbuf.clear()
        conn.close_when_sent = True
        head = http.response_head(fault.status, plain, len(body), close=True)
        self.pause_reading(conn)
        self.send(conn, head + body)
