"""The choice of a target: which box a request goes to.

Owns the targets of each service, near and far, with what is usual among them; relies on
`peer_table` for what other daemons report, on the inbound side for this box's target,
and on `scoring` for what makes one target better than another.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

from ferrydeck.mesh import context, messages
from ferrydeck.mesh.inbound import inbound
from ferrydeck.mesh.members import failure_detector, peer_table, peers
from ferrydeck.mesh.outbound import scoring
from ferrydeck.mesh.poison import fingerprints, isolation

USUAL_QUANTILE = 0.25
"""Part of the targets of a service that fail less often than is usual for it. The least
of all would say nothing among many: of 95 targets that fail 0.3 of four requests a
second each, one has always just failed none, and every failure would seem its own."""
RECENT_S = 1.0
"""How old the report of another target may be to be compared with, seconds: a daemon
has one of each of 95 targets every ten to twenty seconds only, and a report from before
all of them began to fail says nothing of now."""
MAX_FULL_SCAN = 12
"""Targets of a service up to which each is scored for each request."""
NEAR_SAMPLE_SIZE = 4
FAR_SAMPLE_SIZE = 4
"""Targets that are drawn of more, in the own data centre and in others: a choice then
costs the same with a hundred targets as with ten. A daemon has a report of each of many
targets every ten seconds or so, and what it knows has faded: the best of all by its few
fresh reports would be the same for all daemons."""
DRAWS = 3
"""Draws for each target of a sample, as some are closed or were tried."""
USUAL_EVERY_S = 0.001
"""How long what is usual among the targets of a service holds, seconds for each of
them: to go through them then costs the same part of the time whatever their number."""
FAILED_PROBE = 0.03
"""Share of requests that are sent to a failing target all the same, so that it is
noticed when it is healthy again."""


@attrs.define(kw_only=True, frozen=True)
class Local:
    """The target of this box."""

    incarnation: str


@attrs.define(kw_only=True, frozen=True)
class Remote:
    """The target of another box."""

    peer: peers.Peer
    incarnation: str


@attrs.define(kw_only=True, frozen=True)
class NoTarget:
    """No target of the service takes requests."""


Choice = Local | Remote | NoTarget
NO_TARGET = NoTarget()


@attrs.define(kw_only=True)
class Group:
    """The daemons with targets of a service, this one not among them."""

    near: list[peers.Peer] = attrs.Factory(list)
    """Those of the own data centre."""
    far: list[peers.Peer] = attrs.Factory(list)
    fastest_ms: int = 0
    """Service time of the fastest of the targets; 0 if not known."""
    usual_failed: float = 0.0
    """The share of failures that a quarter of the targets stay below."""
    fresh_until: float = 0.0
    """Until when these two hold."""


@attrs.define(kw_only=True)
class Picker:
    """Chooses among the targets of a service."""

    ctx: context.Context
    peers: peer_table.PeerTable
    inbound: inbound.Inbound
    _groups: dict[str, Group] = attrs.Factory(dict)
    """The daemons with targets, by service."""

    def pick(
        self,
        now: float,
        service: str,
        tried: set[str],
        only: set[str] | None = None,
    ) -> Choice:
        """Return the target for a request; `tried` and `only` are addresses of daemons.

        A silent box gets nothing new, also where it is the only one: what is sent there
        may have run, while a rejection lets its caller come back.
        """
        group = self._group(now, service)
        best: Choice = NO_TARGET
        best_score = float("inf")
        if self._own_open(service, tried, only):
            best = Local(incarnation=self.inbound.target.incarnation)
            best_score = self._own_score(now, group)
        for peer in self._candidates(now, group, tried, only):
            score = self._score(now, peer, group)
            if score < best_score:
                best_score = score
                best = Remote(peer=peer, incarnation=peer.target_state.incarnation)
        return best

    def pick_for_suspect(
        self,
        now: float,
        service: str,
        fingerprint: fingerprints.Fingerprint,
        tried: set[str],
        only: set[str] | None = None,
    ) -> Choice:
        """Return the target that all copies of a suspect go to, if it is open."""
        group = self._group(now, service)
        everyone = [*group.near, *group.far]
        found: dict[str, Choice] = {
            one.address: Remote(peer=one, incarnation=one.target_state.incarnation)
            for one in everyone
            if _takes(now, one, tried, only)
        }
        if self._own_open(service, tried, only):
            own = Local(incarnation=self.inbound.target.incarnation)
            found[self.ctx.identity.address] = own
        if not found:
            return NO_TARGET
        return found[isolation.owner(fingerprint, list(found))]

    def _own_open(self, service: str, tried: set[str], only: set[str] | None) -> bool:
        """Return whether this box's own target may be chosen."""
        own = self.ctx.identity
        if own.service != service or own.address in tried:
            return False
        if only is not None and own.address not in only:
            return False
        ready = self.inbound.target.phase is messages.Phase.READY
        return ready and not self.inbound.stopping

    def _candidates(
        self, now: float, group: Group, tried: set[str], only: set[str] | None
    ) -> list[peers.Peer]:
        """Return the daemons that are scored: all of few, a sample of many."""

        def takes(peer: peers.Peer) -> bool:
            return _takes(now, peer, tried, only)

        everyone = [*group.near, *group.far]
        if only is not None or len(everyone) <= MAX_FULL_SCAN:
            return [one for one in everyone if takes(one)]
        found = self._sample(group.near, NEAR_SAMPLE_SIZE, takes)
        found += self._sample(group.far, FAR_SAMPLE_SIZE, takes)
        return found or [one for one in everyone if takes(one)]

    def _sample(
        self,
        among: list[peers.Peer],
        count: int,
        takes: Callable[[peers.Peer], bool],
    ) -> list[peers.Peer]:
        """Return some daemons that take requests, by a few draws."""
        found: list[peers.Peer] = []
        for _ in range(min(len(among), DRAWS * count)):
            peer = among[int(self.ctx.rng.random() * len(among))]
            if peer not in found and takes(peer):
                found.append(peer)
            if len(found) == count:
                break
        return found

    def outlier(self, now: float, peer: peers.Peer | None, service: str) -> bool:
        """Return whether a target that failed does so more often than others.

        Where all fail alike the cause lies behind them, and a retry at another target
        would only add to it. `peer` is `None` for the target of this box.
        """
        own = self.inbound.health.failure_ratio(now)
        failed = own if peer is None else peer.estimated_failure_ratio(now)
        group = self._group(now, service)
        usual = self._usual_failures(now, service, [*group.near, *group.far])
        return scoring.outlier(failed, usual)

    def _own_score(self, now: float, group: Group) -> float:
        own = self.inbound
        return self._sum(
            own.busy / own.limit,
            False,
            now < own.target.cold_until,
            own.service_time_ms,
            own.health.failure_ratio(now),
            group,
        )

    def _score(self, now: float, peer: peers.Peer, group: Group) -> float:
        return self._sum(
            peer.estimated_in_flight(now) / max(1, peer.target_state.slots),
            peer.data_centre != self.ctx.identity.data_centre,
            now < peer.cold_until,
            peer.service_time_ms,
            peer.estimated_failure_ratio(now),
            group,
        )

    def _sum(
        self,
        load: float,
        far: bool,
        cold: bool,
        service_time_ms: int,
        failed: float,
        group: Group,
    ) -> float:
        """Return a target's score; `load` is a part of its slots."""
        switches = self.ctx.switches
        score = scoring.loaded(load) if switches.spill_early else load
        if far and switches.prefer_near:
            score += scoring.FAR_PENALTY
        if cold and switches.avoid_cold:
            score += scoring.COLD_PENALTY
        if switches.prefer_fast:
            score += scoring.slow(service_time_ms, group.fastest_ms)
        draw = self.ctx.rng.random
        if switches.avoid_failing:
            penalty = scoring.failing(failed, group.usual_failed)
            if penalty and draw() >= FAILED_PROBE:
                score += penalty
        return score + scoring.JITTER * draw()

    def _fastest(self, service: str, candidates: list[peers.Peer]) -> int:
        """Return the service time of the fastest target, ms; 0 if not known."""
        service_times = [
            one.service_time_ms
            for one in candidates
            if one.accepts_requests and one.service_time_ms
        ]
        if self.ctx.identity.service == service and self.inbound.service_time_ms:
            service_times.append(self.inbound.service_time_ms)
        return min(service_times, default=0)

    def _usual_failures(
        self, now: float, service: str, candidates: list[peers.Peer]
    ) -> float:
        """Return the share of failures that a quarter of the targets stay below."""
        shares = [
            one.estimated_failure_ratio(now)
            for one in candidates
            if one.accepts_requests and now - one.load_reported_at <= RECENT_S
        ]
        if self.ctx.identity.service == service:
            shares.append(self.inbound.health.failure_ratio(now))
        if not shares:
            return 0.0
        shares.sort()
        return shares[int(USUAL_QUANTILE * (len(shares) - 1))]

    def _group(self, now: float, service: str) -> Group:
        """Return the daemons with targets of a service, and what is usual there."""
        if self.peers.candidates_changed:
            self.peers.candidates_changed = False
            self._regroup()
        group = self._groups.get(service)
        if group is None:
            group = self._groups[service] = Group()
        if now >= group.fresh_until:
            known = [*group.near, *group.far]
            group.fresh_until = now + USUAL_EVERY_S * len(known)
            group.fastest_ms = self._fastest(service, known)
            group.usual_failed = self._usual_failures(now, service, known)
        return group

    def _regroup(self) -> None:
        """Sort the daemons by service, since some have changed."""
        own = self.ctx.identity.data_centre
        self._groups = {}
        for peer in self.peers.by_address.values():
            if peer.target_state is None:
                continue
            group = self._groups.setdefault(peer.target_state.service, Group())
            (group.near if peer.data_centre == own else group.far).append(peer)


def _takes(
    now: float, peer: peers.Peer, tried: set[str], only: set[str] | None
) -> bool:
    """Return whether another box's target may be chosen."""
    if (
        peer.address in tried
        or not peer.accepts_requests
        or failure_detector.is_suspect(now, peer)
    ):
        return False
    return only is None or peer.address in only
