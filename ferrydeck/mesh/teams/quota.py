"""How many of a team's requests may run, over all daemons together.

Each team has one daemon that adds up its usage (its coordinator): the linked daemon
with the highest hash of team and address, so that none is elected and any may go. The
others report to it ten times a second what their callers asked and what was admitted.
It keeps a token bucket of the team's rate and burst. Nothing is rejected before the
bucket runs low; then the coordinator sends all daemons a grant: the fraction of the
team's requests to admit. What was admitted beyond it meanwhile is owed to the bucket
and is made up for, so that a whole window stays within rate and burst.

Daemons that this one can't reach may admit requests as well: a coordinator grants only
the part of the quota that the daemons in reach are of all that are known.

Owns the usage and grants of this daemon (`QuotaEnforcer`) and the accounts of the teams
that it coordinates (`QuotaCoordinator`); `coordination` carries both on the links.
"""

from __future__ import annotations

import math
import random
import zlib
from collections.abc import Iterable

import attrs

from ferrydeck.mesh.teams import keys

GRANTED_RATE_RATIO = 1.06
"""What is granted steadily, as a part of the rate. A tenth above rate and burst is
agreed; the rest of it is for what comes in before a coordinator has sent a grant."""
STEADY_BURST_RATIO = 0.3
"""Part of the burst that is granted steadily, over a window: a team that asks a tenth
above its rate all the while is within rate and burst in each window, and had one
request in twenty rejected without it."""
BUCKET_BURST_RATIO = 0.8
"""Part of the burst that the bucket holds, for peaks."""
DEMAND_DECAY_S = 0.25
"""Time over which the demand is measured, seconds: two to three reports of each
daemon. Chosen, with the other times here, as random schedules kept to the quota with
them together; not measured alone."""
BUCKET_DRAIN_S = 0.5
"""Time within which what is in the bucket may be spent, seconds; less would cut short
peaks that the burst is for, more would let a peak run on until the next grant."""
REPORT_LAG_S = 0.15
"""How much of what was admitted a coordinator has no report of yet, seconds: half a
pause between reports, and the way of its own grant."""
MIN_GRANT_CHANGE_RATIO = 0.1
"""A grant that differs by less than this part from the last one sent is not sent."""
MIN_GRANT_INTERVAL_S = 0.2
"""The shortest time between two grants below one, seconds: each of them goes to all
daemons."""
GRANT_RESEND_INTERVAL_S = 1.0
"""When a grant below one is sent again all the same, seconds."""
MAX_FULL_GRANT_SENDS = 2
"""How often it is sent that everything is granted again: the first message may reach
daemons that do not take it yet, as they have just lost the coordinator before."""
STARTUP_LIMIT_TIMEOUT_S = 1.0
"""How long a daemon that has started keeps to its own part of a quota, seconds: all
daemons may have started, and the coordinators know nothing yet."""
STARTUP_RATE_RATIO = 2.0
"""How many times an even part of a team's rate a daemon admits during that time:
callers are not spread evenly."""
GRANT_TIMEOUT_S = 4.0
"""How long a grant counts that is not sent again, seconds: longer than a link may be
silent before another daemon becomes the coordinator."""
MIN_RETRY_AFTER_S = 0.3
MAX_RETRY_AFTER_S = 2.0
"""Bounds of the time after which a caller beyond its team's quota may come back,
seconds."""


@attrs.define(kw_only=True)
class Usage:
    """What the callers of a team asked at one daemon since its last report."""

    requested: int = 0
    admitted: int = 0
    """Requests admitted, less those that were not run after all."""


@attrs.define(kw_only=True)
class Grant:
    """The fraction of a team's requests that a daemon admits."""

    fraction: float
    retry_after_s: float
    expires_at: float
    """When it ends, unless it is sent again."""


