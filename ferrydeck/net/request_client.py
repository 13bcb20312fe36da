"""Base class of the HTTP clients: one request at a time per connection, no pipelining.

Owns the connections to one address and their requests. Subclasses choose the connection
and read and deliver the body of an answer. The driver must call `expire` regularly to
enforce deadlines.
"""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from typing import Any

import attrs

from ferrydeck.net import http, poller, sockets


@attrs.define(kw_only=True, frozen=True)
class RequestFailed:
    """Reports that no complete answer will be received."""

    ticket: int
    sent: bool
    """Whether the server may have received any part of the request."""
    refused: bool
    """Whether the connection was refused or could not be opened."""
    detail: str


@attrs.define(kw_only=True, eq=False)
class RequestConn(sockets.Conn):
    """A connection with at most one request in progress."""

    connected: bool = False
    ticket: int = 0
    """Number of the request in progress; 0 for an idle connection."""
    sent: bool = False
    """Whether any part of the request may have been sent."""
    deadline: float = 0.0
    """Deadline of the request; time of `clock.now`."""
    head: http.ResponseHead | None = None
    streaming: bool = False
    """Whether the body is delivered in parts."""
    credit: int = 0
    """Flow-control credit for a streamed body, in units of the subclass."""


class RequestClient(sockets.SocketComponent):
    """Sends requests to one address and delivers the answers to `listener`."""

    conn_class: type[RequestConn] = RequestConn
    probes = 1
    """Unanswered keepalive probes after which a connection is closed."""
    unacked_ms = 0
    """Limit for unacknowledged sent data, milliseconds; 0 for the kernel's default."""
    until_close = False
    """Whether a body may be delimited by the end of the connection."""

    def __init__(
        self,
        *,
        poller: poller.Poller,
        channel: str,
        address: str,
        listener: Callable[[Any], None],
    ) -> None:
        super().__init__(poller=poller, channel=channel)
        self.address = address
        self.listener = listener
        self.idle: list[Any] = []
        self.by_ticket: dict[int, Any] = {}

    def deliver_parts(self, conn: Any) -> None:
        """Deliver buffered parts of a streamed body, limited by the credit."""
        raise NotImplementedError

    def read_more(self, ticket: int, credit: int = 1) -> None:
        """Grant credit for further parts of a streamed body."""
        conn = self.by_ticket.get(ticket)
        if conn is None or not conn.streaming:
            return
        conn.credit += credit
        self.deliver_parts(conn)
        if not conn.closed and conn.streaming:
            self.resume_reading(conn)

    def cancel(self, ticket: int) -> None:
        """Cancel a request: close its connection and report nothing more."""
        conn = self.by_ticket.pop(ticket, None)
        if conn is not None:
            conn.ticket = 0
            self.close_conn(conn)

    def expire(self, now: float) -> None:
        """Fail the requests whose deadline has passed, except streamed ones."""
        for conn in list(self.by_ticket.values()):
            if now >= conn.deadline and not conn.streaming:
                self._fail_request(conn, "no answer in time")

    def writable(self, conn: Any) -> bool:
        """Complete a connect, then send the pending request."""
        if conn.connected:
            return True
        error = conn.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            name = errno.errorcode.get(error, str(error))
            self._fail_request(conn, name, refused=error == errno.ECONNREFUSED)
            return False
        conn.connected = True
        conn.sent = bool(conn.outbuf)
        return True

    def _connect(self) -> Any:
        """Start a connection; return `None` if that fails immediately."""
        sock = sockets.dial(self.address)
        if sock is None:
            return None
        sockets.enable_keepalive(sock, probes=self.probes, unacked_ms=self.unacked_ms)
        conn = self.conn_class(sock=sock)
        self.add_conn(conn)
        self.await_writable(conn)
        return conn

    def _submit(self, conn: Any, ticket: int, deadline: float, data: bytes) -> None:
        """Send a request on an idle connection."""
        conn.ticket = ticket
        conn.deadline = deadline
        conn.head = None
        conn.streaming = False
        conn.credit = 0
        self.by_ticket[ticket] = conn
        if not conn.connected:
            conn.outbuf += data
            return
        conn.sent = True
        self.send(conn, data)

    def _read_head(self, conn: Any) -> bool:
        """Parse the head of an answer; return false if incomplete or malformed."""
        end = conn.inbuf.find(http.END_OF_HEAD)
        if end < 0:
            if len(conn.inbuf) > http.MAX_HEAD_BYTES:
                self._fail_request(conn, "head too long")
            return False
        end += len(http.END_OF_HEAD)
        head = http.read_response(bytes(conn.inbuf[:end]), until_close=self.until_close)
        del conn.inbuf[:end]
        if isinstance(head, http.Malformed):
            self._fail_request(conn, head.detail)
            return False
        conn.head = head
        return True

    def _fail_request(self, conn: Any, detail: str, *, refused: bool = False) -> None:
        """Close a connection and report its request, if any, as failed."""
        if conn.ticket:
            self._report_failure(conn, detail, refused=refused)
        self.close_conn(conn)

    def _report_failure(self, conn: Any, detail: str, *, refused: bool = False) -> None:
        ticket, conn.ticket = conn.ticket, 0
        self.by_ticket.pop(ticket, None)
        self.listener(
            RequestFailed(ticket=ticket, sent=conn.sent, refused=refused, detail=detail)
        )
