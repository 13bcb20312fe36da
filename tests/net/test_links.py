"""Links between daemons, of which one ends."""

from __future__ import annotations

import socket

import pytest

from ferrydeck.mesh import events, messages
from ferrydeck.mesh.net import links
from ferrydeck.net import poller

PARTS = 20
PART_BYTES = 8_000


class Daemon:
    """The links of one daemon."""

    def __init__(self) -> None:
        self.poller = poller.Poller()
        self.events: list[events.Event] = []
        self.links = links.Links(
            poller=self.poller, ip="127.0.0.1", port=0, feed=self.events.append
        )

    @property
    def address(self) -> str:
        host, port = self.links.listening.getsockname()
        return f"{host}:{port}"

    def step(self) -> None:
        for fileno, mask in self.poller._poller.poll(0.01):
            self.poller._process(fileno, mask)


@pytest.fixture
def pair():
    daemons = (Daemon(), Daemon())
    yield daemons
    for one in daemons:
        one.links.close()


# Guards against answers to callers of other boxes that are lost at a planned stop: the
# process ended while they were unsent on its links.
def test_unsent_messages_outlive_the_process(pair):
    ending, receiving = pair
    ending.links.open_link(receiving.address)
    while not receiving.links.incoming:
        ending.step()
        receiving.step()
    [link] = ending.links.outgoing.values()
    link.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    for number in range(PARTS):
        part = messages.AnswerPart(number=number, data=bytes(PART_BYTES), last=False)
        ending.links.send_outgoing(receiving.address, part)
    assert ending.links.unsent_bytes
    ending.links.enlarge_send_buffers()
    ending.links.close()
    while receiving.links.incoming:
        receiving.step()
    received = [one for one in receiving.events if hasattr(one, "message")]
    assert [one.message.number for one in received] == list(range(PARTS))