@attrs.define(kw_only=True)
class QuotaEnforcer:
    """The side of the daemon whose callers ask: admits, counts and reports."""

    rng: random.Random
    started_at: float = 0.0
    known_daemons: int = 1
    """Daemons that are known, this one included."""
    _usages: dict[str, Usage] = attrs.Factory(dict)
    _grants: dict[str, Grant] = attrs.Factory(dict)
    _startup_admitted: dict[str, int] = attrs.Factory(dict)
    """Requests of each team shortly after the start."""

    def check(self, now: float, team: keys.Team) -> Grant | None:
        """Admit a request of a team, or return the grant in force that rejects it."""
        if not team.has_quota:
            return None
        usage = self._usages.setdefault(team.name, Usage())
        usage.requested += 1
        grant = self._grants.get(team.name)
        if grant is not None and now >= grant.expires_at:
            del self._grants[team.name]
            grant = None
        if grant is not None and self.rng.random() >= grant.fraction:
            return grant
        if now < self.started_at + STARTUP_LIMIT_TIMEOUT_S and self._over_startup_limit(
            now, team
        ):
            return Grant(
                fraction=0.0, retry_after_s=STARTUP_LIMIT_TIMEOUT_S, expires_at=now
            )
        usage.admitted += 1
        return None

    def _over_startup_limit(self, now: float, team: keys.Team) -> bool:
        """Return whether as much was admitted as a daemon may that has just started."""
        even_per_s = team.rate_per_s / self.known_daemons
        may = 1.0 + STARTUP_RATE_RATIO * even_per_s * (now - self.started_at)
        used = self._startup_admitted.get(team.name, 0)
        self._startup_admitted[team.name] = used + 1
        return used + 1 > may

    def refund(self, team: keys.Team) -> None:
        """Return a request that was admitted and has not run: it uses nothing."""
        if team.has_quota:
            self._usages.setdefault(team.name, Usage()).admitted -= 1

    def add_relayed(self, team: str, usage: Usage) -> None:
        """Report another daemon's usage with this one's own."""
        own = self._usages.setdefault(team, Usage())
        own.requested += usage.requested
        own.admitted += usage.admitted

    def grant(self, now: float, team: str) -> Grant | None:
        """Return the grant in force for a team, `None` where all is admitted."""
        grant = self._grants.get(team)
        return None if grant is None or now >= grant.expires_at else grant

    def fraction(self, now: float, team: str) -> float:
        """Return the fraction of a team's requests that is admitted."""
        grant = self.grant(now, team)
        return 1.0 if grant is None else grant.fraction

    def take_usages(self) -> dict[str, Usage]:
        """Return what was used since this was last called."""
        usages, self._usages = self._usages, {}
        return usages

    def set_grant(
        self, now: float, team: str, fraction: float, retry_after_s: float
    ) -> None:
        """Put in force what a coordinator grants to a team."""
        if fraction >= 1.0:
            self._grants.pop(team, None)
            return
        self._grants[team] = Grant(
            fraction=fraction,
            retry_after_s=retry_after_s,
            expires_at=now + GRANT_TIMEOUT_S,
        )


@attrs.define(kw_only=True)
class Account:
    """A team's bucket and demand, as its coordinator knows them."""

    tokens: float
    updated_at: float
    """When bucket and demand were last brought up to date."""
    demand: float = 0.0
    """Requests asked, fading over `DEMAND_S`."""
    sent_fraction: float = 1.0
    """The fraction that was sent last."""
    sent_at: float = 0.0
    full_sends_left: int = 0
    """How often it is still to be sent that everything is granted again."""

    def mark_sent(self, now: float, fraction: float) -> None:
        """Record that a fraction is sent."""
        self.full_sends_left = (
            MAX_FULL_GRANT_SENDS if fraction < 1.0 else self.full_sends_left - 1
        )
        self.sent_fraction, self.sent_at = fraction, now


@attrs.define(kw_only=True, frozen=True)
class GrantDecision:
    """The fraction of a team's requests that all daemons are to admit."""

    team: str
    fraction: float
    retry_after_s: float


