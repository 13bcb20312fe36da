"""An HTTP client with a connection pool for one address.

Short bodies are delivered complete; longer ones are streamed in parts on request, to
limit buffering.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

import attrs

from ferrydeck.net import http, poller, request_client

MAX_BUFFERED_BYTES = 256 * 1024
"""Default maximum length of a body that is delivered complete, bytes."""
PART_BYTES = 64 * 1024
"""Length of the parts of a streamed body, bytes; the last may be shorter."""
MAX_CHUNKED_BYTES = 16 * 1024 * 1024
"""Maximum length of a chunked body, which is buffered completely, bytes."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """A complete answer, or the head and first part of a streamed one."""

    ticket: int
    status: int
    fields: http.Fields
    body: bytes
    total: int
    """Length of the complete body, bytes."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class BodyPart:
    """A subsequent part of a streamed answer."""

    ticket: int
    data: bytes


Event = Answer | BodyPart | request_client.RequestFailed


@attrs.define(kw_only=True, eq=False)
class ClientConn(request_client.RequestConn):
    """A pooled connection; its credit counts parts."""

    delivered: int = 0
    """Bytes of a streamed body that were delivered."""


class HttpClient(request_client.RequestClient):
    """Sends requests to one address over at most `max_connections` connections."""

    conn_class = ClientConn

    def __init__(
        self,
        *,
        poller: poller.Poller,
        channel: str,
        address: str,
        max_connections: int,
        listener: Callable[[Event], None],
        max_buffered_bytes: int = MAX_BUFFERED_BYTES,
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
        """Send a request; the answer or failure is delivered to the listener."""
        data = http.request_head(method, path, self.address, fields, len(body)) + body
        conn = self.idle.pop() if self.idle else self._connect()
        if conn is None:
            self.listener(
                request_client.RequestFailed(
                    ticket=ticket, sent=False, refused=True, detail="no connection"
                )
            )
            return
        conn.delivered = 0
        self._submit(conn, ticket, deadline, data)

    def close_idle(self) -> None:
        """Close the idle connections."""
        for conn in list(self.idle):
            self.close_conn(conn)

    def data_received(self, conn: ClientConn, data: bytes) -> None:
        """Parse received data of an answer."""
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
            self._deliver(conn)

    def connection_lost(self, conn: ClientConn) -> None:
        """Report the failure of a request whose connection was closed."""
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
            if len(conn.inbuf) > MAX_CHUNKED_BYTES:
                self._fail_request(conn, "chunked body too long")
            return
        conn.inbuf.clear()
        self._deliver_answer(conn, body, len(body))

    def _deliver(self, conn: ClientConn) -> None:
        """Deliver a complete body, or the first part of a streamed one."""
        length = conn.head.length
        if len(conn.inbuf) > length:
            self._fail_request(conn, "more bytes than its length")
            return
        if length <= self.max_buffered_bytes:
            body = bytes(conn.inbuf)
            conn.inbuf.clear()
            self._deliver_answer(conn, body, length)
            return
        conn.streaming = True
        conn.delivered = PART_BYTES
        body = bytes(conn.inbuf[:PART_BYTES])
        del conn.inbuf[:PART_BYTES]
        self.pause_reading(conn)
        self._deliver_answer(conn, body, length)

    def _deliver_answer(self, conn: ClientConn, body: bytes, total: int) -> None:
        answer = Answer(
            ticket=conn.ticket,
            status=conn.head.status,
            fields=conn.head.fields,
            body=body,
            total=total,
        )
        if len(body) == total:
            self._release(conn)
        self.listener(answer)

    def deliver_parts(self, conn: ClientConn) -> None:
        """Deliver buffered parts, limited by the credit."""
        while conn.credit and conn.inbuf and not conn.closed:
            data = bytes(conn.inbuf[:PART_BYTES])
            last = conn.delivered + len(data) >= conn.head.length
            if len(data) < PART_BYTES and not last:
                return
            del conn.inbuf[:PART_BYTES]
            conn.delivered += len(data)
            conn.credit -= 1
            ticket = conn.ticket
            if last:
                self._release(conn)
            self.listener(BodyPart(ticket=ticket, data=data))
            if last:
                return
        if not conn.credit and not conn.closed:
            self.pause_reading(conn)

    def _release(self, conn: ClientConn) -> None:
        """Return a connection to the pool after its request."""
        self.by_ticket.pop(conn.ticket, None)
        conn.ticket = 0
        conn.streaming = False
        if not conn.head.keep_alive or conn.inbuf:
            self.close_conn(conn)
            return
        self.resume_reading(conn)
        self.idle.append(conn)
