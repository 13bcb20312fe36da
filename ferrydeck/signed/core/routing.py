"""The choice of box: which target's daemon a call is sent to.

Owns what this daemon knows of each target by the calls that it sends there: load,
level, silence. Relies on `membership` for which boxes take work. `Router.choose`
returns a box, or whether all would shed the call, or that there is none.
"""

from __future__ import annotations

import collections

import attrs

from ferrydeck.signed.core import context, membership, policies, priority
from ferrydeck.signed.wire import messages

LOAD_FRESH_S = 0.5
"""How long an announced load counts, seconds; it fades over that time."""
LEVEL_FRESH_S = 0.3
"""How long an announced level counts, seconds."""
SILENT_S = 0.4
"""Time without an answer or any message after which a box is avoided, seconds."""
PROBE_EVERY_S = 1.0
"""How often an avoided box is tried with one call, seconds."""
BLOCKED_S = 0.3
"""How long a box is avoided whose connection took no more, seconds."""
SPILL_SCORE = 1.4
"""Load over limit at which the own data centre no longer goes first."""
FAR_PENALTY = 0.5
"""Load over limit that a call to another data centre must save."""
WINDOW = 512
"""Unanswered calls towards one box at most, to bound what lies in buffers."""


@attrs.define(kw_only=True, frozen=True)
class PathLevel:
    """The level of one route as announced by a target's daemon."""

    value: int
    at: float


@attrs.define(kw_only=True)
class View:
    """What this daemon knows of one target by the calls it sends there."""

    outstanding: collections.OrderedDict[int, float] = attrs.Factory(
        collections.OrderedDict
    )
    load: messages.Load | None = None
    load_at: float = -1e9
    load_mine: int = 0
    waiting_since: float = float("inf")
    """When the first call was sent after the last message of the box."""
    probed: float = -1e9
    blocked_until: float = -1e9
    path_levels: dict[str, PathLevel] = attrs.Factory(dict)
    incarnation: int = 0

    def score(self, now: float) -> float:
        """Return the load over the limit, with what was sent since it was announced."""
        mine = len(self.outstanding)
        if self.load is None or not self.load.limit:
            return mine / 16
        share = max(0.0, 1 - (now - self.load_at) / LOAD_FRESH_S)
        others = max(0, self.load.running + self.load.queued - self.load_mine)
        return (mine + others * share) / self.load.limit

    def silent(self, now: float) -> bool:
        """Return whether a call was sent there and nothing was received for some time.

        That stays so when the call is given up: only a message of the box ends it.
        """
        if now < self.blocked_until:
            return True
        slow = 3 * self.load.service_ms / 1000 if self.load else 0.0
        return now - self.waiting_since > SILENT_S + slow

    def received(self, now: float) -> None:
        """Note a message of the box; calls still out wait from now on."""
        self.waiting_since = now if self.outstanding else float("inf")

    def level(self, now: float, path_key: str) -> int:
        """Return the level that the target announced lately for a route."""
        value = priority.TOP_LEVEL
        if self.load is not None and now - self.load_at <= LEVEL_FRESH_S:
            value = self.load.level
        path = self.path_levels.get(path_key)
        if path is not None and now - path.at <= LEVEL_FRESH_S:
            value = min(value, path.value)
        return value


@attrs.define(kw_only=True, frozen=True)
class Chosen:
    """The box to send to."""

    peer: membership.Peer


@attrs.define(kw_only=True, frozen=True)
class Shed:
    """Every box asked would refuse the call now."""


@attrs.define(kw_only=True, frozen=True)
class NoBox:
    """No box of the service takes work."""


