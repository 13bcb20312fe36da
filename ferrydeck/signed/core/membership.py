"""The daemons that this one knows: member records, news and their spread.

A change of a record is sent at once to the boxes in contact and to a few more,
and each box to which it is news passes it on. A summary sent to one random box a
second finds what got lost. No box is declared dead here.
"""

from __future__ import annotations

import attrs

from ferrydeck.signed.core import context, effects, hashes
from ferrydeck.signed.wire import messages

DIGEST_INTERVAL_S = 1.0
GOSSIP_FANOUT = 3
MAX_CONTACT_AGE_S = 30.0
"""How long a box counts as in contact after its last message, seconds."""
LEAVING_PEER_TIMEOUT_S = 120.0
"""How long a leaving box that sends nothing is remembered, seconds."""
PEER_TIMEOUT_S = 7200.0
"""How long any box that sends nothing to anyone is remembered, seconds."""
WATCHERS_PER_DATA_CENTRE = 3
"""Boxes a data centre that watch the platform for all of it."""
HELLO_INTERVAL_S = 1.0


@attrs.define(kw_only=True, frozen=True)
class DigestTimer:
    """Time to compare notes with one other box."""


@attrs.define(kw_only=True)
class Peer:
    """A box as this daemon sees it."""

    member: messages.Member
    confirmed: bool
    """Whether the record comes from the box itself, not the platform's list."""
    last_message: float
    listed_leaving: bool = False
    last_hello: float = -1e9
    min_clock_difference: float = float("inf")

    @property
    def accepts_work(self) -> bool:
        """Return whether new work may be sent there."""
        state = self.member.state
        return (
            self.confirmed and state is messages.State.LIVE and not self.listed_leaving
        )


