"""Connections of callers that read their answers slowly."""

from __future__ import annotations

import socket
from collections.abc import Callable

import pytest

from ferrydeck.mesh.net import ingress
from ferrydeck.net import poller

REQUEST = b"GET /look/1 HTTP/1.1\r\nhost: h\r\n\r\n"
BODY_BYTES = 3_000_000
"""More than the kernel holds for a caller that does not read."""


class EndpointAndCallers:
    """An endpoint, and callers that read when the test lets them."""

    def __init__(self) -> None:
        self.poller = poller.Poller()
        self.requests: list[ingress.Request] = []
        self.disconnected: list[int] = []
        self.endpoint = ingress.Ingress(
            poller=self.poller,
            channel="calls",
            ip="127.0.0.1",
            port=0,
            limits=ingress.Limits(),
            on_request=self.requests.append,
            on_disconnect=self.disconnected.append,
            on_sent=lambda number, size: None,
            on_malformed=lambda fault: None,
        )

    def connect(self) -> socket.socket:
        conn = socket.socket()
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        conn.connect(self.endpoint.listening.getsockname())
        conn.setblocking(False)
        return conn

    def request(self) -> socket.socket:
        """Send a request; return the connection once the endpoint has read it."""
        conn = self.connect()
        conn.sendall(REQUEST)
        before = len(self.requests)
        while len(self.requests) == before:
            self.step()
        return conn

    def reply(self, body: bytes, *, more: bool = False) -> None:
        number = self.requests[-1].conn
        self.endpoint.reply(number, 200, [], body, more=more, total=BODY_BYTES)

    def read(self, conn: socket.socket) -> bytes:
        """Read until the endpoint closes the connection."""
        return self.receive_until(conn, lambda: False)

    def receive_until(self, conn: socket.socket, done: Callable[[], bool]) -> bytes:
        """Receive until a condition holds or the endpoint closes the connection."""
        data = b""
        while not done():
            self.step()
            try:
                part = conn.recv(65536)
            except BlockingIOError:
                continue
            if not part:
                break
            data += part
        return data

    def sent_since(self, unsent: int) -> bool:
        return self.endpoint.unsent_bytes < unsent

    def step(self) -> None:
        for fileno, mask in self.poller._poller.poll(0.01):
            self.poller._process(fileno, mask)


def body_of(answer: bytes) -> bytes:
    return answer.partition(b"\r\n\r\n")[2]


@pytest.fixture
def pair():
    instance = EndpointAndCallers()
    yield instance
    for conn in list(instance.endpoint.conns.values()):
        instance.endpoint.close_conn(conn)
    instance.endpoint.listening.close()


# Guards against answers that are cut off at a planned stop: a connection counted as
# idle once its answer was buffered, and was closed with most of it unsent.
def test_keep_alive_ends_only_after_the_answer_is_sent(pair):
    conn = pair.request()
    pair.reply(bytes(BODY_BYTES))
    assert pair.endpoint.unsent_bytes
    pair.endpoint.stop_keep_alive()
    assert len(body_of(pair.read(conn))) == BODY_BYTES


# Guards against an answer that is cut off by the idle timeout while a caller reads it.
def test_an_answer_that_is_read_slowly_outlasts_the_idle_timeout(pair, monkeypatch):
    now = 1000.0
    monkeypatch.setattr(ingress.clock, "now", lambda: now)
    conn = pair.request()
    pair.reply(bytes(BODY_BYTES))
    data = b""
    while unsent := pair.endpoint.unsent_bytes:
        now += pair.endpoint.limits.idle_s + 1
        pair.endpoint.sweep(now)
        data += pair.receive_until(conn, lambda left=unsent: pair.sent_since(left))
    pair.endpoint.sweep(now + pair.endpoint.limits.idle_s - 1)
    assert pair.endpoint.conns
    pair.endpoint.sweep(now + pair.endpoint.limits.idle_s + 1)
    data += pair.read(conn)
    assert len(body_of(data)) == BODY_BYTES


# Guards against a caller that stops reading and so holds its request for good.
def test_a_caller_that_reads_nothing_is_disconnected(pair):
    pair.request()
    pair.reply(bytes(BODY_BYTES - 1), more=True)
    [conn] = pair.endpoint.conns.values()
    pair.endpoint.sweep(conn.wrote_at + ingress.SEND_TIMEOUT_S - 1)
    assert pair.disconnected == []
    pair.endpoint.sweep(conn.wrote_at + ingress.SEND_TIMEOUT_S + 1)
    assert pair.disconnected == [pair.requests[-1].conn]
