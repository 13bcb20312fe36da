"""Load balancing: chooses the box whose target serves a call.

Tracks load, admission level and responsiveness of each box from the calls sent to
it. `membership` tells which boxes accept work.
"""

from __future__ import annotations

import collections

import attrs

from ferrydeck.signed.core import context, membership, policies, priority
from ferrydeck.signed.wire import messages

MAX_LOAD_AGE_S = 0.5
"""Age at which a load report is ignored; its weight falls linearly until then."""
MAX_LEVEL_AGE_S = 0.3
"""Age at which an announced admission level is ignored."""
UNRESPONSIVE_TIMEOUT_S = 0.4
"""Time without any message after which a box with pending calls is avoided."""
PROBE_INTERVAL_S = 1.0
"""Interval at which one call is sent to an unresponsive box as a probe."""
LINK_FAILURE_BACKOFF_S = 0.3
"""How long a box is avoided after its connection was lost or its buffer was full."""
SPILLOVER_LOAD_RATIO = 1.4
"""Load ratio from which calls may spill over to other data centres."""
REMOTE_PENALTY_RATIO = 0.5
"""Added to the load ratio of boxes in other data centres in a comparison."""
MAX_OUTSTANDING = 512
"""Maximum number of unanswered attempts per box, which bounds the send buffers."""


@attrs.define(kw_only=True, frozen=True)
class PathLevel:
    """The admission level that a box announced for one route."""

    value: int
    time: float


@attrs.define(kw_only=True)
class BoxStats:
    """Load, admission levels and responsiveness of one box."""

    outstanding: collections.OrderedDict[int, float] = attrs.Factory(
        collections.OrderedDict
    )
    load: messages.Load | None = None
    load_received_at: float = -1e9
    outstanding_at_load: int = 0
    unanswered_since: float = float("inf")
    """When the first attempt was sent after the box's last message."""
    last_probe: float = -1e9
    avoid_until: float = -1e9
    path_levels: dict[str, PathLevel] = attrs.Factory(dict)
    incarnation: int = 0

    def load_ratio(self, now: float) -> float:
        """Return load divided by limit, including attempts sent since the report."""
        own = len(self.outstanding)
        if self.load is None or not self.load.limit:
            return own / 16
        weight = max(0.0, 1 - (now - self.load_received_at) / MAX_LOAD_AGE_S)
        others = max(0, self.load.running + self.load.queued - self.outstanding_at_load)
        return (own + others * weight) / self.load.limit

    def unresponsive(self, now: float) -> bool:
        """Return whether the box has sent nothing for too long since an attempt.

        Abandoning the attempt does not reset this; only a message from the box does.
        """
        if now < self.avoid_until:
            return True
        margin_s = 3 * self.load.service_ms / 1000 if self.load else 0.0
        return now - self.unanswered_since > UNRESPONSIVE_TIMEOUT_S + margin_s

    def message_received(self, now: float) -> None:
        """Restart the response timeout of outstanding attempts."""
        self.unanswered_since = now if self.outstanding else float("inf")

    def level(self, now: float, path_key: str) -> int:
        """Return the admission level in effect for a route."""
        value = priority.TOP_LEVEL
        if self.load is not None and now - self.load_received_at <= MAX_LEVEL_AGE_S:
            value = self.load.level
        route = self.path_levels.get(path_key)
        if route is not None and now - route.time <= MAX_LEVEL_AGE_S:
            value = min(value, route.value)
        return value


@attrs.define(kw_only=True, frozen=True)
class Chosen:
    """The box to send the attempt to."""

    peer: membership.Peer


@attrs.define(kw_only=True, frozen=True)
class Shed:
    """Every available box announced an admission level that refuses the call."""


@attrs.define(kw_only=True, frozen=True)
class NoBox:
    """No box of the service is available."""