@attrs.define(kw_only=True)
class Membership:
    """The table of peers, and this daemon's own record."""

    ctx: context.Context
    seeds: tuple[str, ...] = ()
    peers: dict[str, Peer] = attrs.Factory(dict)
    own: messages.Member = attrs.field(init=False)
    version: int = 0
    """Rises whenever the table changes, for caches made from it."""
    _listed_states: dict[str, str] = attrs.Factory(dict)
    _list_received: bool = False

    def __attrs_post_init__(self) -> None:
        identity = self.ctx.identity
        self.own = messages.Member(
            box=identity.box,
            incarnation=identity.incarnation,
            sequence=1,
            address=identity.address,
            call_address=identity.call_address,
            data_centre=identity.data_centre,
            region=identity.region,
            service=identity.service,
            state=messages.State.LIVE,
        )

    def start(self, now: float) -> None:
        """Introduce this daemon to the boxes in its settings."""
        for address in self.seeds:
            if address != self.own.address:
                self._send_to_address(
                    address, messages.Hello(member=self.own, relay=True)
                )
        self.ctx.schedule(
            now + DIGEST_INTERVAL_S * self.ctx.rng.random(), DigestTimer()
        )

    def update_own_record(self, now: float, **changes: object) -> None:
        """Change this daemon's own record and send it out."""
        self.own = attrs.evolve(self.own, sequence=self.own.sequence + 1, **changes)
        self.version += 1
        news = messages.Hello(member=self.own, relay=True)
        recent = [
            peer
            for peer in self.peers.values()
            if now - peer.last_message < MAX_CONTACT_AGE_S
        ]
        for peer in recent or self._sample(GOSSIP_FANOUT):
            self.send(peer, news)

    def send(self, peer: Peer, message: messages.Message) -> None:
        """Send a message to a peer."""
        member = peer.member
        self.ctx.send(member.box, member.address, member.incarnation, message)

    def message_received(self, now: float, envelope: messages.Envelope) -> float:
        """Note a message of a peer; return how long it was held up, seconds.

        The clocks of two boxes have nothing in common, so the shortest
        difference seen so far stands for a message that was not held up.
        """
        peer = self.peers.get(envelope.box)
        if peer is None or envelope.incarnation > peer.member.incarnation:
            self._add_unknown_peer(now, envelope)
            return 0.0
        if envelope.incarnation < peer.member.incarnation:
            return 0.0
        peer.last_message = now
        if not peer.confirmed and now - peer.last_hello > HELLO_INTERVAL_S:
            peer.last_hello = now
            self.send(peer, messages.Hello(member=self.own))
        difference = now - envelope.sent
        peer.min_clock_difference = min(peer.min_clock_difference, difference)
        return difference - peer.min_clock_difference

    def handle_hello(self, now: float, news: messages.Hello) -> None:
        """Take in a record; pass it on where it is news."""
        if not self._merge_record(now, news.member, 0.0) or not news.relay:
            return
        for peer in self._sample(GOSSIP_FANOUT):
            if peer.member.box != news.member.box:
                self.send(peer, news)

    def handle_digest(
        self, now: float, envelope: messages.Envelope, summary: messages.Digest
    ) -> None:
        """Compare a summary with this table; send the table where they differ."""
        peer = self.peers.get(envelope.box)
        if peer is None or summary.members == self.checksum():
            return
        self.send(peer, messages.Members(members=self._records_with_silence(now)))
        if not summary.answer_wanted:
            return
        self.send(peer, messages.Digest(members=self.checksum()))

    def handle_members(self, now: float, received: messages.Members) -> None:
        """Take in a table of records."""
        for one in received.members:
            if one.silent_s < PEER_TIMEOUT_S:
                self._merge_record(now, one.member, one.silent_s)
            if one.listed_leaving:
                member = one.member
                self.mark_listed_leaving(member.box, member.incarnation)

    def update_box_list(
        self, now: float, boxes: tuple[object, ...]
    ) -> list[messages.Member]:
        """Take in the platform's list; return the boxes newly listed as leaving.

        The list lags, so only a change to leaving that was seen here counts: a
        box that has started anew may be listed as leaving for some time yet.
        """
        leaving = []
        first, self._list_received = not self._list_received, True
        for entry in boxes:
            before = self._listed_states.get(entry.box)
            self._listed_states[entry.box] = entry.state
            if entry.box not in self.peers and entry.box != self.own.box:
                self._send_to_address(entry.address, messages.Hello(member=self.own))
            turned = before != entry.state == messages.State.LEAVING
            if turned and not first and entry.box in self.peers:
                leaving.append(self.peers[entry.box].member)
        for member in leaving:
            self.mark_listed_leaving(member.box, member.incarnation)
        return leaving

    def mark_listed_leaving(self, box: str, incarnation: int) -> None:
        """Send a box no new work until it starts anew."""
        peer = self.peers.get(box)
        if peer is None or peer.listed_leaving:
            return
        if peer.member.incarnation != incarnation:
            return
        peer.listed_leaving = True
        self.version += 1

    def run_digest_round(self, now: float) -> None:
        """Compare notes with one random box, and forget those long gone."""
        self.ctx.schedule(
            now + DIGEST_INTERVAL_S * (0.5 + self.ctx.rng.random()), DigestTimer()
        )
        for peer in self._sample(1):
            summary = messages.Digest(members=self.checksum(), answer_wanted=True)
            self.send(peer, summary)
        if not self.peers:
            self._contact_seed()
        for box in self._expired_peers(now):
            del self.peers[box]
            self.version += 1
            self.ctx.emit(effects.ForgetPeer(box=box))

    def records(self) -> tuple[messages.Member, ...]:
        """Return all records that come from their boxes."""
        known = [peer.member for peer in self.peers.values() if peer.confirmed]
        return (self.own, *known)

    def _records_with_silence(self, now: float) -> tuple[messages.KnownMember, ...]:
        """Return the records with the time since the last messages of their boxes."""
        known = [
            messages.KnownMember(
                member=peer.member,
                silent_s=now - peer.last_message,
                listed_leaving=peer.listed_leaving,
            )
            for peer in self.peers.values()
            if peer.confirmed
        ]
        return (messages.KnownMember(member=self.own, silent_s=0.0), *known)

    def checksum(self) -> int:
        """Return a number that is the same for the same table."""
        total = 0
        for member in self.records():
            text = f"{member.box}/{member.incarnation}/{member.sequence}"
            total ^= hashes.hash64(text)
        return total

    def is_watcher(self) -> bool:
        """Return whether this box watches the platform for its data centre."""
        names = [self.own.box]
        names += [
            box
            for box, peer in self.peers.items()
            if peer.member.data_centre == self.own.data_centre and peer.accepts_work
        ]
        names.sort(key=hashes.hash64)
        return self.own.box in names[:WATCHERS_PER_DATA_CENTRE]

    def sample(self, count: int) -> list[Peer]:
        """Return up to `count` random peers."""
        return self._sample(count)

    def _add_unknown_peer(self, now: float, envelope: messages.Envelope) -> None:
        """Make a record of a box known by its message alone."""
        before = self.peers.get(envelope.box)
        member = messages.Member(
            box=envelope.box,
            incarnation=envelope.incarnation,
            sequence=0,
            address=envelope.address,
            call_address="",
            data_centre=before.member.data_centre if before else "",
            region=before.member.region if before else "",
            service="",
            state=messages.State.LIVE,
        )
        peer = Peer(member=member, confirmed=False, last_message=now, last_hello=now)
        self.peers[envelope.box] = peer
        self.version += 1
        if before is not None:
            self.ctx.emit(effects.ForgetPeer(box=envelope.box))
        self.send(peer, messages.Hello(member=self.own))

    def _merge_record(
        self, now: float, member: messages.Member, silent_s: float
    ) -> bool:
        """Take in one record; return whether it was news."""
        if member.box == self.own.box:
            return False
        last_message = now - silent_s
        peer = self.peers.get(member.box)
        if peer is None:
            self.peers[member.box] = Peer(
                member=member, confirmed=True, last_message=last_message
            )
            self.version += 1
            return True
        peer.last_message = max(peer.last_message, last_message)
        age = (peer.member.incarnation, peer.member.sequence)
        if (member.incarnation, member.sequence) <= age:
            return False
        restarted = member.incarnation > peer.member.incarnation
        if restarted:
            self.ctx.emit(effects.ForgetPeer(box=member.box))
            peer.listed_leaving = False
            peer.min_clock_difference = float("inf")
        if member.state is not peer.member.state:
            self.ctx.audit("member", f"{member.box} is {member.state}")
        peer.member = member
        peer.confirmed = True
        self.version += 1
        return True

    def _expired_peers(self, now: float) -> list[str]:
        return [
            box
            for box, peer in self.peers.items()
            if now - peer.last_message
            > (PEER_TIMEOUT_S if peer.accepts_work else LEAVING_PEER_TIMEOUT_S)
        ]

    def _contact_seed(self) -> None:
        others = [one for one in self.seeds if one != self.own.address]
        if others:
            address = self.ctx.rng.choice(others)
            self._send_to_address(address, messages.Hello(member=self.own, relay=True))

    def _send_to_address(self, address: str, message: messages.Message) -> None:
        """Send to a box of which only the address is known."""
        self.ctx.send(f"@{address}", address, 0, message)

    def _sample(self, count: int) -> list[Peer]:
        peers = list(self.peers.values())
        if len(peers) <= count:
            return peers
        return self.ctx.rng.sample(peers, count)
