"""Which daemon coordinates which team, and what is sent to whom on the links.

Owns the view of the daemons in reach and the coordinator of each team that follows from
it; relies on `quota` for what is counted and granted, and on the links of `peer_table`.
"""

from __future__ import annotations

import attrs

from ferrydeck.mesh import context, effects, messages
from ferrydeck.mesh.members import failure_detector, peer_table, peers
from ferrydeck.mesh.teams import quota, quota_reports

REPORT_INTERVAL_S = 0.1
"""How often usages and grants are sent, seconds. A daemon's fifteen requests a second
are mostly of as many teams, so a longer pause saves few messages (reckoned), and a team
at seven times its usual is limited later."""
COORDINATOR_SILENT_TIMEOUT_S = 0.5
"""A coordinator that sent nothing for this long has to answer the next usages, seconds:
it may be cut off, and another one has to take its place."""
VIEW_SETTLE_TIMEOUT_S = 0.5
"""How long after the daemons in reach have changed a grant is not raised, seconds: a
new coordinator has reports of a part of the demand only, and would admit everything."""
GRANT_RELAY_TIMEOUT_S = 1.0
"""How long a daemon that passes usages on passes the grants on as well, seconds: those
who report to it are not linked with the coordinator yet."""


@attrs.define(kw_only=True, frozen=True)
class QuotaReportTimer:
    """Time to send usages and grants."""


