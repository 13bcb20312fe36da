"""What the HTTP clients of both programs share: requests on connections of their own.

Owns the connections to one address and which request each of them carries, one at a
time. A subclass chooses the connection, reads the body of an answer and says how it is
handed on. Relies on its driver to call `expire` often enough for the deadlines.
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
    """No whole answer will come."""

    ticket: int
    sent: bool
    """Whether any byte of the request may have been received."""
    refused: bool
    """Whether no connection could be made."""
    detail: str


@attrs.define(kw_only=True, eq=False)
class RequestConn(sockets.Conn):
    """A connection that carries one request at a time."""

    connected: bool = False
    ticket: int = 0
    """The request in hand; 0 for an idle connection."""
    sent: bool = False
    """Whether any byte of the request may have left."""
    deadline: float = 0.0
    """When the request is given up; time of `clock.now`."""
    head: http.ResponseHead | None = None
    streaming: bool = False
    """Whether the answer is handed on in parts."""
    credit: int = 0
    """How much more of a long answer may be handed on, in the subclass's unit."""


class RequestClient(sockets.SocketComponent):
    """Sends requests to one address and hands their answers to `listener`."""

    conn_class: type[RequestConn] = RequestConn
    keepalive_probes = 1
    """Unanswered probes of the kernel after which a connection is lost: one, as lost
    requests of this kind are asked again."""
    unacked_timeout_ms = 0
    """How long sent bytes may stay unacknowledged; 0 where requests time out sooner."""
    until_close = False
    """Whether a body may end with its connection."""

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
        """Hand on what is there of a long answer, as far as the credit goes."""
        raise NotImplementedError

    def read_more(self, ticket: int, credit: int = 1) -> None:
        """Hand on more of a long answer, at once or when it is there."""
        conn = self.by_ticket.get(ticket)
        if conn is None or not conn.streaming:
            return
        conn.credit += credit
        self.deliver_parts(conn)
        if not conn.closed and conn.streaming:
            self.resume_reading(conn)

    def cancel(self, ticket: int) -> None:
        """Close the connection of a request; nothing more of it is reported."""
        conn = self.by_ticket.pop(ticket, None)
        if conn is not None:
            conn.ticket = 0
            self.close_conn(conn)

    def expire(self, now: float) -> None:
        """Give up the requests whose deadline is past, but for long answers."""
        for conn in list(self.by_ticket.values()):
            if now >= conn.deadline and not conn.streaming:
                self._fail_request(conn, "request timed out")

    def writable(self, conn: Any) -> bool:
        """Finish a connect; the request that waited for it goes out then."""
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
        """Return a connection that is being made, `None` where none can be."""
        sock = sockets.dial(self.address)
        if sock is None:
            return None
        sockets.enable_keepalive(
            sock,
            keepalive_probes=self.keepalive_probes,
            unacked_timeout_ms=self.unacked_timeout_ms,
        )
        conn = self.conn_class(sock=sock)
        self.add_conn(conn)
        self.await_writable(conn)
        return conn

    def _send_request(
        self, conn: Any, ticket: int, deadline: float, data: bytes
    ) -> None:
        """Send a request on a connection that carries none."""
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
        """Read the head of an answer; false where it is not whole or not usable."""
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
        """Close a connection; its request, if it has one, is lost."""
        if conn.ticket:
            self._report_failure(conn, detail, refused=refused)
        self.close_conn(conn)

    def _report_failure(self, conn: Any, detail: str, *, refused: bool = False) -> None:
        ticket, conn.ticket = conn.ticket, 0
        self.by_ticket.pop(ticket, None)
        self.listener(
            RequestFailed(ticket=ticket, sent=conn.sent, refused=refused, detail=detail)
        )