@attrs.define(kw_only=True)
class QuotaCoordinator:
    """The side of the daemon that adds up the usage of some teams."""

    window_s: float
    """The window in which rate and burst are counted, seconds."""
    accounts: dict[str, Account] = attrs.Factory(dict)
    """The teams that it adds up, by name."""

    def add_usage(
        self, now: float, team: keys.Team, reach: float, usage: Usage, *, unused: bool
    ) -> None:
        """Add what was used at one daemon; `reach` is the part of all daemons.

        `unused` says that a team without any report used nothing of late.
        """
        if team.name not in self.accounts:
            self._open_account(now, team, reach, unused=unused)
        account = self._update_account(now, team, reach)
        account.tokens -= usage.admitted
        account.demand += usage.requested

    def due_grants(
        self, now: float, teams: dict[str, keys.Team], reach: float
    ) -> list[GrantDecision]:
        """Return the grants that are to be sent to all daemons now."""
        found = []
        for name in list(self.accounts):
            team = teams.get(name)
            if team is None or not team.has_quota:
                del self.accounts[name]
                continue
            account = self._update_account(now, team, reach)
            fraction = self._fraction(account, team, reach)
            if self._is_due(now, account, fraction):
                account.mark_sent(now, fraction)
                retry_s = self._retry_after_s(account, team, reach)
                found.append(
                    GrantDecision(team=name, fraction=fraction, retry_after_s=retry_s)
                )
        return found

    def _open_account(
        self, now: float, team: keys.Team, reach: float, *, unused: bool
    ) -> None:
        """Begin to add up a team's usage.

        What was used before another coordinator took over is not known: half a bucket
        then led to 1.1 of the quota in a busy second.
        """
        tokens = _bucket_capacity(team, reach) if unused else 0.0
        self.accounts[team.name] = Account(tokens=tokens, updated_at=now)

    def _update_account(self, now: float, team: keys.Team, reach: float) -> Account:
        """Return a team's account with what time has added and taken away."""
        full = _bucket_capacity(team, reach)
        account = self.accounts[team.name]
        passed_s = now - account.updated_at
        rate = self._rate(team) * reach
        account.tokens = min(full, account.tokens + rate * passed_s)
        account.demand *= math.exp(-passed_s / DEMAND_DECAY_S)
        account.updated_at = now
        return account

    def _fraction(self, account: Account, team: keys.Team, reach: float) -> float:
        """Return the fraction of the demand that empties the bucket in `SPEND_S`."""
        demand_per_s = account.demand / DEMAND_DECAY_S
        unreported = demand_per_s * account.sent_fraction * REPORT_LAG_S
        tokens = account.tokens - (unreported if account.tokens > 0 else 0.0)
        rate = self._rate(team) * reach + tokens / BUCKET_DRAIN_S
        if rate <= 0:
            return 0.0
        return 1.0 if rate >= demand_per_s else rate / demand_per_s

    def _rate(self, team: keys.Team) -> float:
        """Return what is granted steadily, requests a second."""
        steady = STEADY_BURST_RATIO * team.burst / self.window_s
        return GRANTED_RATE_RATIO * team.rate_per_s + steady

    def _is_due(self, now: float, account: Account, fraction: float) -> bool:
        """Return whether a fraction is to be sent to all daemons."""
        if fraction >= 1.0:
            return account.full_sends_left > 0 and (
                account.sent_fraction < 1.0
                or now - account.sent_at >= GRANT_RESEND_INTERVAL_S
            )
        if now - account.sent_at < MIN_GRANT_INTERVAL_S:
            return False
        if now - account.sent_at >= GRANT_RESEND_INTERVAL_S:
            return True
        return (
            abs(fraction - account.sent_fraction)
            > MIN_GRANT_CHANGE_RATIO * account.sent_fraction
        )

    def _retry_after_s(self, account: Account, team: keys.Team, reach: float) -> float:
        """Return the time until what is owed is made up for, seconds."""
        rate = team.rate_per_s * reach
        owed_s = max(0.0, 1.0 - account.tokens) / max(rate, 1e-6)
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, owed_s))


def choose_coordinator(team: str, addresses: Iterable[str]) -> str:
    """Return which of some daemons adds up a team's usage."""
    return max(addresses, key=lambda one: (zlib.crc32(f"{team}@{one}".encode()), one))


def _bucket_capacity(team: keys.Team, reach: float) -> float:
    """Return what the bucket holds at the most.

    A daemon alone must be able to admit one request.
    """
    return max(1.0, BUCKET_BURST_RATIO * team.burst * reach)
