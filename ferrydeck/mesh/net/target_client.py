"""HTTP/1.1 client for the target of this box, one request at a time per connection.

Owns the connection pool and tracks after which idle time the target drops connections.
Short answers are delivered whole, longer ones in parts under flow control. The driver
calls `expire`.

Answers echo the request id. A target may send a second copy of an answer later, so a
connection carries each request id only once: an answer with the id then belongs to that
request, and to no later attempt of it.
"""

from __future__ import annotations

import collections
import itertools
import socket
from collections.abc import Callable

import attrs

from ferrydeck import clock
from ferrydeck.mesh import long_bodies
from ferrydeck.mesh.net import bodies
from ferrydeck.net import http, poller, request_client

MAX_WHOLE_BODY_BYTES = 64 * 1024
"""Longest body that is delivered whole, bytes."""
MAX_SKIPPED_ANSWERS = 64
"""Informational (1xx) answers and answers to other requests that are skipped while one
is awaited; more are bytes without end."""
DEFAULT_IDLE_TIMEOUT_S = 4.0
"""Idle timeout of pooled connections if the target states none, seconds."""
IDLE_TIMEOUT_RATIO = 0.7
"""Fraction of the stated keep-alive timeout for which a connection is reused."""
STALE_LOSS_S = 0.05
"""A reused connection that is lost within this time, without any byte of an answer,
had been dropped by the target while idle, seconds."""
STALE_IDLE_RATIO = 0.7
"""Fraction of the idle time of a dropped connection for which others are reused."""
STALE_MEMORY_S = 10.0
"""How long a dropped connection limits the reuse of others, seconds."""
KEEPALIVE_PROBES = 2
"""Unanswered TCP keepalive probes after which a connection is closed."""
ACK_TIMEOUT_MS = 3000
"""TCP_USER_TIMEOUT of connections to the target, milliseconds."""
DEADLINE_GRACE_S = 0.1
"""How long after its deadline an answer is still awaited, seconds."""
SENT_ID_GRACE_S = 1.0
"""How long after its deadline a request id is remembered, seconds: the deadline of a
later attempt is estimated anew from the delay of its link."""
KEEP_ALIVE_FIELD = "keep-alive"

_numbers = itertools.count(1)


@attrs.define(kw_only=True, frozen=True)
class AnswerHead:
    """Head of an answer, with all or the first part of the body."""

    ticket: int
    status: int
    fields: http.Fields
    body: bytes
    more: bool
    total: int
    """Length of the whole body, bytes; -1 if unknown."""
    conn: int
    """Number of the connection, unique in this process."""
    ended_by_close: bool = False
    """Whether only the end of the connection tells that the answer is complete."""


@attrs.define(kw_only=True, frozen=True)
class AnswerPart:
    """A further part of a streamed answer."""

    ticket: int
    data: bytes
    last: bool
    ended_by_close: bool = False
    """Whether only the end of the connection tells that it is the last part."""


Event = AnswerHead | AnswerPart | request_client.RequestFailed


@attrs.define(kw_only=True, eq=False)
class TargetConn(request_client.RequestConn):
    """Connection to the target; its flow-control credit is in bytes."""

    number: int = attrs.Factory(lambda: next(_numbers))
    """Number of the connection, unique in this process."""
    is_answer: Callable[[http.Fields], bool] | None = None
    """Tells by its header fields whether an answer belongs to the current request."""
    sent_ids: collections.OrderedDict[str, float] = attrs.Factory(
        collections.OrderedDict
    )
    """Ids of the requests sent on it, with the time until which they are remembered."""
    reader: bodies.BodyReader | None = None
    body: bytearray = attrs.Factory(bytearray)
    foreign: bool = False
    """Whether the current answer belongs to another request."""
    skipped: int = 0
    """Answers that were skipped while the current one is awaited."""
    discarding: bool = False
    """Whether the rest of a streamed answer is read without being delivered."""
    idle_until: float = 0.0
    idle_limit_s: float = DEFAULT_IDLE_TIMEOUT_S
    idle_since: float = 0.0
    idle_s: float = 0.0
    """Idle time before the current request; 0 for a new connection."""
    started_at: float = 0.0
    """When the current request was sent, as of `clock.now`."""
    upload: long_bodies.LongBody | None = None
    """Long body of the current request, until its last part is sent."""
    uploaded: int = 0
    """Bytes of the long body that were passed to the connection."""

    def remember_id(self, request_id: str, now: float, left_s: float) -> None:
        """Remember the id of a request, and forget ids whose time is over."""
        while self.sent_ids and next(iter(self.sent_ids.values())) <= now:
            self.sent_ids.popitem(last=False)
        self.sent_ids[request_id] = now + left_s + SENT_ID_GRACE_S


