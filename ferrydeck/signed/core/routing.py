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

MAX_LOAD_AGE_S = 0.5
"""How long an announced load counts, seconds; it fades over that time."""
MAX_LEVEL_AGE_S = 0.3
"""How long an announced level counts, seconds."""
UNRESPONSIVE_TIMEOUT_S = 0.4
"""Time without an answer or any message after which a box is avoided, seconds."""
PROBE_INTERVAL_S = 1.0
"""How often an avoided box is tried with one call, seconds."""
LINK_FAILURE_BACKOFF_S = 0.3
"""How long a box is avoided whose connection took no more, seconds."""
SPILLOVER_LOAD_RATIO = 1.4
"""Load over limit at which the own data centre no longer goes first."""
REMOTE_PENALTY_RATIO = 0.5
"""Load over limit that a call to another data centre must save."""
MAX_OUTSTANDING = 512
"""Unanswered calls towards one box at most, to bound what lies in buffers."""


@attrs.define(kw_only=True, frozen=True)
class PathLevel:
    """The level of one route as announced by a target's daemon."""

    value: int
    received_at: float


@attrs.define(kw_only=True)
class BoxStats:
    """What this daemon knows of one target by the calls it sends there."""

    outstanding: collections.OrderedDict[int, float] = attrs.Factory(
        collections.OrderedDict
    )
    load: messages.Load | None = None
    load_received_at: float = -1e9
    outstanding_at_load: int = 0
    unanswered_since: float = float("inf")
    """When the first call was sent after the last message of the box."""
    last_probe: float = -1e9
    avoid_until: float = -1e9
    path_levels: dict[str, PathLevel] = attrs.Factory(dict)
    incarnation: int = 0

    def load_ratio(self, now: float) -> float:
        """Return the load over the limit, with what was sent since it was announced."""
        mine = len(self.outstanding)
        if self.load is None or not self.load.limit:
            return mine / 16
        share = max(0.0, 1 - (now - self.load_received_at) / MAX_LOAD_AGE_S)
        others = max(0, self.load.running + self.load.queued - self.outstanding_at_load)
        return (mine + others * share) / self.load.limit

    def is_unresponsive(self, now: float) -> bool:
        """Return whether a call was sent there and nothing was received for some time.

        That stays so when the call is given up: only a message of the box ends it.
        """
        if now < self.avoid_until:
            return True
        slow = 3 * self.load.service_ms / 1000 if self.load else 0.0
        return now - self.unanswered_since > UNRESPONSIVE_TIMEOUT_S + slow

    def message_received(self, now: float) -> None:
        """Note a message of the box; calls still out wait from now on."""
        self.unanswered_since = now if self.outstanding else float("inf")

    def admission_level(self, now: float, path_key: str) -> int:
        """Return the level that the target announced lately for a route."""
        value = priority.TOP_LEVEL
        if self.load is not None and now - self.load_received_at <= MAX_LEVEL_AGE_S:
            value = self.load.level
        path = self.path_levels.get(path_key)
        if path is not None and now - path.received_at <= MAX_LEVEL_AGE_S:
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
    box_stats: dict[str, BoxStats] = attrs.Factory(dict)
    _candidates: dict[str, list[membership.Peer]] = attrs.Factory(dict)
    _local_candidates: dict[str, list[membership.Peer]] = attrs.Factory(dict)
    _shard_holders: dict[str, list[membership.Peer]] = attrs.Factory(dict)
    _members_version: int = -1
    _round_robin_counts: collections.Counter[str] = attrs.Factory(collections.Counter)

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
        near = self._local_candidates.get(service, [])
        if near and not isinstance(self.ctx.policy.box_chooser, policies.RoundRobin):
            # Most calls stay in the data centre, and its boxes are few.
            found = self._choose_among(now, service, near, number, path_key, tried)
            if isinstance(found, Chosen) and self._below_spillover(now, found.peer):
                return found
        found = self._choose_among(now, service, peers, number, path_key, tried)
        if isinstance(found, NoBox):
            return self._choose_unresponsive(now, peers, tried)
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
                one
                for one in usable
                if number <= self.stats_for(one).admission_level(now, path_key)
            ]
            if not open_ones:
                return Shed()
            usable = open_ones
        return Chosen(peer=self._select(now, service, usable))

    def candidates(self, service: str) -> list[membership.Peer]:
        """Return the boxes of a service that take work, this one included."""
        if self._members_version != self.members.version:
            self._members_version = self.members.version
            self._rebuild()
        return self._candidates.get(service, [])

    def shard_holders(self, service: str) -> list[membership.Peer]:
        """Return the boxes of a service that may hold shards: leaving ones too."""
        self.candidates(service)
        return self._shard_holders.get(service, [])

    def shard_owner(self, service: str, shard: int) -> membership.Peer | None:
        """Return the box that claims a shard, by the highest epoch."""
        best: tuple[int, membership.Peer] | None = None
        for peer in self.shard_holders(service):
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
        for peer in self.shard_holders(service):
            if peer.member.box == hint:
                return Chosen(peer=peer)
        owner = self.shard_owner(service, shard)
        if owner is not None and owner.member.box not in tried:
            return Chosen(peer=owner)
        fresh = [one for one in self.candidates(service) if one.member.box not in tried]
        return Chosen(peer=self.ctx.rng.choice(fresh)) if fresh else NoBox()

    def stats_for(self, peer: membership.Peer) -> BoxStats:
        """Return what is known of a target; a new incarnation starts afresh."""
        view = self.box_stats.get(peer.member.box)
        if view is None or view.incarnation != peer.member.incarnation:
            view = BoxStats(incarnation=peer.member.incarnation)
            self.box_stats[peer.member.box] = view
        return view

    def attempt_sent(self, now: float, peer: membership.Peer, attempt: int) -> None:
        """Note an attempt that was sent."""
        view = self.stats_for(peer)
        if view.is_unresponsive(now):
            view.last_probe = now
        view.outstanding[attempt] = now
        view.unanswered_since = min(view.unanswered_since, now)

    def admission_level(self, now: float, service: str, path_key: str) -> int:
        """Return the highest level that any box of the service announced lately."""
        peers = self.candidates(service)
        found = [self.stats_for(one).admission_level(now, path_key) for one in peers]
        return max(found, default=priority.TOP_LEVEL)

    def attempt_ended(
        self,
        now: float,
        box: str,
        attempt: int,
        load: messages.Load,
        path_key: str,
    ) -> None:
        """Note the end of an attempt, with the load announced with it."""
        view = self.box_stats.get(box)
        if view is None:
            return
        view.outstanding.pop(attempt, None)
        view.load = load
        if load.path_level < priority.TOP_LEVEL:
            view.path_levels[path_key] = PathLevel(
                value=load.path_level, received_at=now
            )
        else:
            view.path_levels.pop(path_key, None)
        view.load_received_at = now
        view.message_received(now)
        view.outstanding_at_load = len(view.outstanding)

    def attempt_abandoned(self, box: str, attempt: int) -> None:
        """Note that an attempt is not waited for any more."""
        view = self.box_stats.get(box)
        if view is not None:
            view.outstanding.pop(attempt, None)

    def is_unresponsive(self, now: float, box: str) -> bool:
        """Return whether calls wait at a box that sends nothing."""
        view = self.box_stats.get(box)
        return view is not None and view.is_unresponsive(now)

    def message_received(self, now: float, box: str) -> None:
        """Note any message of a box."""
        view = self.box_stats.get(box)
        if view is not None:
            view.message_received(now)

    def link_failed(self, now: float, box: str) -> None:
        """Note that a box's connection took no more."""
        view = self.box_stats.get(box)
        if view is not None:
            view.avoid_until = now + LINK_FAILURE_BACKOFF_S

    def _rebuild(self) -> None:
        self._candidates = collections.defaultdict(list)
        self._local_candidates = collections.defaultdict(list)
        self._shard_holders = collections.defaultdict(list)
        own = membership.Peer(
            member=self.members.own, has_record=True, last_message=0.0
        )
        known = [own, *self.members.peers.values()]
        for peer in sorted(known, key=lambda one: one.member.box):
            service = peer.member.service
            if service and peer.has_record:
                self._shard_holders[service].append(peer)
            if not service or not peer.accepts_work:
                continue
            self._candidates[service].append(peer)
            if peer.member.data_centre == self.ctx.identity.data_centre:
                self._local_candidates[service].append(peer)

    def _usable(self, now: float, peer: membership.Peer) -> bool:
        view = self.stats_for(peer)
        if len(view.outstanding) >= MAX_OUTSTANDING:
            return False
        return not view.is_unresponsive(now) or now - view.last_probe > PROBE_INTERVAL_S

    def _below_spillover(self, now: float, peer: membership.Peer) -> bool:
        return self.stats_for(peer).load_ratio(now) < SPILLOVER_LOAD_RATIO

    def _choose_unresponsive(
        self, now: float, peers: list[membership.Peer], tried: list[str]
    ) -> Chosen | NoBox:
        """Take a silent box rather than none, but never past its window."""
        room = [
            one
            for one in peers
            if one.member.box not in tried
            and len(self.stats_for(one).outstanding) < MAX_OUTSTANDING
            and now >= self.stats_for(one).avoid_until
        ]
        if not room:
            return NoBox()
        return Chosen(peer=self.ctx.rng.choice(room))

    def _select(
        self, now: float, service: str, peers: list[membership.Peer]
    ) -> membership.Peer:
        if isinstance(self.ctx.policy.box_chooser, policies.RoundRobin):
            self._round_robin_counts[service] += 1
            return peers[self._round_robin_counts[service] % len(peers)]
        centre = self.ctx.identity.data_centre
        near = [one for one in peers if one.member.data_centre == centre]
        far = [one for one in peers if one.member.data_centre != centre]
        if not near or not far:
            return self._least_loaded(now, near or far)
        best = self._least_loaded(now, near)
        if self.stats_for(best).load_ratio(now) < SPILLOVER_LOAD_RATIO:
            return best
        other = self._least_loaded(now, far)
        far_score = self.stats_for(other).load_ratio(now) + REMOTE_PENALTY_RATIO
        return other if far_score < self.stats_for(best).load_ratio(now) else best

    def _least_loaded(
        self, now: float, peers: list[membership.Peer]
    ) -> membership.Peer:
        match self.ctx.policy.box_chooser:
            case policies.LeastOfAll():
                sampled = peers
            case policies.IdleQueue(sample_size=sample_size):
                idle = [one for one in peers if self._is_idle(now, one)]
                if idle:
                    return self.ctx.rng.choice(idle)
                sampled = self._sample(peers, sample_size)
            case _:
                sampled = self._sample(peers, 2)
        scored = [(self.stats_for(one).load_ratio(now), one) for one in sampled]
        return min(scored, key=lambda pair: pair[0])[1]

    def _is_idle(self, now: float, peer: membership.Peer) -> bool:
        view = self.stats_for(peer)
        if view.load is None:
            return not view.outstanding
        return view.load_ratio(now) * view.load.limit < view.load.limit - 1

    def _sample(
        self, peers: list[membership.Peer], count: int
    ) -> list[membership.Peer]:
        if len(peers) <= count:
            return peers
        return self.ctx.rng.sample(peers, count)
