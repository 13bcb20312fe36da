"""The connection pool of the target client."""

from __future__ import annotations

import socket
import struct

import pytest

from ferrydeck.mesh.net import target_client
from ferrydeck.net import poller, request_client

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Clock:
    """A clock controlled by the test."""

    def __init__(self) -> None:
        self.time = 100.0

    def now(self) -> float:
        return self.time


class ClientAndServer:
    """A client and a server whose connections the test controls."""

    def __init__(self) -> None:
        self.listening = socket.create_server(("127.0.0.1", 0))
        self.listening.settimeout(5)
        self.poller = poller.Poller()
        self.received: list[target_client.Event] = []
        host, port = self.listening.getsockname()
        self.client = target_client.TargetClient(
            poller=self.poller, address=f"{host}:{port}", listener=self.received.append
        )
        self.tickets = 0

    def request(self) -> None:
        self.tickets += 1
        self.client.request(
            self.tickets,
            request_id=f"r{self.tickets}",
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
        before = len(self.received)
        assert conn.recv(4096).startswith(b"GET /a")
        conn.sendall(ANSWER)
        while len(self.received) == before:
            self.step()

    def step(self) -> None:
        for fileno, mask in self.poller._poller.poll(1.0):
            self.poller._process(fileno, mask)

    def reset(self, conn: socket.socket) -> None:
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        conn.close()


@pytest.fixture
def clock(monkeypatch):
    instance = Clock()
    monkeypatch.setattr(target_client, "clock", instance)
    return instance


@pytest.fixture
def pair(clock):
    instance = ClientAndServer()
    yield instance
    instance.listening.close()


def test_an_idle_connection_is_reused(pair, clock):
    pair.request()
    conn = pair.accept()
    pair.answer(conn)
    clock.time += 1.0
    pair.request()
    pair.answer(conn)
    assert pair.client.opened == 1


def test_a_reset_idle_connection_shortens_the_idle_timeout_of_all(pair, clock):
    pair.request()
    first = pair.accept()
    pair.request()
    second = pair.accept()
    pair.answer(first)
    pair.answer(second)
    clock.time += 0.5
    pair.reset(second)
    pair.request()
    lost = pair.received[-1]
    assert isinstance(lost, request_client.RequestFailed)
    assert lost.sent
    pair.request()
    third = pair.accept()
    pair.answer(third)
    assert pair.client.opened == 3
    clock.time += 0.2
    pair.request()
    pair.answer(third)
    assert pair.client.opened == 3
