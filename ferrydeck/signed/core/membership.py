"""Gossip membership: the records of all known boxes.

Changes are relayed to random peers; periodic digests repair what was lost.
"""

from __future__ import annotations

import attrs

from ferrydeck.signed.core import context, effects, hashes
from ferrydeck.signed.wire import messages

DIGEST_INTERVAL_S = 1.0
GOSSIP_FANOUT = 3
MAX_CONTACT_AGE_S = 30.0
"""Age of the last message up to which a peer receives record changes directly."""
LEAVING_PEER_TIMEOUT_S = 120.0
"""Time without messages after which a leaving peer is removed."""
PEER_TIMEOUT_S = 7200.0
"""Time without messages to any box after which any peer is removed."""
WATCHERS_PER_DATA_CENTRE = 3
"""Number of boxes per data centre that watch the platform on behalf of all."""
HELLO_INTERVAL_S = 1.0


@attrs.define(kw_only=True, frozen=True)
class DigestTimer:
    """The next digest is due."""


@attrs.define(kw_only=True)
class Peer:
    """Another box as known to this daemon."""

    member: messages.Member
    confirmed: bool
    """Whether the box's own record has been received."""
    last_message: float
    listed_leaving: bool = False
    last_hello: float = -1e9
    min_clock_difference: float = float("inf")

    @property
    def accepts_work(self) -> bool:
        """Whether new work may be sent to the box."""
        state = self.member.state
        return (
            self.confirmed and state is messages.State.LIVE and not self.listed_leaving
        )


