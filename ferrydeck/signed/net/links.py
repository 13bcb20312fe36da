"""Links for call messages: one TCP connection from a caller's daemon to a target's.

Answers return on the same connection. Owns the connections and the messages queued
until they are established; the core must retry messages reported as blocked. Other
messages use `pynng` (see `peers.py`), which adds latency and does not report closed
connections; docs/design/signed-rounds.md has the figures.
"""

from __future__ import annotations

import socket
from collections.abc import Callable

import attrs

from ferrydeck import clock
from ferrydeck.net import frame_links, poller, sockets
from ferrydeck.signed.core import effects, events
from ferrydeck.signed.wire import codec, messages

MAX_BACKLOG_BYTES = 4 * 1024 * 1024
"""Unsent bytes on a link above which new messages are reported as blocked."""
REQUESTS = (messages.Forward, messages.Cancel, messages.Credit)
REPLIES = (
    messages.Answer,
    messages.Refused,
    messages.Uncertain,
    messages.Part,
    messages.Broken,
)
CALL_MESSAGES = REQUESTS + REPLIES
IDLE_TIMEOUT_S = 60.0
"""Idle time after which a link is closed, seconds."""


@attrs.define(kw_only=True, eq=False)
class Link(frame_links.Link):
    """A connection to another daemon."""

    box: str = ""
    incarnation: int = 0
    """Incarnation of the remote daemon of an incoming link."""
    last_sent: float = 0.0
    """When the last message was sent; time of `clock.now`."""
    queue: list[effects.SendPeer] = attrs.Factory(list)
    """Messages queued until the connection is established."""


class Links(frame_links.FrameLinks):
    """Sends and receives call messages."""

    max_frame_bytes = codec.MAX_MESSAGE_BYTES

    def __init__(
        self,
        *,
        poller: poller.Poller,
        cluster: str,
        ip: str,
        port: int,
        encode: Callable[[effects.SendPeer], bytes],
        feed: Callable[[events.Event], None],
    ) -> None:
        super().__init__(poller=poller, channel="links", ip=ip, port=port)
        self.cluster = cluster
        self.encode = encode
        self.feed = feed
        self.outgoing: dict[str, Link] = {}
        """Outgoing links by address."""
        self.incoming: dict[tuple[str, int], Link] = {}
        """Incoming links by box and incarnation of the remote daemon."""

    def send_peer(self, effect: effects.SendPeer) -> None:
        """Send a call message, or report that it was not sent."""
        if isinstance(effect.message, REPLIES):
            link = self.incoming.get((effect.box, effect.incarnation))
            if link is not None:
                self._write(link, effect)
            return
        link = self.outgoing.get(effect.address) or self._dial(effect)
        if link is None or len(link.outbuf) > MAX_BACKLOG_BYTES:
            self._report_blocked(effect)
        elif link.connected:
            self._write(link, effect)
        else:
            link.queue.append(effect)

    def sweep(self, now: float) -> None:
        """Close idle outgoing links."""
        for link in list(self.outgoing.values()):
            if now - link.last_sent > IDLE_TIMEOUT_S and not link.outbuf:
                self.close_conn(link)

    def link_accepted(self, sock: socket.socket) -> None:
        """Register an incoming link."""
        self.add_conn(Link(sock=sock, connected=True))

    def link_connected(self, link: Link) -> None:
        """Send the messages queued for the connection."""
        queue, link.queue = link.queue, []
        for effect in queue:
            self._write(link, effect)

    def frame_read(self, link: Link, frame: bytes, flags: int) -> None:
        """Decode a call message and feed it to the core."""
        received = codec.decode(frame, cluster=self.cluster)
        if isinstance(received, codec.Undecodable):
            self.faults[received.fault] += 1
            return
        if not link.address:
            self._register_incoming(link, received.envelope)
        self.feed(events.PeerReceived(received=received))

    def connection_lost(self, link: Link) -> None:
        """Report unsent messages as blocked, and the loss of an outgoing link."""
        if self.outgoing.get(link.address) is link:
            del self.outgoing[link.address]
        if self.incoming.get((link.box, link.incarnation)) is link:
            del self.incoming[link.box, link.incarnation]
        for effect in link.queue:
            self._report_blocked(effect)
        if link.address and link.connected:
            self.feed(events.PeerLost(address=link.address))

    def _dial(self, effect: effects.SendPeer) -> Link | None:
        sock = sockets.dial(effect.address)
        if sock is None:
            return None
        link = Link(sock=sock, address=effect.address, last_sent=clock.now())
        self.outgoing[effect.address] = link
        self.add_conn(link)
        self.await_writable(link)
        return link

    def _write(self, link: Link, effect: effects.SendPeer) -> None:
        frame = self.encode(effect)
        self.bytes_out += len(frame)
        link.last_sent = clock.now()
        self.send(link, frame_links.LENGTH_PREFIX.pack(len(frame)) + frame)

    def _report_blocked(self, effect: effects.SendPeer) -> None:
        self.feed(events.PeerBlocked(box=effect.box, message=effect.message))

    def _register_incoming(self, link: Link, envelope: messages.Envelope) -> None:
        """Register an incoming link for answers to the remote daemon."""
        identity = (envelope.box, envelope.incarnation)
        if self.incoming.get(identity) is not link:
            link.box, link.incarnation = identity
            self.incoming[identity] = link