@attrs.define(kw_only=True)
class Router:
    """Chooses the box for each attempt among the boxes of a service."""

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
        call_priority: int,
        path_key: str,
        tried: list[str],
    ) -> Chosen | Shed | NoBox:
        """Choose a box that is not in `tried`."""
        peers = self.candidates(service)
        local = self._local_candidates.get(service, [])
        if local and not isinstance(self.ctx.policy.box_chooser, policies.RoundRobin):
            # Avoids scanning the remote boxes in the common case.
            found = self._balance(now, service, local, call_priority, path_key, tried)
            if isinstance(found, Chosen) and self._below_spillover(now, found.peer):
                return found
        found = self._balance(now, service, peers, call_priority, path_key, tried)
        if isinstance(found, NoBox):
            return self._choose_unresponsive(now, peers, tried)
        return found

    def _balance(
        self,
        now: float,
        service: str,
        peers: list[membership.Peer],
        call_priority: int,
        path_key: str,
        tried: list[str],
    ) -> Chosen | Shed | NoBox:
        peers = [peer for peer in peers if peer.member.box not in tried]
        usable = [peer for peer in peers if self._usable(now, peer)]
        if not usable:
            return NoBox()
        if self.ctx.policy.shed_at_caller:
            admitting = [
                p for p in usable if call_priority <= self.stats(p).level(now, path_key)
            ]
            if not admitting:
                return Shed()
            usable = admitting
        return Chosen(peer=self._select(now, service, usable))

    def candidates(self, service: str) -> list[membership.Peer]:
        """Return the boxes of a service that accept work, including this box."""
        if self._members_version != self.members.version:
            self._members_version = self.members.version
            self._rebuild()
        return self._candidates.get(service, [])

    def shard_holders(self, service: str) -> list[membership.Peer]:
        """Return the boxes of a service that may own shards, including leaving ones."""
        self.candidates(service)
        return self._shard_holders.get(service, [])

    def shard_owner(self, service: str, shard: int) -> membership.Peer | None:
        """Return the box that claims a shard with the highest epoch."""
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
        """Choose the owner of a shard, or a random box that may redirect the call."""
        for peer in self.shard_holders(service):
            if peer.member.box == hint:
                return Chosen(peer=peer)
        owner = self.shard_owner(service, shard)
        if owner is not None and owner.member.box not in tried:
            return Chosen(peer=owner)
        others = [p for p in self.candidates(service) if p.member.box not in tried]
        return Chosen(peer=self.ctx.rng.choice(others)) if others else NoBox()

    def stats(self, peer: membership.Peer) -> BoxStats:
        """Return the stats of a box, which are reset on a new incarnation."""
        stats = self.box_stats.get(peer.member.box)
        if stats is None or stats.incarnation != peer.member.incarnation:
            stats = BoxStats(incarnation=peer.member.incarnation)
            self.box_stats[peer.member.box] = stats
        return stats

    def attempt_sent(self, now: float, peer: membership.Peer, attempt: int) -> None:
        """Record an attempt as outstanding."""
        stats = self.stats(peer)
        if stats.unresponsive(now):
            stats.last_probe = now
        stats.outstanding[attempt] = now
        stats.unanswered_since = min(stats.unanswered_since, now)

    def admission_level(self, now: float, service: str, path_key: str) -> int:
        """Return the highest admission level among the boxes of a service."""
        peers = self.candidates(service)
        levels = [self.stats(peer).level(now, path_key) for peer in peers]
        return max(levels, default=priority.TOP_LEVEL)

    def attempt_ended(
        self,
        now: float,
        box: str,
        attempt: int,
        load: messages.Load,
        path_key: str,
    ) -> None:
        """Record the end of an attempt and the load report in its reply."""
        stats = self.box_stats.get(box)
        if stats is None:
            return
        stats.outstanding.pop(attempt, None)
        stats.load = load
        if load.path_level < priority.TOP_LEVEL:
            stats.path_levels[path_key] = PathLevel(value=load.path_level, time=now)
        else:
            stats.path_levels.pop(path_key, None)
        stats.load_received_at = now
        stats.message_received(now)
        stats.outstanding_at_load = len(stats.outstanding)

    def attempt_abandoned(self, box: str, attempt: int) -> None:
        """Remove an attempt whose reply is no longer expected."""
        stats = self.box_stats.get(box)
        if stats is not None:
            stats.outstanding.pop(attempt, None)

    def unresponsive(self, now: float, box: str) -> bool:
        """Return whether a box leaves attempts unanswered and sends nothing."""
        stats = self.box_stats.get(box)
        return stats is not None and stats.unresponsive(now)

    def message_received(self, now: float, box: str) -> None:
        """Record that a box sent a message."""
        stats = self.box_stats.get(box)
        if stats is not None:
            stats.message_received(now)

    def link_failed(self, now: float, box: str) -> None:
        """Avoid a box whose connection was lost or whose send buffer is full."""
        stats = self.box_stats.get(box)
        if stats is not None:
            stats.avoid_until = now + LINK_FAILURE_BACKOFF_S

    def _rebuild(self) -> None:
        self._candidates = collections.defaultdict(list)
        self._local_candidates = collections.defaultdict(list)
        self._shard_holders = collections.defaultdict(list)
        own = membership.Peer(member=self.members.own, confirmed=True, last_message=0.0)
        known = [own, *self.members.peers.values()]
        for peer in sorted(known, key=lambda peer: peer.member.box):
            service = peer.member.service
            if service and peer.confirmed:
                self._shard_holders[service].append(peer)
            if not service or not peer.accepts_work:
                continue
            self._candidates[service].append(peer)
            if peer.member.data_centre == self.ctx.identity.data_centre:
                self._local_candidates[service].append(peer)

    def _usable(self, now: float, peer: membership.Peer) -> bool:
        stats = self.stats(peer)
        if len(stats.outstanding) >= MAX_OUTSTANDING:
            return False
        return not stats.unresponsive(now) or now - stats.last_probe > PROBE_INTERVAL_S

    def _below_spillover(self, now: float, peer: membership.Peer) -> bool:
        return self.stats(peer).load_ratio(now) < SPILLOVER_LOAD_RATIO

    def _choose_unresponsive(
        self, now: float, peers: list[membership.Peer], tried: list[str]
    ) -> Chosen | NoBox:
        """Fall back to a random unresponsive box below its outstanding limit."""
        available = [
            peer
            for peer in peers
            if peer.member.box not in tried
            and len(self.stats(peer).outstanding) < MAX_OUTSTANDING
            and now >= self.stats(peer).avoid_until
        ]
        if not available:
            return NoBox()
        return Chosen(peer=self.ctx.rng.choice(available))

    def _select(
        self, now: float, service: str, peers: list[membership.Peer]
    ) -> membership.Peer:
        if isinstance(self.ctx.policy.box_chooser, policies.RoundRobin):
            self._round_robin_counts[service] += 1
            return peers[self._round_robin_counts[service] % len(peers)]
        data_centre = self.ctx.identity.data_centre
        local = [peer for peer in peers if peer.member.data_centre == data_centre]
        remote = [peer for peer in peers if peer.member.data_centre != data_centre]
        if not local or not remote:
            return self._least_busy(now, local or remote)
        best = self._least_busy(now, local)
        if self.stats(best).load_ratio(now) < SPILLOVER_LOAD_RATIO:
            return best
        other = self._least_busy(now, remote)
        remote_ratio = self.stats(other).load_ratio(now) + REMOTE_PENALTY_RATIO
        return other if remote_ratio < self.stats(best).load_ratio(now) else best

    def _least_busy(self, now: float, peers: list[membership.Peer]) -> membership.Peer:
        match self.ctx.policy.box_chooser:
            case policies.LeastOfAll():
                sampled = peers
            case policies.IdleQueue(sample_size=sample_size):
                idle = [peer for peer in peers if self._is_idle(now, peer)]
                if idle:
                    return self.ctx.rng.choice(idle)
                sampled = self._draw(peers, sample_size)
            case _:
                sampled = self._draw(peers, 2)
        scored = [(self.stats(peer).load_ratio(now), peer) for peer in sampled]
        return min(scored, key=lambda pair: pair[0])[1]

    def _is_idle(self, now: float, peer: membership.Peer) -> bool:
        stats = self.stats(peer)
        if stats.load is None:
            return not stats.outstanding
        return stats.load_ratio(now) * stats.load.limit < stats.load.limit - 1

    def _draw(self, peers: list[membership.Peer], count: int) -> list[membership.Peer]:
        if len(peers) <= count:
            return peers
        return self.ctx.rng.sample(peers, count)