@attrs.define(kw_only=True)
class QuotaExchange:
    """Carries usages to coordinators and their grants back."""

    ctx: context.Context
    peers: peer_table.PeerTable
    quota_enforcer: quota.QuotaEnforcer
    coordinator: quota.QuotaCoordinator = attrs.field(init=False)
    _reachable: dict[str, peers.Peer] = attrs.Factory(dict)
    """The daemons that are linked and not suspect, by address."""
    _coordinators: dict[str, str] = attrs.Factory(dict)
    """The coordinator of each team in use here, among the daemons in reach."""
    _relayed_at: dict[str, float] = attrs.Factory(dict)
    """When another daemon's usage of a team was last passed on."""
    _view_changed_at: float = -1e9
    """When the daemons in reach last changed."""
    _running: bool = False

    def __attrs_post_init__(self) -> None:
        window_s = self.ctx.limits.quota_window_s
        self.coordinator = quota.QuotaCoordinator(window_s=window_s)

    def policy_applied(self, now: float) -> None:
        """Begin to report, once a policy has teams with quotas."""
        if self._running or not self._has_quotas():
            return
        self._running = True
        self._view_changed_at = now
        self.ctx.at(now + REPORT_INTERVAL_S, QuotaReportTimer())

    def send_reports(self, now: float) -> None:
        """Send what was used here to coordinators, and all daemons the grants."""
        self._running = self._has_quotas()
        if not self._running:
            return
        self.ctx.at(now + REPORT_INTERVAL_S, QuotaReportTimer())
        self._update_reachable(now)
        self._send_usages(now)
        self._send_grants(now)

    def usages_received(
        self, now: float, link: int, message: messages.TeamUsages
    ) -> None:
        """Add up what another daemon used, or have it added up where that belongs.

        Where links break and come back the daemons' views differ for a while. A usage
        is passed on to a higher hash only, so it comes to rest. Whoever reports the
        usage of a team with a grant below one is sent it on the same link: there may be
        no other yet.
        """
        limited = []
        for one in message.usages:
            usage = quota.Usage(requested=one.asked, admitted=one.run)
            if self._is_coordinator(one.team):
                self._add_usage(now, one.team, usage)
            else:
                self.quota_enforcer.add_relayed(one.team, usage)
                self._relayed_at[one.team] = now
            grant = self.quota_enforcer.grant(now, one.team)
            if grant is not None:
                limited.append(
                    _grant_message(one.team, grant.fraction, grant.retry_after_s)
                )
        if limited:
            grants = messages.TeamGrants(grants=limited)
            self.ctx.emit(effects.SendBack(link=link, message=grants))

    def grants_received(
        self, now: float, address: str, message: messages.TeamGrants
    ) -> None:
        """Take the grants that the daemon at an address sends.

        One that is not the coordinator by this daemon's view, or has only just become
        it, may lower a grant, but not raise it.
        """
        settled = now - self._view_changed_at >= VIEW_SETTLE_TIMEOUT_S
        passed_on = []
        for one in message.grants:
            trusted = settled and self._coordinator(one.team) == address
            fraction = self.quota_enforcer.fraction(now, one.team)
            if not trusted and one.fraction >= fraction:
                continue
            self.quota_enforcer.set_grant(
                now, one.team, one.fraction, one.retry_after_s
            )
            relays = now - self._relayed_at.get(one.team, -1e9) < GRANT_RELAY_TIMEOUT_S
            if relays and one.fraction != fraction:
                passed_on.append(one)
        if passed_on:
            self._broadcast(messages.TeamGrants(grants=passed_on), but=address)

    def _has_quotas(self) -> bool:
        held = self.ctx.policy
        return held is not None and any(one.has_quota for one in held.teams.values())

    def _update_reachable(self, now: float) -> None:
        found = {
            address: peer
            for address, peer in self.peers.by_address.items()
            if peer.link is peers.LinkState.UP
            and not failure_detector.is_suspect(now, peer)
        }
        if found.keys() != self._reachable.keys():
            self._coordinators.clear()
            self._view_changed_at = now
        self._reachable = found
        self.quota_enforcer.known_daemons = 1 + len(self.peers.by_address)

    def _send_usages(self, now: float) -> None:
        by_address: dict[str, list[quota_reports.TeamUsage]] = {}
        for team, usage in self.quota_enforcer.take_usages().items():
            if self._is_coordinator(team):
                self._add_usage(now, team, usage)
                continue
            report = quota_reports.TeamUsage(
                team=team, asked=usage.requested, run=usage.admitted
            )
            by_address.setdefault(self._coordinator(team), []).append(report)
        for address, usages in by_address.items():
            message = messages.TeamUsages(usages=usages)
            peer = self._reachable[address]
            if now - peer.last_received_at > COORDINATOR_SILENT_TIMEOUT_S:
                self.peers.send(now, peer, message)
            else:
                self.ctx.send(address, message)

    def _send_grants(self, now: float) -> None:
        own = {
            name: team
            for name, team in self.ctx.policy.teams.items()
            if name in self.coordinator.accounts and self._is_coordinator(name)
        }
        due = self.coordinator.due_grants(now, own, self._reachable_ratio())
        if not due:
            return
        grants = []
        for one in due:
            grants.append(_grant_message(one.team, one.fraction, one.retry_after_s))
            self.ctx.note(
                "allotment",
                outcome="held" if one.fraction < 1.0 else "free",
                team=one.team,
                share=round(one.fraction, 3),
            )
        message = messages.TeamGrants(grants=grants)
        self.grants_received(now, self.ctx.identity.address, message)
        self._broadcast(message, but="")

    def _broadcast(self, message: messages.TeamGrants, *, but: str) -> None:
        for address in self._reachable:
            if address != but:
                self.ctx.send(address, message)

    def _add_usage(self, now: float, name: str, usage: quota.Usage) -> None:
        held = self.ctx.policy
        team = held.teams.get(name) if held is not None else None
        if team is None or not team.has_quota:
            return
        # No report for a whole window by the same daemons means that nothing was used.
        unused = now - self._view_changed_at > self.coordinator.window_s
        self.coordinator.add_usage(
            now, team, self._reachable_ratio(), usage, unused=unused
        )

    def _is_coordinator(self, team: str) -> bool:
        return self._coordinator(team) == self.ctx.identity.address

    def _coordinator(self, team: str) -> str:
        found = self._coordinators.get(team)
        if found is None:
            addresses = [self.ctx.identity.address, *self._reachable]
            found = quota.choose_coordinator(team, addresses)
            self._coordinators[team] = found
        return found

    def _reachable_ratio(self) -> float:
        """Return which part of all daemons those in reach are, this one included."""
        known = max(len(self.peers.by_address), len(self._reachable))
        return (1 + len(self._reachable)) / (1 + known)


def _grant_message(
    team: str, fraction: float, retry_after_s: float
) -> quota_reports.TeamGrant:
    return quota_reports.TeamGrant(
        team=team, fraction=round(fraction, 3), retry_after_s=round(retry_after_s, 2)
    )
