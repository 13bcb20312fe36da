"""Calls of an HTTP API whose connections fall silent, against a listening socket."""

from __future__ import annotations

import socket

import pytest

from ferrydeck.mesh.net import target_client
from ferrydeck.net import api_client, poller

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}"
TIMEOUT_S = 1.5


class Api:
    """A client, with a server whose connections the test holds."""

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
    made = Api()
    yield made
    made.listening.close()


# Guards against calls that are lost one after the other, each on another connection
# that has fallen silent, while new connections work.
def test_after_a_call_without_an_answer_the_next_takes_a_new_connection(api):
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


# Guards against a call that waits on a silent connection for as long as it may, while
# the answer has long been sent.
def test_the_kernel_looks_for_silence_on_a_connection_without_data(api):
    api.call()
    api.accept()
    [sock] = api.client.http.conns
    assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    spent_s = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
    each_s = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL)
    probes = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT)
    assert spent_s + each_s * probes <= 2.0


# Guards against a request that waits until its deadline for an answer which a silent
# connection to the target has swallowed, or on one that has swallowed the request.
def test_a_silent_connection_to_the_target_ends_within_three_seconds(api):
    host, port = api.listening.getsockname()
    client = target_client.TargetClient(
        poller=api.poller, address=f"{host}:{port}", listener=lambda event: None
    )

    def request(body: bytes) -> socket.socket:
        client.request(
            1,
            method="POST",
            path="/a",
            fields=[("host", "h")],
            body=body,
            is_answer=lambda fields: True,
            left_s=5.0,
        )
        return list(client.conns)[-1]

    sock = request(b"12")
    spent_s = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
    each_s = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL)
    probes = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT)
    assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    assert spent_s + each_s * probes <= 3.0
    unacked_ms = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
    assert 0 < unacked_ms <= 3000
    # A target may leave a long body unread for as long as it likes.
    sock = request(bytes(target_client.MAX_WHOLE_BODY_BYTES + 1))
    assert not sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
