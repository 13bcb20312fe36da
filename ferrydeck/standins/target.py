"""A stand-in for a target with slots, cold start, load shedding and nested calls.

Query parameters of a request: `ms` is the service time, `size` the response size in
bytes, `call` lists nested paths separated by commas, which are called through the
local endpoint first, and `status` is the response status.
"""

from __future__ import annotations

import collections
import functools
import urllib.parse

import attrs
import msgspec

from ferrydeck import clock
from ferrydeck.net import http, http_client, request_client
from ferrydeck.signed.core import headers
from ferrydeck.signed.net import fields
from ferrydeck.signed.wire import messages
from ferrydeck.standins import loop

NESTED_TIMEOUT_S = 30.0
MAX_LOCAL_CONNECTIONS = 512


@attrs.define(kw_only=True)
class Behaviour:
    """The target's behaviour; changed by JSON sent to `/_set`."""

    slots: int = 100
    service_ms: float = 5.0
    slowdown: float = 1.0
    cold_start_s: float = 0.0
    shedding: bool = False
    drain: bool = False
    break_after: int = 0
    """Bytes of a long response after which the connection is closed; 0 disables it."""
    load_lag_s: float = 1.0


@attrs.define(kw_only=True)
class Effect:
    """One execution of a request, which may have side effects."""

    key: str
    path: str
    method: str
    at: float


@attrs.define(kw_only=True, eq=False)
class Work:
    """A request that is queued or running at the target."""

    req: loop.Request
    nested: list[str]
    context: str
    running: bool = False
    ended: bool = False


