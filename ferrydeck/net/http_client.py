"""A pool of HTTP connections to one address, for short answers and long ones in parts.

An answer up to a length comes whole; of a longer one the head comes with the first part
and each further part when it is asked for, so that the process holds little of it.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

import attrs

from ferrydeck.net import http, poller, request_client

WHOLE = 256 * 1024
"""A body up to this length is handed on whole if nothing else is said, bytes."""
PART = 64 * 1024
"""The length of each part of a long answer but the last, bytes."""
MAX_CHUNKED = 16 * 1024 * 1024
"""The longest body in chunks that is read, bytes: it is held whole."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Replied:
    """An answer came: all of it, or the head and first part of a long one."""

    ticket: int
    status: int
    fields: http.Fields
    body: bytes
    total: int
    """The length of the whole body, bytes."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class More:
    """A further part of a long answer."""

    ticket: int
    data: bytes


Event = Replied | More | request_client.RequestFailed


@attrs.define(kw_only=True, eq=False)
class ClientConn(request_client.RequestConn):
    """A connection of the pool; its credit counts parts."""

    passed: int = 0
    """Bytes of a long answer that were handed on."""


class HttpClient(request_client.RequestClient):
    """Sends requests to one address over at most `limit` connections."""

    conn_class = ClientConn

    def __init__(
        self,
        *,
        poller: poller.Poller,
        channel: str,
        address: str,
        max_connections: int,
        listener: Callable[[Event], None],
        max_buffered_bytes: int = WHOLE,
    ) -> None:
        super().__init__(
            poller=poller, channel=channel, address=address, listener=listener
        )
        self.max_buffered_bytes = max_buffered_bytes
        self.max_connections = max_connections

    def request(
        self,
        ticket: int,
        *,
        method: str,
        path: str,
        fields: http.Fields,
        body: bytes,
        deadline: float,
    ) -> None:
        """Send a request; the answer, or its loss, comes to the listener."""
        data = http.request_head(method, path, self.address, fields, len(body)) + body
        conn = self.idle.pop() if self.idle else self._connect()
        if conn is None:
            self.listener(
                request_client.RequestFailed(
                    ticket=ticket, sent=False, refused=True, detail="no connection"
                )
            )
            return
        conn.passed = 0
        self._send_request(conn, ticket, deadline, data)

    def drop_idle(self) -> None:
        """Close the connections that carry no request."""
        for conn in list(self.idle):
            self.close_conn(conn)

    def data_received(self, conn: ClientConn, data: bytes) -> None:
        """Read an answer."""
        if not conn.ticket:
            self.close_conn(conn)
            return
        conn.inbuf += data
        if conn.streaming:
            self.deliver_parts(conn)
            return
        if conn.head is None and not self._read_head(conn):
            return
        if conn.head.length < 0:
            self._read_chunked(conn)
        elif len(conn.inbuf) >= min(conn.head.length, self.max_buffered_bytes):
            self._hand_on(conn)

    def connection_lost(self, conn: ClientConn) -> None:
        """Report the loss of an answer whose connection ended."""
        if conn in self.idle:
            self.idle.remove(conn)
        if conn.ticket:
            self._report_failure(conn, "connection ended")

    def _connect(self) -> ClientConn | None:
        return super()._connect() if len(self.conns) < self.max_connections else None

    def _read_chunked(self, conn: ClientConn) -> None:
        try:
            body = http.read_chunked(bytes(conn.inbuf))
        except ValueError:
            self._fail_request(conn, "bad chunk")
            return
        if body is None:
            if len(conn.inbuf) > MAX_CHUNKED:
                self._fail_request(conn, "chunked body too long")
            return
        conn.inbuf.clear()
        self._reply(conn, body, len(body))

    def _hand_on(self, conn: ClientConn) -> None:
        """Hand on a whole body, or the first part of a long one."""
        length = conn.head.length
        if len(conn.inbuf) > length:
            self._fail_request(conn, "more bytes than its length")
            return
        if length <= self.max_buffered_bytes:
            body = bytes(conn.inbuf)
            conn.inbuf.clear()
            self._reply(conn, body, length)
            return
        conn.streaming = True
        conn.passed = PART
        body = bytes(conn.inbuf[:PART])
        del conn.inbuf[:PART]
        self.pause_reading(conn)
        self._reply(conn, body, length)

    def _reply(self, conn: ClientConn, body: bytes, total: int) -> None:
        replied = Replied(
            ticket=conn.ticket,
            status=conn.head.status,
            fields=conn.head.fields,
            body=body,
            total=total,
        )
        if len(body) == total:
            self._release(conn)
        self.listener(replied)

    def deliver_parts(self, conn: ClientConn) -> None:
        """Hand on as many parts as were asked for and are there."""
        while conn.credit and conn.inbuf and not conn.closed:
            data = bytes(conn.inbuf[:PART])
            last = conn.passed + len(data) >= conn.head.length
            if len(data) < PART and not last:
                return
            del conn.inbuf[:PART]
            conn.passed += len(data)
            conn.credit -= 1
            ticket = conn.ticket
            if last:
                self._release(conn)
            self.listener(More(ticket=ticket, data=data))
            if last:
                return
        if not conn.credit and not conn.closed:
            self.pause_reading(conn)

    def _release(self, conn: ClientConn) -> None:
        """Put a connection back that has done its request."""
        self.by_ticket.pop(conn.ticket, None)
        conn.ticket = 0
        conn.streaming = False
        if not conn.head.keep_alive or conn.inbuf:
            self.close_conn(conn)
            return
        self.resume_reading(conn)
        self.idle.append(conn)
