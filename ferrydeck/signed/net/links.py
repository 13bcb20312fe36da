"""The links that calls travel on: one TCP connection from a caller's daemon to a
target's, answers come back on it.

Owns these connections and the messages that wait for one to stand; relies on the core
to retry what it reports as blocked. `pynng` carries everything else between daemons. It
did not fit the call path: its threads add 0.5 ms at the median and 4 ms at the 99th of
100 round trips (docs/design/signed-rounds.md has the figures), and it can't report that
a connection ended.
"""

from __future__ import annotations

import socket
from collections.abc import Callable

import attrs

from ferrydeck import clock
from ferrydeck.net import frame_links, poller, sockets
from ferrydeck.signed.core import effects, events
from ferrydeck.signed.wire import codec, messages

BACKLOG = 4 * 1024 * 1024
"""Unsent bytes on a link from which on new calls count as blocked."""
REQUESTS = (messages.Forward, messages.Cancel, messages.Credit)
REPLIES = (
    messages.Answer,
    messages.Refused,
    messages.Uncertain,
    messages.Part,
    messages.Broken,
)
CALL_MESSAGES = REQUESTS + REPLIES
IDLE_S = 60.0
"""After this long without a message a link is closed, seconds."""


@attrs.define(kw_only=True, eq=False)
class Link(frame_links.Link):
    """A connection with another daemon."""

    box: str = ""
    incarnation: int = 0
    """The daemon at the other end of an incoming link."""
    used: float = 0.0
    """When a message was last sent on it; time of `clock.now`."""
    waiting: list[effects.SendPeer] = attrs.Factory(list)
    """Messages from before the connection stood; none of them has left."""


class Links(frame_links.FrameLinks):
    """Sends and receives the messages of calls."""

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
        self.out: dict[str, Link] = {}
        """Links that were dialled, by their address."""
        self.back: dict[tuple[str, int], Link] = {}
        """Incoming links, by the box and incarnation at their other end."""

    def send_peer(self, effect: effects.SendPeer) -> None:
        """Send a message of a call, or report that it was not sent."""
        if isinstance(effect.message, REPLIES):
            link = self.back.get((effect.box, effect.incarnation))
            if link is not None:
                self._write(link, effect)
            return
        link = self.out.get(effect.address) or self._dial(effect)
        if link is None or len(link.outbuf) > BACKLOG:
            self._blocked(effect)
        elif link.connected:
            self._write(link, effect)
        else:
            link.waiting.append(effect)

    def sweep(self, now: float) -> None:
        """Close the links that nothing was sent on for long."""
        for link in list(self.out.values()):
            if now - link.used > IDLE_S and not link.outbuf:
                self.close_conn(link)

    def link_accepted(self, sock: socket.socket) -> None:
        """Read a link that another daemon made."""
        self.add_conn(Link(sock=sock, connected=True))

    def link_connected(self, link: Link) -> None:
        """Send what waited for the connection."""
        waiting, link.waiting = link.waiting, []
        for effect in waiting:
            self._write(link, effect)

    def frame_read(self, link: Link, frame: bytes, flags: int) -> None:
        """Take a message of a call."""
        received = codec.decode(frame, cluster=self.cluster)
        if isinstance(received, codec.Undecodable):
            self.faults[received.fault] += 1
            return
        if not link.address:
            self._remember(link, received.envelope)
        self.feed(events.PeerReceived(received=received))

    def connection_lost(self, link: Link) -> None:
        """Report what was not sent, and that what was sent may have arrived."""
        if self.out.get(link.address) is link:
            del self.out[link.address]
        if self.back.get((link.box, link.incarnation)) is link:
            del self.back[link.box, link.incarnation]
        for effect in link.waiting:
            self._blocked(effect)
        if link.address and link.connected:
            self.feed(events.PeerLost(address=link.address))

    def _dial(self, effect: effects.SendPeer) -> Link | None:
        sock = sockets.dial(effect.address)
        if sock is None:
            return None
        link = Link(sock=sock, address=effect.address, used=clock.now())
        self.out[effect.address] = link
        self.add_conn(link)
        self.await_writable(link)
        return link

    def _write(self, link: Link, effect: effects.SendPeer) -> None:
        frame = self.encode(effect)
        self.bytes_out += len(frame)
        link.used = clock.now()
        self.send(link, frame_links.LENGTH_PREFIX.pack(len(frame)) + frame)

    def _blocked(self, effect: effects.SendPeer) -> None:
        self.feed(events.PeerBlocked(box=effect.box, message=effect.message))

    def _remember(self, link: Link, envelope: messages.Envelope) -> None:
        """Keep the link on which answers go back to a daemon that called here."""
        identity = (envelope.box, envelope.incarnation)
        if self.back.get(identity) is not link:
            link.box, link.incarnation = identity
            self.back[identity] = link
