"""Load balancing: picks the target for a request.

Groups the targets of each service by data centre and keeps a baseline of their speed
and failures. The state of other targets comes from `peer_table`, that of this box's
target from the inbound side; `scoring` rates them.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

from ferrydeck.mesh import context, messages
from ferrydeck.mesh.inbound import inbound
from ferrydeck.mesh.members import failure_detector, peer_table, peers
from ferrydeck.mesh.outbound import scoring
from ferrydeck.mesh.poison import fingerprints, isolation

BASELINE_QUANTILE = 0.25
"""Quantile of the failure ratios that is the baseline of a service. The minimum of many
targets would be close to 0 at any time and make every other one an outlier."""
MAX_REPORT_AGE_S = 1.0
"""Maximum age of a load report that enters the failure baseline, seconds. Older ones
may predate a failure that all targets share: of each of 95 targets, a daemon has a
report only every ten to twenty seconds."""
MAX_FULL_SCAN = 12
"""Number of targets of a service up to which every one is scored."""
NEAR_SAMPLE_SIZE = 4
FAR_SAMPLE_SIZE = 4
"""Random sample sizes for larger services, in the own data centre and in others. They
bound the cost and keep daemons with stale reports from all picking the same target."""
DRAWS_PER_TARGET = 3
"""Random draws per sampled target, since some draws are not eligible."""
BASELINE_INTERVAL_S = 0.001
"""Interval between updates of a baseline, seconds per target of the service. The share
of time spent on them does not depend on the number of targets."""
FAILING_PROBE_RATIO = 0.03
"""Ratio of requests that ignore the failure penalty, to detect that a target has
recovered."""


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
    """No target of the service accepts requests."""


Choice = Local | Remote | NoTarget
NO_TARGET = NoTarget()


@attrs.define(kw_only=True)
class TargetGroup:
    """The peers that have a target of a service."""

    near: list[peers.Peer] = attrs.Factory(list)
    """Peers in the data centre of this daemon."""
    far: list[peers.Peer] = attrs.Factory(list)
    fastest_ms: int = 0
    """Service time of the fastest target; 0 if unknown."""
    baseline_failures: float = 0.0
    """`BASELINE_QUANTILE` of the targets' failure ratios."""
    valid_until: float = 0.0
    """When `fastest_ms` and `baseline_failures` are recomputed."""


