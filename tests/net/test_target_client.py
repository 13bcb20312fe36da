"""The pool of connections to a server, against a listening socket of the test."""

from __future__ import annotations

import socket
import struct

import pytest

from ferrydeck.mesh.net import target_client
from ferrydeck.net import poller, request_client

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Clock:
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.at = 100.0

    def now(self) -> float:
        return self.at


class Bench:
    """A client with a server whose connections the test holds."""

    def __init__(self) -> None:
        self.listening = socket.create_server(("127.0.0.1", 0))
        self.listening.settimeout(5)
        self.poller = poller.Poller()
        self.heard: list[target_client.Event] = []
        host, port = self.listening.getsockname()
        self.client = target_client.TargetClient(
            poller=self.poller, address=f"{host}:{port}", listener=self.heard.append
        )
        self.tickets = 0

    def request(self) -> None:
        self.tickets += 1
        self.client.request(
            self.tickets,
            method="GET",
            path="/a",
            fields=[("host", "h")],
            body=b"",
            is_answer=lambda fields: True,
            left_s=5.0,
        )

    def accept(self) -> socket.socket:
        conn, _ = self.listening.accept()
        self.step()
        return conn

    def answer(self, conn: socket.socket) -> None:
        before = len(self.heard)
        assert conn.recv(4096).startswith(b"GET /a")
        conn.sendall(ANSWER)
        while len(self.heard) == before:
            self.step()

    def step(self) -> None:
        for fileno, mask in self.poller._poller.poll(1.0):
            self.poller._process(fileno, mask)

    def forget(self, conn: socket.socket) -> None:
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        conn.close()


@pytest.fixture
def clock(monkeypatch):
    made = Clock()
    monkeypatch.setattr(target_client, "clock", made)
    return made


@pytest.fixture
def bench(clock):
    made = Bench()
    yield made
    made.listening.close()


def test_a_rested_connection_is_used_again(bench, clock):
    bench.request()
    conn = bench.accept()
    bench.answer(conn)
    clock.at += 1.0
    bench.request()
    bench.answer(conn)
    assert bench.client.opened == 1


def test_what_a_server_forgot_shortens_the_rest_of_all_connections(bench, clock):
    bench.request()
    first = bench.accept()
    bench.request()
    second = bench.accept()
    bench.answer(first)
    bench.answer(second)
    clock.at += 0.5
    bench.forget(second)
    bench.request()
    lost = bench.heard[-1]
    assert isinstance(lost, request_client.RequestFailed)
    assert lost.sent
    bench.request()
    third = bench.accept()
    bench.answer(third)
    assert bench.client.opened == 3
    clock.at += 0.2
    bench.request()
    bench.answer(third)
    assert bench.client.opened == 3
