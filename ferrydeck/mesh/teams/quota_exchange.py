"""Exchanges usage and grants of teams with other daemons.

Owns the view of the reachable daemons, which determines the coordinator of each team;
relies on `quota` for counting and granting, and on the links of `peer_table`.
"""

from __future__ import annotations

import attrs

from ferrydeck.mesh import context, effects, messages
from ferrydeck.mesh.members import failure_detector, peer_table, peers
from ferrydeck.mesh.teams import quota, quota_reports

REPORT_INTERVAL_S = 0.1
"""Interval between sending usage and grants, seconds; a longer one saves few messages
and limits a team later."""
COORDINATOR_TIMEOUT_S = 0.5
"""Silence after which a coordinator must reply to usage or become suspect, seconds."""
VIEW_SETTLE_S = 0.5
"""Time after a change of the reachable daemons in which grants are not raised, seconds;
a new coordinator knows a part of the demand only and would admit everything."""
GRANT_RELAY_S = 1.0
"""Time in which a daemon that relayed usage relays grants too, seconds; the reporting
daemons may not be linked with the coordinator yet."""


@attrs.define(kw_only=True, frozen=True)
class QuotaReportTimer:
    """Fires when usage and grants are to be sent."""


@attrs.define(kw_only=True)
class QuotaExchange:
    """Sends usage to coordinators, and grants to all daemons."""

    ctx: context.Context
    peers: peer_table.PeerTable
    quota_enforcer: quota.QuotaEnforcer
    coordinator: quota.QuotaCoordinator = attrs.field(init=False)
    _reachable: dict[str, peers.Peer] = attrs.Factory(dict)
    """Linked daemons that are not suspect, by address."""
    _coordinators: dict[str, str] = attrs.Factory(dict)
    """Cached addresses of coordinators among the reachable daemons, by team."""
    _relayed_at: dict[str, float] = attrs.Factory(dict)
    """When another daemon's usage was last relayed, by team."""
    _view_changed_at: float = -1e9
    """When the reachable daemons last changed."""
    _running: bool = False

    def __attrs_post_init__(self) -> None:
        window_s = self.ctx.limits.quota_window_s
        self.coordinator = quota.QuotaCoordinator(window_s=window_s)

    def policy_applied(self, now: float) -> None:
        """Start reporting once a policy has teams with quotas."""
        if self._running or not self._has_quotas():
            return
        self._running = True
        self._view_changed_at = now
        self.ctx.set_timer(now + REPORT_INTERVAL_S, QuotaReportTimer())

    def send_reports(self, now: float) -> None:
        """Send usage to the coordinators, and own grants to all daemons."""
        self._running = self._has_quotas()
        if not self._running:
            return
        self.ctx.set_timer(now + REPORT_INTERVAL_S, QuotaReportTimer())
        self._update_reachable(now)
        self._send_usages(now)
        self._send_grants(now)

    def resumed(self, now: float, pause_s: float) -> None:
        """Keep accounts and grants as they were before this process was paused.

        Another daemon may coordinate the teams of this one since, so its grants count
        as those of a daemon whose view has just changed.
        """
        self._view_changed_at = now
        self.coordinator.resumed(pause_s)
        self.quota_enforcer.resumed(pause_s)

    def usages_received(
        self, now: float, link: int, message: messages.TeamUsages
    ) -> None:
        """Count the usage at another daemon, or relay it to the coordinator.

        While links change, daemons may disagree on the coordinator. Usage is relayed to
        a higher hash only, so there are no loops. Grants below one are returned on the
        same link, as there may be no other yet.
        """
        grants = []
        for one in message.usages:
            usage = quota.Usage(requested=one.asked, admitted=one.run)
            if self._is_coordinator(one.team):
                self._add_usage(now, one.team, usage)
            else:
                self.quota_enforcer.add_relayed(one.team, usage)
                self._relayed_at[one.team] = now
            grant = self.quota_enforcer.grant(now, one.team)
            if grant is not None:
                grants.append(
                    _grant_message(one.team, grant.fraction, grant.retry_after_s)
                )
        if grants:
            reply = messages.TeamGrants(grants=grants)
            self.ctx.emit(effects.SendIncoming(link=link, message=reply))

    def grants_received(
        self, now: float, address: str, message: messages.TeamGrants
    ) -> None:
        """Apply the grants sent by the daemon at an address.

        A daemon that is not the coordinator in this daemon's view, or has only just
        become it, may lower a grant, but not raise it.
        """
        settled = now - self._view_changed_at >= VIEW_SETTLE_S
        relayed = []
        for one in message.grants:
            trusted = settled and self._coordinator_of(one.team) == address
            fraction = self.quota_enforcer.fraction(now, one.team)
            if not trusted and one.fraction >= fraction:
                continue
            self.quota_enforcer.set_grant(
                now, one.team, one.fraction, one.retry_after_s
            )
            relay = now - self._relayed_at.get(one.team, -1e9) < GRANT_RELAY_S
            if relay and one.fraction != fraction:
                relayed.append(one)
        if relayed:
            self._broadcast(messages.TeamGrants(grants=relayed), exclude=address)

    def _has_quotas(self) -> bool:
        current = self.ctx.policy
        return current is not None and any(
            one.has_quota for one in current.teams.values()
        )

    def _update_reachable(self, now: float) -> None:
        reachable = {
            address: peer
            for address, peer in self.peers.by_address.items()
            if peer.link is peers.LinkState.UP
            and not failure_detector.is_suspect(now, peer)
        }
        if reachable.keys() != self._reachable.keys():
            self._coordinators.clear()
            self._view_changed_at = now
        self._reachable = reachable
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
            by_address.setdefault(self._coordinator_of(team), []).append(report)
        for address, usages in by_address.items():
            message = messages.TeamUsages(usages=usages)
            peer = self._reachable[address]
            if now - peer.last_received_at > COORDINATOR_TIMEOUT_S:
                self.peers.send(now, peer, message)
            else:
                self.ctx.send(address, message)

    def _send_grants(self, now: float) -> None:
        coordinated = {
            name: team
            for name, team in self.ctx.policy.teams.items()
            if name in self.coordinator.accounts and self._is_coordinator(name)
        }
        due = self.coordinator.due_grants(now, coordinated, self._share())
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
        self._broadcast(message, exclude="")

    def _broadcast(self, message: messages.TeamGrants, *, exclude: str) -> None:
        for address in self._reachable:
            if address != exclude:
                self.ctx.send(address, message)

    def _add_usage(self, now: float, name: str, usage: quota.Usage) -> None:
        current = self.ctx.policy
        team = current.teams.get(name) if current is not None else None
        if team is None or not team.has_quota:
            return
        # A whole window without reports from the same daemons means no usage.
        idle = now - self._view_changed_at > self.coordinator.window_s
        self.coordinator.add_usage(now, team, self._share(), usage, idle=idle)

    def _is_coordinator(self, team: str) -> bool:
        return self._coordinator_of(team) == self.ctx.identity.address

    def _coordinator_of(self, team: str) -> str:
        found = self._coordinators.get(team)
        if found is None:
            addresses = [self.ctx.identity.address, *self._reachable]
            found = quota.choose_coordinator(team, addresses)
            self._coordinators[team] = found
        return found

    def _share(self) -> float:
        """Return the ratio of reachable to known daemons, including this one."""
        known = max(len(self.peers.by_address), len(self._reachable))
        return (1 + len(self._reachable)) / (1 + known)


def _grant_message(
    team: str, fraction: float, retry_after_s: float
) -> quota_reports.TeamGrant:
    return quota_reports.TeamGrant(
        team=team, fraction=round(fraction, 3), retry_after_s=round(retry_after_s, 2)
    )