@attrs.define(kw_only=True)
class Picker:
    """Picks a target of a service for each request."""

    ctx: context.Context
    peers: peer_table.PeerTable
    inbound: inbound.Inbound
    _groups: dict[str, TargetGroup] = attrs.Factory(dict)
    """Target groups by service."""

    def pick(
        self,
        now: float,
        service: str,
        tried: set[str],
        only: set[str] | None = None,
    ) -> Choice:
        """Return the target with the lowest score; `tried` and `only` hold addresses.

        A box suspected of being down is never picked, even if no other is left: the
        request might run there unnoticed, while a rejected caller can safely retry.
        """
        group = self._group(now, service)
        best: Choice = NO_TARGET
        best_score = float("inf")
        if self._local_open(service, tried, only):
            best = Local(incarnation=self.inbound.target.incarnation)
            best_score = self._local_score(now, group)
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
        """Return the eligible target to which all copies of a suspect are sent."""
        group = self._group(now, service)
        all_peers = [*group.near, *group.far]
        choices: dict[str, Choice] = {
            one.address: Remote(peer=one, incarnation=one.target_state.incarnation)
            for one in all_peers
            if _eligible(now, one, tried, only)
        }
        if self._local_open(service, tried, only):
            local = Local(incarnation=self.inbound.target.incarnation)
            choices[self.ctx.identity.address] = local
        if not choices:
            return NO_TARGET
        return choices[isolation.owner(fingerprint, list(choices))]

    def _local_open(self, service: str, tried: set[str], only: set[str] | None) -> bool:
        """Return whether this box's own target is eligible."""
        identity = self.ctx.identity
        if identity.service != service or identity.address in tried:
            return False
        if only is not None and identity.address not in only:
            return False
        ready = self.inbound.target.phase is messages.Phase.READY
        return ready and not self.inbound.stopping

    def _candidates(
        self, now: float, group: TargetGroup, tried: set[str], only: set[str] | None
    ) -> list[peers.Peer]:
        """Return the peers to score: all of a small group, a sample of a large one."""

        def eligible(peer: peers.Peer) -> bool:
            return _eligible(now, peer, tried, only)

        all_peers = [*group.near, *group.far]
        if only is not None or len(all_peers) <= MAX_FULL_SCAN:
            return [one for one in all_peers if eligible(one)]
        found = self._sample(group.near, NEAR_SAMPLE_SIZE, eligible)
        found += self._sample(group.far, FAR_SAMPLE_SIZE, eligible)
        return found or [one for one in all_peers if eligible(one)]

    def _sample(
        self,
        among: list[peers.Peer],
        count: int,
        eligible: Callable[[peers.Peer], bool],
    ) -> list[peers.Peer]:
        """Return up to `count` eligible peers, drawn at random."""
        found: list[peers.Peer] = []
        for _ in range(min(len(among), DRAWS_PER_TARGET * count)):
            peer = among[int(self.ctx.rng.random() * len(among))]
            if peer not in found and eligible(peer):
                found.append(peer)
            if len(found) == count:
                break
        return found

    def is_outlier(self, now: float, peer: peers.Peer | None, service: str) -> bool:
        """Return whether a target fails more often than the others of its service.

        If all fail alike, a shared dependency is at fault and a retry only adds load
        to it. `peer` is `None` for the target of this box.
        """
        local = self.inbound.health.failure_ratio(now)
        failed = local if peer is None else peer.estimated_failure_ratio(now)
        group = self._group(now, service)
        baseline = self._baseline_failures(now, service, [*group.near, *group.far])
        return scoring.is_outlier(failed, baseline)

    def _local_score(self, now: float, group: TargetGroup) -> float:
        inbound = self.inbound
        return self._total_score(
            inbound.busy / inbound.runs.capacity,
            False,
            now < inbound.target.cold_until,
            inbound.costs.service_time_ms,
            inbound.health.failure_ratio(now),
            group,
        )

    def _score(self, now: float, peer: peers.Peer, group: TargetGroup) -> float:
        full = scoring.RATE_LIMIT_PENALTY if now < peer.rate_limited_until else 0.0
        return full + self._total_score(
            peer.estimated_in_flight(now) / max(1, peer.target_state.slots),
            peer.data_centre != self.ctx.identity.data_centre,
            now < peer.cold_until,
            peer.service_time_ms,
            peer.estimated_failure_ratio(now),
            group,
        )

    def _total_score(
        self,
        load: float,
        far: bool,
        cold: bool,
        service_time_ms: int,
        failed: float,
        group: TargetGroup,
    ) -> float:
        """Return a target's score; `load` is a ratio of its slots."""
        switches = self.ctx.switches
        score = scoring.load_score(load) if switches.spill_early else load
        if far and switches.prefer_near:
            score += scoring.FAR_PENALTY
        if cold and switches.avoid_cold:
            score += scoring.COLD_START_PENALTY
        if switches.prefer_fast:
            score += scoring.slow_penalty(service_time_ms, group.fastest_ms)
        draw = self.ctx.rng.random
        if switches.avoid_failing:
            penalty = scoring.failure_penalty(failed, group.baseline_failures)
            if penalty and draw() >= FAILING_PROBE_RATIO:
                score += penalty
        return score + scoring.MAX_JITTER * draw()

    def _fastest_ms(self, service: str, candidates: list[peers.Peer]) -> int:
        """Return the service time of the fastest target, ms; 0 if unknown."""
        service_times = [
            one.service_time_ms
            for one in candidates
            if one.accepts_requests and one.service_time_ms
        ]
        if self.ctx.identity.service == service and self.inbound.costs.service_time_ms:
            service_times.append(self.inbound.costs.service_time_ms)
        return min(service_times, default=0)

    def _baseline_failures(
        self, now: float, service: str, candidates: list[peers.Peer]
    ) -> float:
        """Return `BASELINE_QUANTILE` of the targets' failure ratios."""
        shares = [
            one.estimated_failure_ratio(now)
            for one in candidates
            if one.accepts_requests and now - one.load_reported_at <= MAX_REPORT_AGE_S
        ]
        if self.ctx.identity.service == service:
            shares.append(self.inbound.health.failure_ratio(now))
        if not shares:
            return 0.0
        shares.sort()
        return shares[int(BASELINE_QUANTILE * (len(shares) - 1))]

    def _group(self, now: float, service: str) -> TargetGroup:
        """Return the target group of a service, with a current baseline."""
        if self.peers.candidates_changed:
            self.peers.candidates_changed = False
            self._rebuild_groups()
        group = self._groups.get(service)
        if group is None:
            group = self._groups[service] = TargetGroup()
        if now >= group.valid_until:
            all_peers = [*group.near, *group.far]
            group.valid_until = now + BASELINE_INTERVAL_S * len(all_peers)
            group.fastest_ms = self._fastest_ms(service, all_peers)
            group.baseline_failures = self._baseline_failures(now, service, all_peers)
        return group

    def _rebuild_groups(self) -> None:
        """Regroup the peers by service after a change."""
        data_centre = self.ctx.identity.data_centre
        self._groups = {}
        for peer in self.peers.by_address.values():
            if peer.target_state is None:
                continue
            group = self._groups.setdefault(peer.target_state.service, TargetGroup())
            (group.near if peer.data_centre == data_centre else group.far).append(peer)


def _eligible(
    now: float, peer: peers.Peer, tried: set[str], only: set[str] | None
) -> bool:
    """Return whether the target of a peer is eligible."""
    if (
        peer.address in tried
        or not peer.accepts_requests
        or failure_detector.is_suspect(now, peer)
    ):
        return False
    return only is None or peer.address in only
