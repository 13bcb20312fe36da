"""The table of the other daemons and the links to them.

Owns the state of each daemon (`peers`), and dials, pings and closes links when
`failure_detector` says that it is due. Daemons are found through the store's records,
the settings, and incoming links.
"""

from __future__ import annotations

import collections

import attrs

from ferrydeck.mesh import context, effects, messages, store
from ferrydeck.mesh.members import failure_detector, peers

LINK_CHECK_INTERVAL_S = 0.1
"""Interval between checks of links that are not idle, seconds."""
IDLE_LINK_CHECK_INTERVAL_S = 1.0
"""Interval between checks of all links, seconds; no idle link needs a ping sooner. A
check of 194 links takes 0.2 ms."""
MIN_REFRESH_PING_INTERVAL_S = 0.15
"""Shortest interval between pings of a daemon for a newer confirmation, seconds."""
DIAL_TIMEOUT_S = 1.0
"""Timeout of a dial and its handshake, seconds."""
MAX_REDIAL_DELAY_S = 1.0
"""Upper limit of the redial delay, seconds; a restarted box is linked soon."""
MAX_DEPARTED = 16
"""Names of departed incarnations that are remembered for each box."""


@attrs.define(kw_only=True, frozen=True)
class LinkCheckTimer:
    """Fires when links are to be checked."""


