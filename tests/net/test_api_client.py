"""API and target clients whose server stops responding."""

from __future__ import annotations

import socket

import pytest

from ferrydeck.mesh.net import target_client
from ferrydeck.net import api_client, poller

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}"
TIMEOUT_S = 1.5


class ClientAndServer:
    """A client and a server whose connections the test controls."""

    def __init__(self) -> None:
        self.listening = socket.create_server(("127.0.0.1", 0))
        self.listening.settimeout(5)
        self.poller = poller.Poller()
        self.results: list[api_client.Result] = []
        host, port = self.listening.getsockname()
        self.client = api_client.ApiClient(
            poller=self.poller,
            channel="api",
            address=f"{host}:{port}",
            max_connections=8,
        )

    def call(self) -> None:
        self.client.send(
            api_client.Call(method="GET", path="/a"),
            timeout_s=TIMEOUT_S,
            on_result=self.results.append,
        )

    def accept(self) -> socket.socket:
        conn, _ = self.listening.accept()
        self.step()
        return conn

    def answer(self, conn: socket.socket) -> None:
        before = len(self.results)
        assert conn.recv(4096).startswith(b"GET /a")
        conn.sendall(ANSWER)
        while len(self.results) == before:
            self.step()

    def step(self) -> None:
        for fileno, mask in self.poller._poller.poll(1.0):
            self.poller._process(fileno, mask)


@pytest.fixture
def api():
    instance = ClientAndServer()
    yield instance
    instance.listening.close()


# Guards against consecutive failures of calls on dead idle connections.
def test_a_timeout_closes_idle_connections(api):
    for _ in range(4):
        api.call()
    silent = [api.accept() for _ in range(4)]
    for conn in silent:
        api.answer(conn)
    api.call()
    api.client.expire(float("inf"))
    assert isinstance(api.results[-1], api_client.NoAnswer)
    api.call()
    api.answer(api.accept())
    assert isinstance(api.results[-1], api_client.Answer)


# Guards against calls that wait for their timeout on a dead connection.
def test_keepalive_detects_dead_connections_within_two_seconds(api):
    api.call()
    api.accept()
    [sock] = api.client.http.conns
    assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    idle_s = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
    interval_s = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL)
    probes = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT)
    assert idle_s + interval_s * probes <= 2.0


# Guards against requests that wait for their deadline on a dead connection.
def test_dead_connections_to_the_target_are_detected_within_three_seconds(api):
    host, port = api.listening.getsockname()
    client = target_client.TargetClient(
        poller=api.poller, address=f"{host}:{port}", listener=lambda event: None
    )

    def request(body: bytes) -> socket.socket:
        client.request(
            1,
            request_id="",
            method="POST",
            path="/a",
            fields=[("host", "h")],
            body=body,
            is_answer=lambda fields: True,
            left_s=5.0,
        )
        return list(client.conns)[-1]

    sock = request(b"12")
    idle_s = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
    interval_s = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL)
    probes = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT)
    assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    assert idle_s + interval_s * probes <= 3.0
    unacked_ms = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
    assert 0 < unacked_ms <= 3000
    # No limit for long bodies, as a target may read them slowly.
    sock = request(bytes(target_client.MAX_WHOLE_BODY_BYTES + 1))
    assert not sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