class Target(loop.Loop):
    """A backend on the loopback address of a daemon's box."""

    def __init__(
        self, *, ip: str, ports: list[int], behaviour: Behaviour, local: str
    ) -> None:
        super().__init__(ip=ip, ports=ports)
        self.behaviour = behaviour
        self.started_at = clock.now()
        self.effects: list[Effect] = []
        self.running_count = 0
        self.waiting: collections.deque[Work] = collections.deque()
        self.active: dict[int, Work] = {}
        self.reported_load = (0.0, 0)
        self.nested_calls: dict[int, Work] = {}
        self.local: http_client.HttpClient | None = None
        if local:
            self.local = http_client.HttpClient(
                poller=self.poller,
                channel="local",
                address=local,
                max_connections=MAX_LOCAL_CONNECTIONS,
                listener=self._on_response,
            )
            self.local.register(self)

    def handle_request(self, req: loop.Request) -> None:
        """Queue a request, or handle a control call."""
        if req.path.startswith("/_"):
            self._handle_control(req)
            return
        if self.behaviour.shedding or self.behaviour.drain:
            self.answer(req.call, 503, {"shed": True})
            return
        nested = req.query.get("call", "")
        work = Work(
            req=req,
            nested=nested.split(",") if nested else [],
            context=headers.get(req.headers, headers.CONTEXT),
        )
        self.active[req.call] = work
        self.waiting.append(work)
        self._start_waiting()

    def handle_disconnect(self, call: int) -> None:
        """Cancel the request of a disconnected client."""
        work = self.active.get(call)
        if work is not None:
            self._end(work)

    def _handle_control(self, req: loop.Request) -> None:
        match req.path:
            case "/_set":
                change = msgspec.json.decode(req.body)
                self.behaviour = attrs.evolve(self.behaviour, **change)
                self.answer(req.call, 200, {})
            case "/_effects":
                self.answer(req.call, 200, self.effects)
            case "/_load":
                self.answer(req.call, 200, {"running": self._lagging_load()})
            case "/health":
                self.answer(req.call, 200, {"ok": True})
            case _:
                self.answer(req.call, 404, {})

    def _lagging_load(self) -> int:
        now = clock.now()
        if now - self.reported_load[0] > self.behaviour.load_lag_s:
            self.reported_load = (now, self.running_count)
        return self.reported_load[1]

    def _slots(self) -> int:
        """Return the available slots, which are fewer during the cold start."""
        age = clock.now() - self.started_at
        if age >= self.behaviour.cold_start_s:
            return self.behaviour.slots
        return max(1, int(self.behaviour.slots * age / self.behaviour.cold_start_s))

    def _start_waiting(self) -> None:
        while self.waiting and self.running_count < self._slots():
            work = self.waiting.popleft()
            if not work.ended:
                self._start(work)

    def _start(self, work: Work) -> None:
        work.running = True
        self.running_count += 1
        self.effects.append(
            Effect(
                key=headers.get(work.req.headers, headers.IDEMPOTENCY_KEY),
                path=work.req.path,
                method=work.req.method,
                at=clock.now(),
            )
        )
        requested = float(work.req.query.get("ms", self.behaviour.service_ms))
        delay_s = requested * self.behaviour.slowdown / 1000
        self.call_later(delay_s, lambda: self._run_nested_calls(work))

    def _run_nested_calls(self, work: Work) -> None:
        """Send the nested calls in sequence, then answer."""
        if work.ended:
            return
        if not work.nested or self.local is None:
            self._reply(work)
            return
        path = work.nested.pop(0)
        ticket = next(self.sequence_numbers) + 1
        self.nested_calls[ticket] = work
        self.local.request(
            ticket,
            method="GET",
            path=urllib.parse.unquote(path),
            fields=[(headers.CONTEXT, work.context)],
            body=b"",
            deadline=clock.now() + NESTED_TIMEOUT_S,
        )

    def _on_response(self, event: http_client.Event) -> None:
        work = self.nested_calls.pop(event.ticket, None)
        if work is None or work.ended:
            return
        failed = isinstance(event, request_client.RequestFailed) or event.status != 200
        if failed:
            self.answer(work.req.call, 502, {"nested": "failed"})
            self._end(work)
            return
        self._run_nested_calls(work)

    def _reply(self, work: Work) -> None:
        query = work.req.query
        size = int(query.get("size", "0"))
        if size:
            self._reply_long(work, size)
        else:
            key = headers.get(work.req.headers, headers.IDEMPOTENCY_KEY)
            body = {"key": key, "path": work.req.path, "id": query.get("id", "")}
            self.answer(work.req.call, int(query.get("status", "200")), body)
        self._end(work)

    def _reply_long(self, work: Work, size: int) -> None:
        """Answer with a long body, or its part from the offset of a Range header."""
        body = numbered_body(size)
        etag = messages.Header(name="etag", value=f'"{size}"')
        requested = headers.get(work.req.headers, headers.RANGE)
        status, headers_sent = 200, (etag,)
        if requested.startswith("bytes="):
            offset = int(requested[6:].partition("-")[0])
            ranged = f"bytes {offset}-{size - 1}/{size}"
            status = 206
            headers_sent = (etag, messages.Header(name="content-range", value=ranged))
            body = body[offset:]
        limit = self.behaviour.break_after
        if limit and len(body) > limit:
            self._send_truncated(work, status, headers_sent, body)
            return
        self.answer(work.req.call, status, body, headers=headers_sent)

    def _send_truncated(
        self,
        work: Work,
        status: int,
        headers_sent: tuple[messages.Header, ...],
        body: bytes,
    ) -> None:
        """Send the start of a body and close the connection."""
        server = self.servers[work.req.port]
        conn = server.by_call[work.req.call]
        plain = fields.to_fields(headers_sent)
        head = http.response_head(status, plain, len(body), close=False)
        conn.sock.setblocking(True)
        conn.sock.sendall(head + body[: self.behaviour.break_after])
        self.abort(work.req.call)

    def _end(self, work: Work) -> None:
        work.ended = True
        self.active.pop(work.req.call, None)
        if work.running:
            work.running = False
            self.running_count -= 1
        self._start_waiting()


@functools.lru_cache(maxsize=8)
def numbered_body(size: int) -> bytes:
    """Return a body of numbered lines, no two of which are equal."""
    line = 16
    count = -(-size // line)
    return b"".join(b"%015d\n" % number for number in range(count))[:size]