@attrs.define(kw_only=True)
class PeerTable:
    """The other daemons, by address, and the links to them."""

    ctx: context.Context
    by_address: dict[str, peers.Peer] = attrs.Factory(dict)
    departed: dict[str, collections.deque[str]] = attrs.Factory(dict)
    """The last target incarnations known to have left, by box."""
    _active: dict[str, peers.Peer] = attrs.Factory(dict)
    """Daemons whose links are not idle, by address; insertion order keeps simulations
    deterministic."""
    _next_full_check_at: float = 0.0
    """When all links are checked next."""
    candidates_changed: bool = True
    """Set when cached candidates are invalid; cleared by the code that caches them."""

    def start(self, now: float) -> None:
        """Schedule the first check of the links."""
        self.ctx.set_timer(now + LINK_CHECK_INTERVAL_S, LinkCheckTimer())

    def add_record(self, now: float, record: store.BoxRecord) -> None:
        """Add or update a daemon by its record."""
        if record.address == self.ctx.identity.address:
            return
        peer = self._get_or_add(now, record.address)
        peer.in_store = True
        if record.incarnation >= peer.incarnation:
            peer.box = record.box
            peer.data_centre = record.data_centre
            peer.service = record.service
        self.candidates_changed = True

    def add_address(self, now: float, address: str) -> None:
        """Add a daemon by its address only: one that dialled, or a seed."""
        if address == self.ctx.identity.address or address in self.by_address:
            return
        peer = self._get_or_add(now, address)
        peer.not_in_store_since = now

    def set_protocol_version(self, address: str, protocol: int) -> None:
        """Set the protocol version that a daemon stated when it dialled."""
        if (peer := self.by_address.get(address)) is not None:
            peer.protocol_version = protocol

    def replace_records(self, now: float, records: tuple[store.BoxRecord, ...]) -> None:
        """Update the table to all records in the store."""
        addresses = {one.address for one in records}
        for peer in self.by_address.values():
            if peer.in_store and peer.address not in addresses:
                peer.in_store = False
                peer.not_in_store_since = now
        for record in records:
            self.add_record(now, record)

    def any_link_up(self) -> bool:
        """Return whether a link to any other daemon is up."""
        return any(peer.link is peers.LinkState.UP for peer in self.by_address.values())

    def count_targets(self, service: str) -> int:
        """Return how many other daemons have a target of a service.

        A daemon without a link counts by its record.
        """
        return sum(peer.service == service for peer in self.by_address.values())

    def all_limited(self, service: str) -> bool:
        """Return whether each daemon that accepts requests for a service is limited."""
        return all(
            peer.rate_limit is not None
            for peer in self.by_address.values()
            if peer.service == service and peer.accepts_requests
        )

    def data_centre_rank(self) -> int:
        """Return how many linked daemons of this data centre precede this one."""
        own = self.ctx.identity
        return sum(
            peer.link is peers.LinkState.UP
            and peer.data_centre == own.data_centre
            and peer.address < own.address
            for peer in self.by_address.values()
        )

    def is_partitioned(self) -> bool:
        """Return whether other data centres are known, but none is linked."""
        own = self.ctx.identity.data_centre
        others = [
            peer
            for peer in self.by_address.values()
            if peer.data_centre not in ("", own)
        ]
        return bool(others) and all(
            one.link is not peers.LinkState.UP for one in others
        )

    def check_links(self, now: float) -> None:
        """Dial, ping and close links as due.

        Idle links are checked once a second only, as all they need is a rare ping.
        """
        self.ctx.set_timer(now + LINK_CHECK_INTERVAL_S, LinkCheckTimer())
        idle_interval_s = failure_detector.idle_ping_interval_s(len(self.by_address))
        for peer in self._peers_to_check(now):
            self._check_link(now, peer, idle_interval_s)
            is_known = self.by_address.get(peer.address) is peer
            if peer.idle or not is_known:
                self._active.pop(peer.address, None)
            else:
                self._active[peer.address] = peer

    def _peers_to_check(self, now: float) -> list[peers.Peer]:
        """Return the daemons whose links are to be checked now."""
        if now >= self._next_full_check_at:
            self._next_full_check_at = now + IDLE_LINK_CHECK_INTERVAL_S
            due = list(self.by_address.values())
        else:
            due = list(self._active.values())
        return due

    def resumed(self, pause_s: float) -> None:
        """Count no time as silence in which this process did not run."""
        for peer in self.by_address.values():
            peer.unanswered_since += pause_s

    def link_up(self, now: float, address: str) -> None:
        """Begin the handshake on a new link."""
        peer = self.by_address.get(address)
        if peer is None or peer.link is not peers.LinkState.DIALLING:
            return
        peer.link = peers.LinkState.HANDSHAKE
        identity = self.ctx.identity
        hello = messages.Hello(
            protocol=messages.PROTOCOL_VERSION,
            box=identity.box,
            incarnation=identity.incarnation,
            address=identity.address,
            data_centre=identity.data_centre,
            version=self.ctx.version,
            sent_s=now,
            departed=self.departed_incarnations(peer.box),
        )
        self.send(now, peer, hello)
        known = peer.protocol_version >= messages.MIN_RATE_LIMIT_PROTOCOL
        if known and peer.rate_limit is not None:
            self.send(now, peer, peer.rate_limit)

    def link_down(self, now: float, address: str) -> peers.Peer | None:
        """Mark a link as down; return its daemon."""
        peer = self.by_address.get(address)
        if peer is None or peer.link is peers.LinkState.DOWN:
            return None
        self._mark_down(now, peer, "ended")
        return peer

    def handshake_done(
        self, now: float, peer: peers.Peer, message: messages.Welcome
    ) -> None:
        """Complete the handshake on a link by the `Welcome` of its daemon."""
        restarted = peer.incarnation != message.incarnation
        peer.link = peers.LinkState.UP
        peer.redial_delay_s = peers.MIN_REDIAL_DELAY_S
        peer.box = message.box
        peer.incarnation = message.incarnation
        peer.data_centre = message.data_centre
        if (
            peer.data_centre != self.ctx.identity.data_centre
            and self.ctx.switches.compress_far
        ):
            self.ctx.emit(effects.DeflateOutgoing(address=peer.address))
        self.ctx.note(
            "link-regained",
            peer=peer.box,
            address=peer.address,
            restarted=restarted,
        )
        self.update_target_state(now, peer, message.target_state)

    def update_target_state(
        self, now: float, peer: peers.Peer, target_state: messages.TargetState
    ) -> None:
        """Update the target state that a daemon announced."""
        old = peer.target_state
        peer.target_state = target_state
        peer.service = target_state.service
        peer.cold_until = now + target_state.warmup_s
        self.candidates_changed = True
        if target_state.phase == messages.Phase.LEAVING and target_state.incarnation:
            self._add_departed(peer.box, target_state.incarnation)
        if old is None or (old.phase, old.incarnation) != (
            target_state.phase,
            target_state.incarnation,
        ):
            peer.reported_failure_ratio = 0.0
            self.ctx.note(
                "server-seen",
                outcome=target_state.phase,
                peer=peer.box,
                service=target_state.service,
                instance=target_state.incarnation,
            )

    def departed_incarnations(self, box: str) -> list[str]:
        """Return the incarnations of a box's target known to have left."""
        return list(self.departed.get(box, ()))

    def message_received(self, now: float, address: str) -> peers.Peer | None:
        """Record that a daemon sent a message; return the daemon if it is known."""
        peer = self.by_address.get(address)
        if peer is None:
            return None
        peer.last_received_at = now
        peer.unanswered_since = float("inf")
        peer.was_suspect = False
        return peer

    def send(self, now: float, peer: peers.Peer, message: messages.AnyMessage) -> None:
        """Send a message to a daemon whose link is up."""
        self._active[peer.address] = peer
        peer.last_sent_at = now
        peer.unanswered_since = min(peer.unanswered_since, now)
        self.ctx.send(peer.address, message)

    def close_link(self, now: float, peer: peers.Peer, reason: str) -> None:
        """Close a link; it is redialled later."""
        self.ctx.emit(effects.CloseLink(address=peer.address))
        self._mark_down(now, peer, reason)

    def find_by_ip(self, ip: str) -> peers.Peer | None:
        """Return the daemon at an IP address."""
        for peer in self.by_address.values():
            if peer.address.rpartition(":")[0] == ip:
                return peer
        return None

    def _add_departed(self, box: str, incarnation: str) -> None:
        known = self.departed.setdefault(box, collections.deque(maxlen=MAX_DEPARTED))
        if incarnation not in known:
            known.append(incarnation)

    def _get_or_add(self, now: float, address: str) -> peers.Peer:
        peer = self.by_address.get(address)
        if peer is None:
            jitter = 0.75 + 0.5 * self.ctx.rng.random()
            peer = peers.Peer(address=address, timer_at=now, ping_jitter=jitter)
            self.by_address[address] = peer
            self._active[address] = peer
            self.candidates_changed = True
        return peer

    def _check_link(self, now: float, peer: peers.Peer, idle_interval_s: float) -> None:
        """Take the action that is due for a daemon's link."""
        match failure_detector.next_action(now, peer):
            case failure_detector.RemovePeer():
                self._remove(peer)
            case failure_detector.Dial():
                self._dial(now, peer)
            case failure_detector.CloseLink(reason=reason):
                self.close_link(now, peer, reason)
            case failure_detector.KeepLink() if peer.link is peers.LinkState.UP:
                self._keep_alive(now, peer, idle_interval_s)

    def _remove(self, peer: peers.Peer) -> None:
        del self.by_address[peer.address]
        self.candidates_changed = True
        self.ctx.note("member-lost", peer=peer.box, address=peer.address)

    def _dial(self, now: float, peer: peers.Peer) -> None:
        peer.link = peers.LinkState.DIALLING
        peer.timer_at = now + DIAL_TIMEOUT_S
        peer.unanswered_since = float("inf")
        self.ctx.emit(effects.OpenLink(address=peer.address))

    def _keep_alive(self, now: float, peer: peers.Peer, idle_interval_s: float) -> None:
        """Ping a daemon if due, and its idle neighbours when it becomes suspect."""
        if failure_detector.is_suspect(now, peer) and not peer.was_suspect:
            peer.was_suspect = True
            self._ping_idle_in_data_centre(now, peer.data_centre)
        if failure_detector.ping_due(now, peer, idle_interval_s):
            self._ping(now, peer)

    def ping_for_confirmation(self, now: float) -> None:
        """Ping the first daemon of this data centre and a random one.

        The first one requests confirmations from the store before the others do.
        """
        linked = [p for p in self.by_address.values() if p.link is peers.LinkState.UP]
        if not linked:
            return
        own = self.ctx.identity.data_centre
        nearby = [p for p in linked if p.data_centre == own]
        first = min(nearby, key=lambda peer: peer.address, default=linked[0])
        for peer in (first, self.ctx.rng.choice(linked)):
            if now - peer.last_pinged_at >= MIN_REFRESH_PING_INTERVAL_S:
                self._ping(now, peer)

    def _ping_idle_in_data_centre(self, now: float, data_centre: str) -> None:
        """Ping the idle daemons of a data centre that has a suspect."""
        for peer in self.by_address.values():
            if peer.data_centre != data_centre:
                continue
            if failure_detector.ping_due_near_suspect(now, peer):
                self._ping(now, peer)

    def _ping(self, now: float, peer: peers.Peer) -> None:
        peer.last_pinged_at = now
        self.send(now, peer, messages.Ping(version=self.ctx.version, sent_s=now))

    def _mark_down(self, now: float, peer: peers.Peer, reason: str) -> None:
        self._active[peer.address] = peer
        if peer.link is peers.LinkState.UP:
            self.ctx.note(
                "link-lost", reason=reason, peer=peer.box, waiting=len(peer.in_flight)
            )
        peer.link = peers.LinkState.DOWN
        peer.unanswered_since = float("inf")
        peer.was_suspect = False
        peer.timer_at = now + peer.redial_delay_s * (0.5 + self.ctx.rng.random() / 2)
        peer.redial_delay_s = min(MAX_REDIAL_DELAY_S, 2 * peer.redial_delay_s)
        peer.target_state = None
        self.candidates_changed = True
