"""The table of the other daemons and the links to them.

Owns each daemon's record (`peers`) and the dialling, pinging and hanging up of links;
`suspicion` says when each of them is due. Relies on the store's records and on
addresses that daemons and the settings give.
"""

from __future__ import annotations

import collections

import attrs

from ferrydeck.mesh import context, effects, messages, store
from ferrydeck.mesh.members import failure_detector, peers

LINK_CHECK_INTERVAL_S = 0.1
"""How often links are looked after on which something is out, seconds."""
IDLE_LINK_CHECK_INTERVAL_S = 1.0
"""How often the others are, seconds: a link rests for as long at least before it is
asked, and a look at 194 links took 0.2 ms ten times a second."""
MIN_REFRESH_PING_INTERVAL_S = 0.15
"""Pause between two pings that ask a daemon for its newest state, seconds."""
DIAL_TIMEOUT_S = 1.0
"""A dial that takes longer, with its handshake, is given up, seconds."""
MAX_REDIAL_DELAY_S = 1.0
"""The longest pause between two dials, seconds: a box that is back is to serve soon."""
MAX_DEPARTED_INCARNATIONS = 16
"""Incarnations that have left and are remembered for a box, as names of a target."""


@attrs.define(kw_only=True, frozen=True)
class LinkCheckTimer:
    """Time to look after the links."""


