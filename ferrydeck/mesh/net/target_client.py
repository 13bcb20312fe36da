"""The HTTP client for the target of this box: one request a connection at a time.

Owns the connections to the target and what was learned of how long an idle one lives
there. An answer up to a length comes whole; of a longer one further bytes come as they
are asked for. Relies on the driver to call `expire`.
"""

from __future__ import annotations

import socket
from collections.abc import Callable

import attrs

from ferrydeck import clock
from ferrydeck.mesh.net import bodies
from ferrydeck.net import http, poller, request_client

MAX_WHOLE_BODY_BYTES = 64 * 1024
"""A body up to this length is handed on whole, bytes."""
DEFAULT_IDLE_TIMEOUT_S = 4.0
"""How long an idle connection may be used again, if the target states none, seconds."""
IDLE_TIMEOUT_RATIO = 0.7
"""Share of the stated time after which an idle connection isn't used again."""
STALE_LOSS_S = 0.05
"""A request on a connection that was idle, lost this soon and without a byte of an
answer, shows that the target had dropped the connection, seconds."""
STALE_IDLE_RATIO = 0.7
"""Share of the idle time that a connection did not survive after which others aren't
used."""
STALE_MEMORY_S = 10.0
"""How long what was learned of dropped connections holds, seconds."""
KEEPALIVE_PROBES = 2
"""Unanswered probes of the kernel after which a connection to the target is lost."""
ACK_TIMEOUT_MS = 3000
"""How long a target may leave sent bytes unacknowledged until the kernel ends the
connection, milliseconds."""
DEADLINE_GRACE_S = 0.1
"""How much later than its deadline a target's answer is still waited for, seconds."""
KEEP_ALIVE_FIELD = "keep-alive"


@attrs.define(kw_only=True, frozen=True)
class AnswerHead:
    """An answer's head, with all of its body or the first part."""

    ticket: int
    status: int
    fields: http.Fields
    body: bytes
    more: bool
    total: int
    """The length of the whole body, bytes; -1 where it isn't known yet."""


@attrs.define(kw_only=True, frozen=True)
class AnswerPart:
    """A further part of a long answer."""

    ticket: int
    data: bytes
    last: bool


Event = AnswerHead | AnswerPart | request_client.RequestFailed


@attrs.define(kw_only=True, eq=False)
class TargetConn(request_client.RequestConn):
    """A connection to the target; its credit counts bytes."""

    is_answer: Callable[[http.Fields], bool] | None = None
    """Whether an answer with these fields is the one to the request in hand."""
    reader: bodies.BodyReader | None = None
    body: bytearray = attrs.Factory(bytearray)
    foreign: bool = False
    """Whether the answer that is being read belongs to another request."""
    idle_until: float = 0.0
    idle_limit_s: float = DEFAULT_IDLE_TIMEOUT_S
    idle_since: float = 0.0
    idle_s: float = 0.0
    """How long it was idle before the request in hand; 0 for a new connection."""
    started_at: float = 0.0
    """When the request in hand was given to it; time of `clock.now`."""


