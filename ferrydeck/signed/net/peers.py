"""The messages between daemons that belong to no call: one PULL socket, one PUSH
socket a peer, by nng.

They carry members, bundles and shards; calls travel on the links of `links.py`. Owns
the sockets and the messages that one did not take at once; relies on the driver to call
`retry` while any wait. `pynng` must not be used across a fork.
"""

from __future__ import annotations

import collections
from collections.abc import Callable

import attrs
import circuits
import pynng

from ferrydeck import clock
from ferrydeck.net import poller
from ferrydeck.signed.core import effects, events
from ferrydeck.signed.wire import codec

BUFFERED = 64
"""Messages that nng may keep for a peer that does not take them."""
AT_ONCE = 128
"""Messages read before the loop goes on."""
KEPT = 1000
"""Messages that are kept for a peer whose socket takes none; the oldest go first."""
RETRY_EVERY_S = 0.01
"""How often kept messages are tried again, seconds."""
IDLE_S = 60.0
"""After this long without a message a socket is closed, seconds."""
RECONNECT_MIN_MS = 20
RECONNECT_MAX_MS = 500
"""Bounds of nng's waits between two dials of one peer, milliseconds."""


@attrs.define(kw_only=True, eq=False)
class Link:
    """The way out to one address."""

    sock: pynng.Push0
    used: float
    kept: collections.deque[bytes] = attrs.Factory(
        lambda: collections.deque(maxlen=KEPT)
    )


class Peers(circuits.BaseComponent):
    """Sends and receives the messages between daemons."""

    def __init__(
        self,
        *,
        poller: poller.Poller,
        cluster: str,
        box: str,
        incarnation: int,
        ip: str,
        port: int,
        version: Callable[[], int],
        feed: Callable[[events.Event], None],
    ) -> None:
        super().__init__(channel="peers")
        self.poller = poller
        self.cluster = cluster
        self.box = box
        self.incarnation = incarnation
        self.address = f"{ip}:{port}"
        self.version = version
        self.feed = feed
        self.links: dict[str, Link] = {}
        self.addresses: dict[str, str] = {}
        self.faults: collections.Counter[str] = collections.Counter()
        self.bytes_out = 0
        self.bytes_in = 0
        self.inbox = pynng.Pull0(
            listen=f"tcp://{self.address}",
            recv_max_size=codec.MAX_MESSAGE_BYTES,
            recv_buffer_size=BUFFERED,
        )
        self.fd = self.inbox.recv_fd
        self.poller.watch(self.fd, self.on_read, self.on_read)

    def on_read(self, source: object) -> None:
        """Read the messages that are there."""
        for _ in range(AT_ONCE):
            try:
                data = self.inbox.recv(block=False)
            except pynng.TryAgain:
                return
            except RuntimeError:
                # The library can't return a message without bytes.
                data = b""
            self._received(data)

    def encode(self, effect: effects.SendPeer) -> bytes:
        """Return the bytes of a message from this daemon."""
        return codec.encode(
            effect.message,
            cluster=self.cluster,
            box=self.box,
            incarnation=self.incarnation,
            address=self.address,
            receiver=effect.incarnation,
            bundle=self.version(),
            sent=clock.now(),
        )

    def send(self, effect: effects.SendPeer) -> None:
        """Send a message without waiting; keep it where the socket takes no more."""
        data = self.encode(effect)
        link = self._link(effect.box, effect.address)
        if link.kept or not self._push(link, data):
            link.kept.append(data)

    def forget(self, box: str) -> None:
        """Close the way to a box; what it buffers was for an earlier process."""
        address = self.addresses.pop(box, None)
        link = self.links.pop(address, None)
        if link is not None:
            link.sock.close()

    def retry(self) -> None:
        """Send what was kept, as far as the sockets take it."""
        for link in self.links.values():
            while link.kept and self._push(link, link.kept[0]):
                link.kept.popleft()

    @property
    def waiting(self) -> bool:
        """Whether any message is kept."""
        return any(link.kept for link in self.links.values())

    def sweep(self, now: float) -> None:
        """Close the links that nothing was sent on for long."""
        for address, link in list(self.links.items()):
            if now - link.used > IDLE_S and not link.kept:
                link.sock.close()
                del self.links[address]

    def close(self) -> None:
        """Close all sockets."""
        self.poller.unwatch(self.fd)
        self.inbox.close()
        for link in self.links.values():
            link.sock.close()
        self.links.clear()

    def _received(self, data: bytes) -> None:
        self.bytes_in += len(data)
        received = codec.decode(data, cluster=self.cluster)
        if isinstance(received, codec.Undecodable):
            self.faults[received.fault] += 1
            return
        self.feed(events.PeerReceived(received=received))

    def _link(self, box: str, address: str) -> Link:
        link = self.links.get(address)
        if link is None:
            sock = pynng.Push0(
                send_buffer_size=BUFFERED,
                reconnect_time_min=RECONNECT_MIN_MS,
                reconnect_time_max=RECONNECT_MAX_MS,
            )
            sock.dial(f"tcp://{address}", block=False)
            link = self.links[address] = Link(sock=sock, used=0.0)
        self.addresses[box] = address
        link.used = clock.now()
        return link

    def _push(self, link: Link, data: bytes) -> bool:
        try:
            link.sock.send(data, block=False)
        except pynng.TryAgain:
            return False
        self.bytes_out += len(data)
        return True