@attrs.define(kw_only=True)
class PeerTable:
    """The other daemons by address, and the links to them."""

    ctx: context.Context
    by_address: dict[str, peers.Peer] = attrs.Factory(dict)
    departed: dict[str, collections.deque[str]] = attrs.Factory(dict)
    """The newest incarnations of targets that are known to have left, by box."""
    _active: dict[str, peers.Peer] = attrs.Factory(dict)
    """Those whose links are not up, or on which something is out, by address; in the
    order in which they came, so that a seed plays the same in each process."""
    _next_full_check_at: float = 0.0
    """When all links are looked at next."""
    candidates_changed: bool = True
    """Set when candidates may have changed; whoever caches them clears it."""

    def start(self, now: float) -> None:
        """Begin to look after links."""
        self.ctx.at(now + LINK_CHECK_INTERVAL_S, LinkCheckTimer())

    def add_record(self, now: float, record: store.BoxRecord) -> None:
        """Take the record of a daemon."""
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
        """Add a daemon by its address alone: one that dialled, or a seed."""
        if address == self.ctx.identity.address or address in self.by_address:
            return
        peer = self._get_or_add(now, address)
        peer.not_in_store_since = now

    def set_protocol_version(self, address: str, protocol: int) -> None:
        """Take the version of the protocol that a daemon has stated as it dialled."""
        if (peer := self.by_address.get(address)) is not None:
            peer.protocol_version = protocol

    def replace_records(self, now: float, records: tuple[store.BoxRecord, ...]) -> None:
        """Take all records that the store holds."""
        addresses = {one.address for one in records}
        for peer in self.by_address.values():
            if peer.in_store and peer.address not in addresses:
                peer.in_store = False
                peer.not_in_store_since = now
        for record in records:
            self.add_record(now, record)

    def any_link_up(self) -> bool:
        """Return whether a link to any other daemon is up."""
        return any(
            peer.link_state is peers.LinkState.UP for peer in self.by_address.values()
        )

    def count_targets(self, service: str) -> int:
        """Return how many other daemons have a target of a service.

        A daemon that is not linked counts by its record.
        """
        return sum(peer.service == service for peer in self.by_address.values())

    def data_centre_rank(self) -> int:
        """Return how many linked daemons of this data centre come before this one."""
        own = self.ctx.identity
        return sum(
            peer.link_state is peers.LinkState.UP
            and peer.data_centre == own.data_centre
            and peer.address < own.address
            for peer in self.by_address.values()
        )

    def is_partitioned(self) -> bool:
        """Return whether other data centres are known, and none of them is linked."""
        own = self.ctx.identity.data_centre
        others = [
            peer
            for peer in self.by_address.values()
            if peer.data_centre not in ("", own)
        ]
        return bool(others) and all(
            one.link_state is not peers.LinkState.UP for one in others
        )

    def check_links(self, now: float) -> None:
        """Dial, ping and hang up as it is due.

        Links on which nothing is out are looked at in turn, all of them once a second:
        all that such a link may need is a ping after a long rest.
        """
        self.ctx.at(now + LINK_CHECK_INTERVAL_S, LinkCheckTimer())
        idle_s = failure_detector.idle_ping_interval_s(len(self.by_address))
        for peer in self._peers_to_check(now):
            self._check_link(now, peer, idle_s)
            known = self.by_address.get(peer.address) is peer
            if peer.idle or not known:
                self._active.pop(peer.address, None)
            else:
                self._active[peer.address] = peer

    def _peers_to_check(self, now: float) -> list[peers.Peer]:
        """Return the daemons whose links are to be looked at now."""
        if now >= self._next_full_check_at:
            self._next_full_check_at = now + IDLE_LINK_CHECK_INTERVAL_S
            due = list(self.by_address.values())
        else:
            due = list(self._active.values())
        return due

    def link_up(self, now: float, address: str) -> None:
        """Begin the handshake on a link that was made."""
        peer = self.by_address.get(address)
        if peer is None or peer.link_state is not peers.LinkState.DIALLING:
            return
        peer.link_state = peers.LinkState.HANDSHAKE
        identity = self.ctx.identity
        hello = messages.Hello(
            protocol=messages.PROTOCOL,
            box=identity.box,
            incarnation=identity.incarnation,
            address=identity.address,
            data_centre=identity.data_centre,
            version=self.ctx.version,
            sent_s=now,
            left=self.departed_incarnations(peer.box),
        )
        self.send(now, peer, hello)

    def link_down(self, now: float, address: str) -> peers.Peer | None:
        """Record that a link ended; return the daemon it led to."""
        peer = self.by_address.get(address)
        if peer is None or peer.link_state is peers.LinkState.DOWN:
            return None
        self._mark_down(now, peer, "ended")
        return peer

    def handshake_done(
        self, now: float, peer: peers.Peer, message: messages.Welcome
    ) -> None:
        """Take a daemon's answer to `Hello`."""
        restarted = peer.incarnation != message.incarnation
        peer.link_state = peers.LinkState.UP
        peer.redial_delay_s = peers.MIN_REDIAL_DELAY_S
        peer.box = message.box
        peer.incarnation = message.incarnation
        peer.data_centre = message.data_centre
        if (
            peer.data_centre != self.ctx.identity.data_centre
            and self.ctx.switches.compress_far
        ):
            self.ctx.emit(effects.Deflate(address=peer.address))
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
        """Take the target state that a daemon announced."""
        old = peer.target_state
        peer.target_state = target_state
        peer.service = target_state.service
        peer.cold_until = now + target_state.cold_s
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
        """Return the incarnations of a box's target that are known to have left."""
        return list(self.departed.get(box, ()))

    def message_received(self, now: float, address: str) -> peers.Peer | None:
        """Record that a daemon sent something; return the daemon, if it is known."""
        peer = self.by_address.get(address)
        if peer is None:
            return None
        peer.last_received_at = now
        peer.unanswered_since = float("inf")
        peer.was_suspect = False
        return peer

    def send(self, now: float, peer: peers.Peer, message: messages.Any) -> None:
        """Send a message to a daemon whose link is up."""
        self._active[peer.address] = peer
        peer.last_sent_at = now
        peer.unanswered_since = min(peer.unanswered_since, now)
        self.ctx.send(peer.address, message)

    def close_link(self, now: float, peer: peers.Peer, reason: str) -> None:
        """Close a link, to be dialled anew."""
        self.ctx.emit(effects.HangUp(address=peer.address))
        self._mark_down(now, peer, reason)

    def find_by_ip(self, ip: str) -> peers.Peer | None:
        """Return the daemon at an IP address."""
        for peer in self.by_address.values():
            if peer.address.rpartition(":")[0] == ip:
                return peer
        return None

    def _add_departed(self, box: str, incarnation: str) -> None:
        known = self.departed.setdefault(
            box, collections.deque(maxlen=MAX_DEPARTED_INCARNATIONS)
        )
        if incarnation not in known:
            known.append(incarnation)

    def _get_or_add(self, now: float, address: str) -> peers.Peer:
        peer = self.by_address.get(address)
        if peer is None:
            spread = 0.75 + 0.5 * self.ctx.rng.random()
            peer = peers.Peer(address=address, dial_timer_at=now, ping_jitter=spread)
            self.by_address[address] = peer
            self._active[address] = peer
            self.candidates_changed = True
        return peer

    def _check_link(self, now: float, peer: peers.Peer, idle_s: float) -> None:
        """Do what is due for the link to a daemon."""
        match failure_detector.next_action(now, peer):
            case failure_detector.RemovePeer():
                self._remove(peer)
            case failure_detector.Dial():
                self._dial(now, peer)
            case failure_detector.CloseLink(reason=reason):
                self.close_link(now, peer, reason)
            case failure_detector.KeepLink() if peer.link_state is peers.LinkState.UP:
                self._keep_alive(now, peer, idle_s)

    def _remove(self, peer: peers.Peer) -> None:
        del self.by_address[peer.address]
        self.candidates_changed = True
        self.ctx.note("member-lost", peer=peer.box, address=peer.address)

    def _dial(self, now: float, peer: peers.Peer) -> None:
        peer.link_state = peers.LinkState.DIALLING
        peer.dial_timer_at = now + DIAL_TIMEOUT_S
        peer.unanswered_since = float("inf")
        self.ctx.emit(effects.Dial(address=peer.address))

    def _keep_alive(self, now: float, peer: peers.Peer, idle_s: float) -> None:
        """Ping a daemon where it is due, and the quiet ones beside a new suspect."""
        if failure_detector.is_suspect(now, peer) and not peer.was_suspect:
            peer.was_suspect = True
            self._ping_idle_in_data_centre(now, peer.data_centre)
        if failure_detector.ping_due(now, peer, idle_s):
            self._ping(now, peer)

    def ping_for_confirmation(self, now: float) -> None:
        """Ping the first daemon of this data centre and a random one for their state.

        The first one is asked as it asks the store before the others do.
        """
        linked = [
            one
            for one in self.by_address.values()
            if one.link_state is peers.LinkState.UP
        ]
        if not linked:
            return
        own = self.ctx.identity.data_centre
        near = [one for one in linked if one.data_centre == own]
        first = min(near, key=lambda one: one.address, default=linked[0])
        for peer in (first, self.ctx.rng.choice(linked)):
            if now - peer.last_pinged_at >= MIN_REFRESH_PING_INTERVAL_S:
                self._ping(now, peer)

    def _ping_idle_in_data_centre(self, now: float, data_centre: str) -> None:
        """Ping the quiet daemons of a data centre in which one is suspect."""
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
        if peer.link_state is peers.LinkState.UP:
            self.ctx.note(
                "link-lost", reason=reason, peer=peer.box, waiting=len(peer.in_flight)
            )
        peer.link_state = peers.LinkState.DOWN
        peer.unanswered_since = float("inf")
        peer.was_suspect = False
        peer.dial_timer_at = now + peer.redial_delay_s * (
            0.5 + self.ctx.rng.random() / 2
        )
        peer.redial_delay_s = min(MAX_REDIAL_DELAY_S, 2 * peer.redial_delay_s)
        peer.target_state = None
        self.candidates_changed = True