class TargetClient(request_client.RequestClient):
    """Sends requests to the target and hands their answers to `listener`."""

    conn_class = TargetConn
    keepalive_probes = KEEPALIVE_PROBES
    unacked_timeout_ms = ACK_TIMEOUT_MS
    until_close = True

    def __init__(
        self,
        *,
        poller: poller.Poller,
        address: str,
        listener: Callable[[Event], None],
    ) -> None:
        super().__init__(
            poller=poller, channel="target", address=address, listener=listener
        )
        self.opened = 0
        self._safe_idle_s = float("inf")
        """Idle time after which connections were lately found dropped, seconds."""
        self._stale_seen_at = 0.0

    def request(
        self,
        ticket: int,
        *,
        method: str,
        path: str,
        fields: http.Fields,
        body: bytes,
        is_answer: Callable[[http.Fields], bool],
        left_s: float,
    ) -> None:
        """Send a request; its answer, or the loss of it, comes to the listener."""
        now = clock.now()
        conn = self._reuse(now) or self._connect()
        if conn is None:
            self.listener(
                request_client.RequestFailed(
                    ticket=ticket, sent=False, refused=True, detail="no connection"
                )
            )
            return
        conn.started_at = now
        conn.is_answer = is_answer
        conn.reader = None
        conn.foreign = False
        conn.body = bytearray()
        data = request_bytes(method, path, fields, body)
        if len(data) > MAX_WHOLE_BODY_BYTES:
            # The target may leave a long body unread, which the kernel would take for
            # silence.
            conn.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 0)
        self._send_request(conn, ticket, now + left_s + DEADLINE_GRACE_S, data)

    def expire(self, now: float) -> None:
        """Give up requests past their deadline, close connections idle for long."""
        super().expire(now)
        for conn in list(self.idle):
            if now >= conn.idle_until:
                self.close_conn(conn)

    def data_received(self, conn: TargetConn, data: bytes) -> None:
        """Read an answer."""
        if not conn.ticket:
            # Bytes after a whole answer belong to no request.
            self.close_conn(conn)
            return
        conn.inbuf += data
        try:
            self._read(conn)
        except bodies.BadBody as exc:
            self._fail_request(conn, str(exc))

    def deliver_parts(self, conn: TargetConn) -> None:
        """Hand on what is there, as far as it was asked for."""
        conn.body += conn.reader.take(conn.inbuf)
        if conn.reader.done and len(conn.body) <= conn.credit:
            self._report_last(conn)
            self._release(conn)
            return
        if conn.credit <= 0:
            self.pause_reading(conn)
            return
        data = bytes(conn.body[: conn.credit])
        if data:
            del conn.body[: len(data)]
            conn.credit -= len(data)
            self.listener(AnswerPart(ticket=conn.ticket, data=data, last=False))

    def connection_lost(self, conn: TargetConn) -> None:
        """Act on the end of a connection: an answer without length is whole then."""
        if conn in self.idle:
            self.idle.remove(conn)
        if not conn.ticket:
            return
        if conn.socket_error or conn.reader is None or not conn.reader.ended():
            self._record_stale(conn)
            self._report_failure(conn, "connection ended", refused=not conn.connected)
            return
        if conn.foreign:
            self._report_failure(conn, "foreign answer")
        elif conn.streaming:
            self._report_last(conn)
        else:
            self._report_whole(conn)

    def _connect(self) -> TargetConn | None:
        conn = super()._connect()
        self.opened += conn is not None
        return conn

    def _read(self, conn: TargetConn) -> None:
        while conn.ticket and not conn.closed:
            if conn.head is None and not self._read_head(conn):
                return
            if conn.streaming:
                self.deliver_parts(conn)
                return
            conn.body += conn.reader.take(conn.inbuf)
            if not conn.reader.done:
                self._start_streaming(conn)
                return
            if conn.foreign:
                self._discard_foreign(conn)
                continue
            self._complete(conn)

    def _read_head(self, conn: TargetConn) -> bool:
        if not super()._read_head(conn):
            return False
        if conn.head.status < 200:
            # An interim answer: the final one follows.
            conn.head = None
            return bool(conn.inbuf) and self._read_head(conn)
        conn.reader = bodies.BodyReader(length=conn.head.length)
        conn.foreign = not conn.is_answer(conn.head.fields)
        return True

    def _start_streaming(self, conn: TargetConn) -> None:
        """Start to hand a long answer on in parts."""
        if len(conn.body) < MAX_WHOLE_BODY_BYTES:
            return
        if conn.foreign:
            conn.body.clear()
            return
        conn.streaming = True
        body = bytes(conn.body)
        conn.body = bytearray()
        self.pause_reading(conn)
        self.listener(
            AnswerHead(
                ticket=conn.ticket,
                status=conn.head.status,
                fields=conn.head.fields,
                body=body,
                more=True,
                total=max(-1, conn.head.length),
            )
        )

    def _discard_foreign(self, conn: TargetConn) -> None:
        """Drop a late answer to an earlier request; the right one may follow."""
        conn.head = None
        conn.reader = None
        conn.body = bytearray()

    def _complete(self, conn: TargetConn) -> None:
        self._report_whole(conn)
        if not conn.closed:
            self._release(conn)

    def _report_whole(self, conn: TargetConn) -> None:
        ticket, conn.ticket = conn.ticket, 0
        self.by_ticket.pop(ticket, None)
        body = bytes(conn.body)
        conn.body = bytearray()
        self.listener(
            AnswerHead(
                ticket=ticket,
                status=conn.head.status,
                fields=conn.head.fields,
                body=body,
                more=False,
                total=len(body),
            )
        )

    def _report_last(self, conn: TargetConn) -> None:
        ticket, conn.ticket = conn.ticket, 0
        self.by_ticket.pop(ticket, None)
        data = bytes(conn.body)
        conn.body = bytearray()
        self.listener(AnswerPart(ticket=ticket, data=data, last=True))

    def _release(self, conn: TargetConn) -> None:
        """Keep a connection whose request is done, if it may be used again."""
        conn.ticket = 0
        conn.streaming = False
        early = bool(conn.outbuf)
        if not conn.head.keep_alive or conn.inbuf or early:
            self.close_conn(conn)
            return
        now = clock.now()
        stated_s = keep_alive_s(conn.head.fields)
        if stated_s is not None:
            conn.idle_limit_s = stated_s * IDLE_TIMEOUT_RATIO
        conn.idle_since = now
        conn.idle_until = now + conn.idle_limit_s
        self.resume_reading(conn)
        self.idle.append(conn)

    def _reuse(self, now: float) -> TargetConn | None:
        """Return the connection that was idle least, if it may be used again."""
        if now - self._stale_seen_at > STALE_MEMORY_S:
            self._safe_idle_s = float("inf")
        while self.idle:
            conn = self.idle.pop()
            conn.idle_s = now - conn.idle_since
            if now < conn.idle_until and conn.idle_s < self._safe_idle_s:
                return conn
            self.close_conn(conn)
        return None

    def _record_stale(self, conn: TargetConn) -> None:
        """Learn from a connection that the target had dropped while it was idle."""
        now = clock.now()
        answered = conn.head is not None or conn.inbuf
        if not conn.idle_s or answered or now - conn.started_at > STALE_LOSS_S:
            return
        self._safe_idle_s = min(self._safe_idle_s, STALE_IDLE_RATIO * conn.idle_s)
        self._stale_seen_at = now


def request_bytes(method: str, path: str, fields: http.Fields, body: bytes) -> bytes:
    """Return the bytes of a request to the target; `fields` have its host."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {http.sanitize_value(value)}" for name, value in fields]
    if body or method not in ("GET", "HEAD", "DELETE"):
        lines.append(f"content-length: {len(body)}")
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1", "replace") + body


def keep_alive_s(fields: http.Fields) -> float | None:
    """Return how long the target keeps an idle connection, `None` if it states none."""
    stated = dict(fields).get(KEEP_ALIVE_FIELD, "")
    for part in stated.split(","):
        name, _, value = part.strip().partition("=")
        if name == "timeout" and value.isdigit():
            return float(value)
    return None