@attrs.define(kw_only=True)
class Router:
    """Chooses among the boxes of a service."""

    ctx: context.Context
    members: membership.Membership
    views: dict[str, View] = attrs.Factory(dict)
    _candidates: dict[str, list[membership.Peer]] = attrs.Factory(dict)
    _near: dict[str, list[membership.Peer]] = attrs.Factory(dict)
    _holders: dict[str, list[membership.Peer]] = attrs.Factory(dict)
    _version: int = -1
    _turn: collections.Counter[str] = attrs.Factory(collections.Counter)

    def choose(
        self,
        now: float,
        service: str,
        *,
        number: int,
        path_key: str,
        tried: list[str],
    ) -> Chosen | Shed | NoBox:
        """Choose a box for a call of priority `number`, not one of `tried`."""
        peers = self.candidates(service)
        near = self._near.get(service, [])
        if near and not isinstance(self.ctx.policy.box_chooser, policies.RoundRobin):
            # Most calls stay in the data centre, and its boxes are few.
            found = self._choose_among(now, service, near, number, path_key, tried)
            if isinstance(found, Chosen) and self._has_space(now, found.peer):
                return found
        found = self._choose_among(now, service, peers, number, path_key, tried)
        if isinstance(found, NoBox):
            return self._last_resort(now, peers, tried)
        return found

    def _choose_among(
        self,
        now: float,
        service: str,
        peers: list[membership.Peer],
        number: int,
        path_key: str,
        tried: list[str],
    ) -> Chosen | Shed | NoBox:
        peers = [one for one in peers if one.member.box not in tried]
        usable = [one for one in peers if self._usable(now, one)]
        if not usable:
            return NoBox()
        if self.ctx.policy.shed_at_caller:
            open_ones = [
                one for one in usable if number <= self.view(one).level(now, path_key)
            ]
            if not open_ones:
                return Shed()
            usable = open_ones
        return Chosen(peer=self._pick(now, service, usable))

    def candidates(self, service: str) -> list[membership.Peer]:
        """Return the boxes of a service that take work, this one included."""
        if self._version != self.members.version:
            self._version = self.members.version
            self._rebuild()
        return self._candidates.get(service, [])

    def holders(self, service: str) -> list[membership.Peer]:
        """Return the boxes of a service that may hold shards: leaving ones too."""
        self.candidates(service)
        return self._holders.get(service, [])

    def owner(self, service: str, shard: int) -> membership.Peer | None:
        """Return the box that claims a shard, by the highest epoch."""
        best: tuple[int, membership.Peer] | None = None
        for peer in self.holders(service):
            for claim in peer.member.shards:
                if claim.shard != shard:
                    continue
                if best is None or claim.epoch > best[0]:
                    best = (claim.epoch, peer)
        return best[1] if best else None

    def choose_owner(
        self, service: str, shard: int, *, hint: str, tried: list[str]
    ) -> Chosen | NoBox:
        """Choose the box that owns a shard, or one that may know which does."""
        for peer in self.holders(service):
            if peer.member.box == hint:
                return Chosen(peer=peer)
        owner = self.owner(service, shard)
        if owner is not None and owner.member.box not in tried:
            return Chosen(peer=owner)
        fresh = [one for one in self.candidates(service) if one.member.box not in tried]
        return Chosen(peer=self.ctx.rng.choice(fresh)) if fresh else NoBox()

    def view(self, peer: membership.Peer) -> View:
        """Return what is known of a target; a new incarnation starts afresh."""
        view = self.views.get(peer.member.box)
        if view is None or view.incarnation != peer.member.incarnation:
            view = View(incarnation=peer.member.incarnation)
            self.views[peer.member.box] = view
        return view

    def sent(self, now: float, peer: membership.Peer, attempt: int) -> None:
        """Note an attempt that was sent."""
        view = self.view(peer)
        if view.silent(now):
            view.probed = now
        view.outstanding[attempt] = now
        view.waiting_since = min(view.waiting_since, now)

    def level(self, now: float, service: str, path_key: str) -> int:
        """Return the highest level that any box of the service announced lately."""
        peers = self.candidates(service)
        found = [self.view(one).level(now, path_key) for one in peers]
        return max(found, default=priority.TOP_LEVEL)

    def ended(
        self,
        now: float,
        box: str,
        attempt: int,
        load: messages.Load,
        path_key: str,
    ) -> None:
        """Note the end of an attempt, with the load announced with it."""
        view = self.views.get(box)
        if view is None:
            return
        view.outstanding.pop(attempt, None)
        view.load = load
        if load.path_level < priority.TOP_LEVEL:
            view.path_levels[path_key] = PathLevel(value=load.path_level, at=now)
        else:
            view.path_levels.pop(path_key, None)
        view.load_at = now
        view.received(now)
        view.load_mine = len(view.outstanding)

    def given_up(self, box: str, attempt: int) -> None:
        """Note that an attempt is not waited for any more."""
        view = self.views.get(box)
        if view is not None:
            view.outstanding.pop(attempt, None)

    def silent(self, now: float, box: str) -> bool:
        """Return whether calls wait at a box that sends nothing."""
        view = self.views.get(box)
        return view is not None and view.silent(now)

    def received(self, now: float, box: str) -> None:
        """Note any message of a box."""
        view = self.views.get(box)
        if view is not None:
            view.received(now)

    def blocked(self, now: float, box: str) -> None:
        """Note that a box's connection took no more."""
        view = self.views.get(box)
        if view is not None:
            view.blocked_until = now + BLOCKED_S

    def _rebuild(self) -> None:
        self._candidates = collections.defaultdict(list)
        self._near = collections.defaultdict(list)
        self._holders = collections.defaultdict(list)
        own = membership.Peer(member=self.members.own, known=True, last_message=0.0)
        known = [own, *self.members.peers.values()]
        for peer in sorted(known, key=lambda one: one.member.box):
            service = peer.member.service
            if service and peer.known:
                self._holders[service].append(peer)
            if not service or not peer.takes_work:
                continue
            self._candidates[service].append(peer)
            if peer.member.data_centre == self.ctx.identity.data_centre:
                self._near[service].append(peer)

    def _usable(self, now: float, peer: membership.Peer) -> bool:
        view = self.view(peer)
        if len(view.outstanding) >= WINDOW:
            return False
        return not view.silent(now) or now - view.probed > PROBE_EVERY_S

    def _has_space(self, now: float, peer: membership.Peer) -> bool:
        return self.view(peer).score(now) < SPILL_SCORE

    def _last_resort(
        self, now: float, peers: list[membership.Peer], tried: list[str]
    ) -> Chosen | NoBox:
        """Take a silent box rather than none, but never past its window."""
        room = [
            one
            for one in peers
            if one.member.box not in tried
            and len(self.view(one).outstanding) < WINDOW
            and now >= self.view(one).blocked_until
        ]
        if not room:
            return NoBox()
        return Chosen(peer=self.ctx.rng.choice(room))

    def _pick(
        self, now: float, service: str, peers: list[membership.Peer]
    ) -> membership.Peer:
        if isinstance(self.ctx.policy.box_chooser, policies.RoundRobin):
            self._turn[service] += 1
            return peers[self._turn[service] % len(peers)]
        centre = self.ctx.identity.data_centre
        near = [one for one in peers if one.member.data_centre == centre]
        far = [one for one in peers if one.member.data_centre != centre]
        if not near or not far:
            return self._least(now, near or far)
        best = self._least(now, near)
        if self.view(best).score(now) < SPILL_SCORE:
            return best
        other = self._least(now, far)
        far_score = self.view(other).score(now) + FAR_PENALTY
        return other if far_score < self.view(best).score(now) else best

    def _least(self, now: float, peers: list[membership.Peer]) -> membership.Peer:
        match self.ctx.policy.box_chooser:
            case policies.LeastOfAll():
                sampled = peers
            case policies.IdleQueue(sample_size=sample_size):
                idle = [one for one in peers if self._idle(now, one)]
                if idle:
                    return self.ctx.rng.choice(idle)
                sampled = self._draw(peers, sample_size)
            case _:
                sampled = self._draw(peers, 2)
        scored = [(self.view(one).score(now), one) for one in sampled]
        return min(scored, key=lambda pair: pair[0])[1]

    def _idle(self, now: float, peer: membership.Peer) -> bool:
        view = self.view(peer)
        if view.load is None:
            return not view.outstanding
        return view.score(now) * view.load.limit < view.load.limit - 1

    def _draw(self, peers: list[membership.Peer], count: int) -> list[membership.Peer]:
        if len(peers) <= count:
            return peers
        return self.ctx.rng.sample(peers, count)