class TargetClient(request_client.RequestClient):
    """Sends requests to the target and passes their answers to `listener`."""

    conn_class = TargetConn
    probes = KEEPALIVE_PROBES
    unacked_ms = ACK_TIMEOUT_MS
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
        self.discarded_answers = 0
        """Answers that belonged to no request in progress on their connection."""
        self._safe_idle_s = float("inf")
        """Idle time up to which connections are reused, seconds."""
        self._stale_seen_at = 0.0

    def request(
        self,
        ticket: int,
        *,
        request_id: str,
        method: str,
        path: str,
        fields: http.Fields,
        body: long_bodies.Body,
        is_answer: Callable[[http.Fields], bool],
        left_s: float,
    ) -> None:
        """Send a request; the listener receives its answer or its loss.

        `request_id` is empty for one that has none, such as a health check.
        """
        now = clock.now()
        conn = self._reuse(now, request_id) or self._connect()
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
        conn.discarding = False
        conn.skipped = 0
        conn.body = bytearray()
        if request_id:
            conn.remember_id(request_id, now, left_s)
        data = request_head(method, path, fields, len(body))
        conn.upload, conn.uploaded = None, 0
        if isinstance(body, long_bodies.LongBody):
            conn.upload = body
        else:
            data += body
        if len(body) > MAX_WHOLE_BODY_BYTES:
            # A target that is slow to read a long body must not hit TCP_USER_TIMEOUT.
            conn.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 0)
        self._submit(conn, ticket, now + left_s + DEADLINE_GRACE_S, data)

    def discard(self, ticket: int) -> None:
        """Read a streamed answer to its end; only the end is delivered."""
        conn = self.by_ticket.get(ticket)
        if conn is None or not conn.streaming:
            return
        conn.discarding = True
        self.deliver_parts(conn)
        if not conn.closed and conn.streaming:
            self.resume_reading(conn)

    def expire(self, now: float) -> None:
        """Fail requests past their deadline and close expired idle connections."""
        super().expire(now)
        for conn in list(self.idle):
            if now >= conn.idle_until:
                self.close_conn(conn)

    def data_received(self, conn: TargetConn, data: bytes) -> None:
        """Parse an answer."""
        if not conn.ticket:
            # Unsolicited bytes on an idle connection.
            self.close_conn(conn)
            return
        conn.inbuf += data
        try:
            self._read(conn)
        except bodies.BadBody as exc:
            self._fail_request(conn, str(exc))

    def drained(self, conn: TargetConn) -> None:
        """Send the next part of a long body."""
        if conn.upload is None:
            return
        part = conn.upload.part(conn.uploaded)
        conn.uploaded += len(part)
        if conn.uploaded == len(conn.upload):
            conn.upload = None
        conn.outbuf += part
        self.await_writable(conn)

    def deliver_parts(self, conn: TargetConn) -> None:
        """Deliver buffered bytes as far as the credit allows."""
        conn.body += conn.reader.read(conn.inbuf)
        if conn.discarding:
            conn.body.clear()
        if conn.reader.done and len(conn.body) <= conn.credit:
            self._report_last(conn)
            self._release(conn)
            return
        if conn.discarding:
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
        """Handle a closed connection, which completes an answer without a length."""
        conn.upload = None
        if conn in self.idle:
            self.idle.remove(conn)
        if not conn.ticket:
            return
        if (
            conn.socket_error
            or conn.reader is None
            or not conn.reader.connection_closed()
        ):
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
            conn.body += conn.reader.read(conn.inbuf)
            if not conn.reader.done:
                self._start_streaming(conn)
                return
            if conn.foreign:
                self._discard_foreign(conn)
                continue
            self._finish_whole(conn)

    def _read_head(self, conn: TargetConn) -> bool:
        while super()._read_head(conn) and conn.head.status < 200:
            conn.head = None
            if not self._skip(conn):
                return False
        if conn.head is None:
            return False
        conn.reader = bodies.BodyReader(length=conn.head.length)
        conn.foreign = not conn.is_answer(conn.head.fields)
        return True

    def _start_streaming(self, conn: TargetConn) -> None:
        """Switch to streaming once an answer exceeds the limit for whole ones."""
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
                conn=conn.number,
            )
        )

    def _discard_foreign(self, conn: TargetConn) -> None:
        """Discard an answer to an earlier request; the awaited one may follow."""
        self.discarded_answers += 1
        conn.head = None
        conn.reader = None
        conn.body = bytearray()
        self._skip(conn)

    def _skip(self, conn: TargetConn) -> bool:
        """Count a skipped answer; return whether more are read."""
        conn.skipped += 1
        if conn.skipped > MAX_SKIPPED_ANSWERS:
            self._fail_request(conn, "too many answers before the awaited one")
        return not conn.closed

    def _finish_whole(self, conn: TargetConn) -> None:
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
                conn=conn.number,
                ended_by_close=conn.head.length == http.UNTIL_CLOSE,
            )
        )

    def _report_last(self, conn: TargetConn) -> None:
        ticket, conn.ticket = conn.ticket, 0
        self.by_ticket.pop(ticket, None)
        data = bytes(conn.body)
        conn.body = bytearray()
        by_close = conn.head.length == http.UNTIL_CLOSE
        self.listener(
            AnswerPart(ticket=ticket, data=data, last=True, ended_by_close=by_close)
        )

    def _release(self, conn: TargetConn) -> None:
        """Return a connection to the pool if it is reusable."""
        conn.ticket = 0
        conn.streaming = False
        unsent = bool(conn.outbuf) or conn.upload is not None
        if not conn.head.keep_alive or conn.inbuf or unsent:
            self.close_conn(conn)
            return
        now = clock.now()
        timeout_s = keep_alive_s(conn.head.fields)
        if timeout_s is not None:
            conn.idle_limit_s = timeout_s * IDLE_TIMEOUT_RATIO
        conn.idle_since = now
        conn.idle_until = now + conn.idle_limit_s
        self.resume_reading(conn)
        self.idle.append(conn)

    def _reuse(self, now: float, request_id: str) -> TargetConn | None:
        """Return the connection with the shortest idle time that may carry the id."""
        if now - self._stale_seen_at > STALE_MEMORY_S:
            self._safe_idle_s = float("inf")
        for place in reversed(range(len(self.idle))):
            conn = self.idle[place]
            conn.idle_s = now - conn.idle_since
            if now >= conn.idle_until or conn.idle_s >= self._safe_idle_s:
                self.close_conn(conn)
            elif request_id not in conn.sent_ids:
                del self.idle[place]
                return conn
        return None

    def _record_stale(self, conn: TargetConn) -> None:
        """Shorten the reuse of idle connections if the target dropped this one."""
        now = clock.now()
        answered = conn.head is not None or conn.inbuf
        if not conn.idle_s or answered or now - conn.started_at > STALE_LOSS_S:
            return
        self._safe_idle_s = min(self._safe_idle_s, STALE_IDLE_RATIO * conn.idle_s)
        self._stale_seen_at = now


def request_head(method: str, path: str, fields: http.Fields, length: int) -> bytes:
    """Return the encoded head; `fields` includes the host, `length` is the body's."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {http.sanitize_value(value)}" for name, value in fields]
    if length or method not in ("GET", "HEAD", "DELETE"):
        lines.append(f"content-length: {length}")
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1", "replace")


def keep_alive_s(fields: http.Fields) -> float | None:
    """Return the timeout of a Keep-Alive header in seconds, `None` if there is none."""
    stated = dict(fields).get(KEEP_ALIVE_FIELD, "")
    for part in stated.split(","):
        name, _, value = part.strip().partition("=")
        if name == "timeout" and value.isascii() and value.isdigit():
            return float(value)
    return None
