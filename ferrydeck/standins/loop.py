"""The event loop of a stand-in: HTTP servers and timers on circuits."""

from __future__ import annotations

import heapq
import itertools
import urllib.parse
from collections.abc import Callable

import attrs
import circuits
import msgspec

from ferrydeck import clock
from ferrydeck.net import poller
from ferrydeck.signed.core import effects, events
from ferrydeck.signed.net import http_server
from ferrydeck.signed.wire import messages

JSON_HEADERS = (messages.Header(name="content-type", value="application/json"),)


@attrs.define(kw_only=True, frozen=True)
class Request:
    """A parsed HTTP request to a stand-in."""

    call: int
    port: int
    method: str
    path: str
    query: dict[str, str]
    headers: tuple[messages.Header, ...]
    body: bytes


class Loop(circuits.BaseComponent):
    """Serves HTTP on some ports and runs timers."""

    channel = "standin"

    def __init__(self, *, ip: str, ports: list[int]) -> None:
        super().__init__()
        self.poller = poller.Poller().register(self)
        self.servers: dict[int, http_server.HttpServer] = {}
        self.timers: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence_numbers = itertools.count()
        for port in ports:
            server = http_server.HttpServer(
                poller=self.poller,
                channel=f"port-{port}",
                ip=ip,
                port=port,
                local=False,
                feed=lambda event, port=port: self._on_event(port, event),
            )
            server.register(self)
            self.servers[port] = server

    def handle_request(self, req: Request) -> None:
        """Handle a request."""
        raise NotImplementedError

    def handle_disconnect(self, call: int) -> None:
        """Handle the disconnect of a client."""

    def call_later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action after a delay."""
        due_at = clock.now() + delay_s
        heapq.heappush(self.timers, (due_at, next(self.sequence_numbers), action))

    def answer(
        self,
        call: int,
        status: int,
        body: object = None,
        *,
        headers: tuple[messages.Header, ...] = JSON_HEADERS,
    ) -> None:
        """Answer a request, with JSON unless `body` is bytes."""
        data = body if isinstance(body, bytes) else msgspec.json.encode(body)
        response = effects.AnswerCaller(
            conn=call, status=status, headers=headers, body=data, total=len(data)
        )
        for server in self.servers.values():
            server.answer(response)

    def abort(self, call: int) -> None:
        """Close the connection of a request without an answer."""
        for server in self.servers.values():
            server.abort(call)

    def connection(self, call: int) -> http_server.CallerConn | None:
        """Return the connection of a request in progress."""
        found = (server.by_call.get(call) for server in self.servers.values())
        return next((conn for conn in found if conn is not None), None)

    def send_bytes(self, conn: http_server.CallerConn, data: bytes) -> None:
        """Send bytes on a connection, outside of any answer."""
        for server in self.servers.values():
            if conn.sock in server.conns:
                server.send(conn, data)

    @circuits.handler("generate_events")
    def _on_generate_events(self, event: circuits.Event) -> None:
        while self.timers and self.timers[0][0] <= clock.now():
            heapq.heappop(self.timers)[2]()
        if self.timers:
            event.reduce_time_left(max(0.0, self.timers[0][0] - clock.now()))

    def _on_event(self, port: int, event: events.Event) -> None:
        match event:
            case events.CallReceived():
                path, _, query = event.path.partition("?")
                self.handle_request(
                    Request(
                        call=event.conn,
                        port=port,
                        method=event.method,
                        path=urllib.parse.unquote(path),
                        query=dict(urllib.parse.parse_qsl(query)),
                        headers=event.headers,
                        body=event.body,
                    )
                )
            case events.CallerGone(conn=call):
                self.handle_disconnect(call)
