"""Control messages between daemons over nng: one PULL socket, one PUSH socket per peer.

They carry membership, bundles and shards; calls use the links of `links.py`. Owns the
sockets and the messages queued for them; the driver must call `retry` while any are
queued. `pynng` must not be used across a fork.
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

NNG_BUFFER_SIZE = 64
"""Size of nng's send and receive buffers, messages."""
MAX_READS = 128
"""Maximum number of messages read per iteration of the loop."""
MAX_QUEUED = 1000
"""Maximum number of queued messages per peer; the oldest are dropped first."""
RETRY_INTERVAL_S = 0.01
"""Time between attempts to send queued messages, seconds."""
IDLE_TIMEOUT_S = 60.0
"""Idle time after which a socket is closed, seconds."""
MIN_RECONNECT_MS = 20
MAX_RECONNECT_MS = 500
"""Limits of nng's reconnect delay, milliseconds."""


@attrs.define(kw_only=True, eq=False)
class PeerSocket:
    """The PUSH socket for one address."""

    sock: pynng.Push0
    last_sent: float
    queue: collections.deque[bytes] = attrs.Factory(
        lambda: collections.deque(maxlen=MAX_QUEUED)
    )


class Peers(circuits.BaseComponent):
    """Sends and receives control messages."""

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
        self.sockets: dict[str, PeerSocket] = {}
        self.addresses: dict[str, str] = {}
        self.faults: collections.Counter[str] = collections.Counter()
        self.bytes_out = 0
        self.bytes_in = 0
        self.inbox = pynng.Pull0(
            listen=f"tcp://{self.address}",
            recv_max_size=codec.MAX_MESSAGE_BYTES,
            recv_buffer_size=NNG_BUFFER_SIZE,
        )
        self.fd = self.inbox.recv_fd
        self.poller.watch(self.fd, self.on_read, self.on_read)

    def on_read(self, source: object) -> None:
        """Read the available messages."""
        for _ in range(MAX_READS):
            try:
                data = self.inbox.recv(block=False)
            except pynng.TryAgain:
                return
            except RuntimeError:
                # pynng raises RuntimeError for an empty message.
                data = b""
            self._received(data)

    def encode(self, effect: effects.SendPeer) -> bytes:
        """Encode a message with this daemon's envelope."""
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
        """Send a message without blocking; queue it if the socket is full."""
        data = self.encode(effect)
        peer = self._get_socket(effect.box, effect.address)
        if peer.queue or not self._try_send(peer, data):
            peer.queue.append(data)

    def forget(self, box: str) -> None:
        """Close the socket of a box and discard messages to its old process."""
        address = self.addresses.pop(box, None)
        peer = self.sockets.pop(address, None)
        if peer is not None:
            peer.sock.close()

    def retry(self) -> None:
        """Send queued messages until the sockets are full."""
        for peer in self.sockets.values():
            while peer.queue and self._try_send(peer, peer.queue[0]):
                peer.queue.popleft()

    @property
    def waiting(self) -> bool:
        """Whether any message is queued."""
        return any(peer.queue for peer in self.sockets.values())

    def sweep(self, now: float) -> None:
        """Close idle sockets."""
        for address, peer in list(self.sockets.items()):
            if now - peer.last_sent > IDLE_TIMEOUT_S and not peer.queue:
                peer.sock.close()
                del self.sockets[address]

    def close(self) -> None:
        """Close all sockets."""
        self.poller.unwatch(self.fd)
        self.inbox.close()
        for peer in self.sockets.values():
            peer.sock.close()
        self.sockets.clear()

    def _received(self, data: bytes) -> None:
        self.bytes_in += len(data)
        received = codec.decode(data, cluster=self.cluster)
        if isinstance(received, codec.Undecodable):
            self.faults[received.fault] += 1
            return
        self.feed(events.PeerReceived(received=received))

    def _get_socket(self, box: str, address: str) -> PeerSocket:
        peer = self.sockets.get(address)
        if peer is None:
            sock = pynng.Push0(
                send_buffer_size=NNG_BUFFER_SIZE,
                reconnect_time_min=MIN_RECONNECT_MS,
                reconnect_time_max=MAX_RECONNECT_MS,
            )
            sock.dial(f"tcp://{address}", block=False)
            peer = self.sockets[address] = PeerSocket(sock=sock, last_sent=0.0)
        self.addresses[box] = address
        peer.last_sent = clock.now()
        return peer

    def _try_send(self, peer: PeerSocket, data: bytes) -> bool:
        try:
            peer.sock.send(data, block=False)
        except pynng.TryAgain:
            return False
        self.bytes_out += len(data)
        return True