@attrs.define(kw_only=True)
class Membership:
    """The known peers and this daemon's own record."""

    ctx: context.Context
    seeds: tuple[str, ...] = ()
    peers: dict[str, Peer] = attrs.Factory(dict)
    own: messages.Member = attrs.field(init=False)
    version: int = 0
    """Incremented on every change, to invalidate caches."""
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
        """Announce this daemon to the seed addresses."""
        for address in self.seeds:
            if address != self.own.address:
                self._send_to(address, messages.Hello(member=self.own, relay=True))
        self.ctx.schedule(
            now + DIGEST_INTERVAL_S * self.ctx.rng.random(), DigestTimer()
        )

    def update_own_record(self, now: float, **changes: object) -> None:
        """Change this daemon's own record and send it to peers."""
        self.own = attrs.evolve(self.own, sequence=self.own.sequence + 1, **changes)
        self.version += 1
        hello = messages.Hello(member=self.own, relay=True)
        recent = [
            p for p in self.peers.values() if now - p.last_message < MAX_CONTACT_AGE_S
        ]
        for peer in recent or self._sample(GOSSIP_FANOUT):
            self.send(peer, hello)

    def send(self, peer: Peer, message: messages.Message) -> None:
        """Send a message to a peer."""
        member = peer.member
        self.ctx.send(member.box, member.address, member.incarnation, message)

    def message_received(self, now: float, envelope: messages.Envelope) -> float:
        """Record a message from a peer and return its queueing delay, in seconds."""
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
        # Clocks aren't synchronised: the smallest difference is taken as no delay.
        difference = now - envelope.sent
        peer.min_clock_difference = min(peer.min_clock_difference, difference)
        return difference - peer.min_clock_difference

    def handle_hello(self, now: float, hello: messages.Hello) -> None:
        """Merge a record, and relay it if it is new here."""
        if not self._merge(now, hello.member, 0.0) or not hello.relay:
            return
        for peer in self._sample(GOSSIP_FANOUT):
            if peer.member.box != hello.member.box:
                self.send(peer, hello)

    def handle_digest(
        self, now: float, envelope: messages.Envelope, digest: messages.Digest
    ) -> None:
        """Send all records to a peer whose digest differs from this table's."""
        peer = self.peers.get(envelope.box)
        if peer is None or digest.members == self.checksum():
            return
        self.send(peer, messages.Members(members=self._records_with_silence(now)))
        if not digest.answer_wanted:
            return
        self.send(peer, messages.Digest(members=self.checksum()))

    def handle_members(self, now: float, received: messages.Members) -> None:
        """Merge all records that a peer knows."""
        for known in received.members:
            if known.silent_s < PEER_TIMEOUT_S:
                self._merge(now, known.member, known.silent_s)
            if known.listed_leaving:
                member = known.member
                self.mark_listed_leaving(member.box, member.incarnation)

    def sync_list(self, now: float, boxes: tuple[object, ...]) -> list[messages.Member]:
        """Merge the platform's box list; return the boxes newly listed as leaving."""
        leaving = []
        is_first, self._list_received = not self._list_received, True
        for entry in boxes:
            before = self._listed_states.get(entry.box)
            self._listed_states[entry.box] = entry.state
            if entry.box not in self.peers and entry.box != self.own.box:
                self._send_to(entry.address, messages.Hello(member=self.own))
            # Only a change counts: a restarted box may still be listed as leaving.
            now_leaving = before != entry.state == messages.State.LEAVING
            if now_leaving and not is_first and entry.box in self.peers:
                leaving.append(self.peers[entry.box].member)
        for member in leaving:
            self.mark_listed_leaving(member.box, member.incarnation)
        return leaving

    def mark_listed_leaving(self, box: str, incarnation: int) -> None:
        """Stop sending new work to a box until it restarts."""
        peer = self.peers.get(box)
        if peer is None or peer.listed_leaving:
            return
        if peer.member.incarnation != incarnation:
            return
        peer.listed_leaving = True
        self.version += 1

    def run_digest_round(self, now: float) -> None:
        """Send a digest to a random peer and remove expired peers."""
        self.ctx.schedule(
            now + DIGEST_INTERVAL_S * (0.5 + self.ctx.rng.random()), DigestTimer()
        )
        for peer in self._sample(1):
            digest = messages.Digest(members=self.checksum(), answer_wanted=True)
            self.send(peer, digest)
        if not self.peers:
            self._contact_seed()
        for box in self._expired_peers(now):
            del self.peers[box]
            self.version += 1
            self.ctx.emit(effects.ForgetPeer(box=box))

    def records(self) -> tuple[messages.Member, ...]:
        """Return this daemon's record and all confirmed ones."""
        known = [peer.member for peer in self.peers.values() if peer.confirmed]
        return (self.own, *known)

    def _records_with_silence(self, now: float) -> tuple[messages.KnownMember, ...]:
        """Return all confirmed records with the time since each box's last message."""
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
        """Return a checksum of the records that does not depend on their order."""
        total = 0
        for member in self.records():
            text = f"{member.box}/{member.incarnation}/{member.sequence}"
            total ^= hashes.hash64(text)
        return total

    def is_watcher(self) -> bool:
        """Return whether this box watches the platform for its data centre."""
        boxes = [self.own.box]
        boxes += [
            box
            for box, peer in self.peers.items()
            if peer.member.data_centre == self.own.data_centre and peer.accepts_work
        ]
        boxes.sort(key=hashes.hash64)
        return self.own.box in boxes[:WATCHERS_PER_DATA_CENTRE]

    def sample(self, count: int) -> list[Peer]:
        """Return up to `count` random peers."""
        return self._sample(count)

    def _add_unknown_peer(self, now: float, envelope: messages.Envelope) -> None:
        """Add a peer of which only a message is known, without its record."""
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

    def _merge(self, now: float, member: messages.Member, silent_s: float) -> bool:
        """Merge one record and return whether it was new."""
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
        current = (peer.member.incarnation, peer.member.sequence)
        if (member.incarnation, member.sequence) <= current:
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
        others = [seed for seed in self.seeds if seed != self.own.address]
        if others:
            address = self.ctx.rng.choice(others)
            self._send_to(address, messages.Hello(member=self.own, relay=True))

    def _send_to(self, address: str, message: messages.Message) -> None:
        """Send a message to a box of which only the address is known."""
        self.ctx.send(f"@{address}", address, 0, message)

    def _sample(self, count: int) -> list[Peer]:
        peers = list(self.peers.values())
        if len(peers) <= count:
            return peers
        return self.ctx.rng.sample(peers, count)
