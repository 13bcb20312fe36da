"""Limits the rate of each team's requests over all daemons together.

Each team has a coordinator: the reachable daemon with the highest hash of team and
address (rendezvous hashing), so that no election is needed. The other daemons report
requested and admitted requests to it ten times a second, and it keeps a token bucket
with the team's rate and burst. While the bucket is full enough, all requests are
admitted. Then the coordinator sends all daemons a grant, the fraction of the team's
requests to admit. Requests admitted before it arrives may drive the bucket below zero,
so that rate and burst hold over a whole window.

Unreachable daemons may admit requests too, so a coordinator grants a share of the quota
only: that of the reachable daemons among all known ones.

Owns the usage and grants of this daemon (`QuotaEnforcer`) and the accounts of the teams
that it coordinates (`QuotaCoordinator`); `quota_exchange` sends and receives both.
"""

from __future__ import annotations

import collections
import math
import random
import zlib
from collections.abc import Iterable

import attrs

from ferrydeck.mesh.teams import keys

GRANTED_RATE_RATIO = 1.06
"""Refill rate relative to the team's rate; the agreed tolerance of a tenth must also
cover requests admitted before a grant arrives."""
STEADY_BURST_RATIO = 0.3
"""Part of the burst that is spread over each window. Without it, one in twenty requests
of a team steadily a tenth above its rate, but within rate and burst, is rejected."""
BUCKET_BURST_RATIO = 0.8
"""Capacity of the bucket relative to the burst, for peaks."""
DEMAND_DECAY_S = 0.25
"""Time constant of the demand, seconds; two to three reports of each daemon."""
BUCKET_DRAIN_S = 0.5
"""Time in which the bucket may be emptied, seconds; a shorter one cuts peaks within the
burst, a longer one lets them go on until the next grant."""
PEAK_RATIO = 0.45
"""Part of a window's quota that a team which has used less may use at any rate."""
PEAK_DRAIN_S = 0.3
"""Time in which that part may be used up, seconds; usage is reported and a grant takes
effect within it."""
COUNT_STEP_S = 0.1
"""Resolution of the count of a window, seconds, whatever the number of daemons."""
REPORT_LAG_S = 0.15
"""Average age of usage when it is reported, seconds, plus the delay of the grant."""
MIN_CHANGE_RATIO = 0.1
"""Relative change of a fraction below which no new grant is sent."""
MIN_GRANT_INTERVAL_S = 0.2
"""Shortest interval between grants below one, which go to all daemons, seconds."""
RESEND_INTERVAL_S = 1.0
"""Interval after which a grant is sent again even if it is unchanged, seconds."""
MAX_FULL_SENDS = 2
"""Times that a full grant is sent; daemons whose coordinator has just changed may
ignore the first one."""
FULL_RESEND_INTERVAL_S = 0.6
"""Interval between these, seconds; longer than such daemons ignore higher grants
(`quota_exchange.VIEW_SETTLE_S`)."""
STARTUP_S = 1.0
"""Time after the start in which a daemon limits teams by itself, seconds; after a
restart of all daemons the coordinators have no usage yet."""
STARTUP_RATE_RATIO = 2.0
"""Limit in that time relative to an even split of the rate; callers are not spread
evenly."""
GRANT_TTL_S = 4.0
"""Lifetime of a grant that is not sent again, seconds; longer than it takes to replace
a silent coordinator."""
MIN_RETRY_AFTER_S = 0.3
MAX_RETRY_AFTER_S = 2.0
"""Limits of the retry time stated to callers beyond their team's quota, seconds."""


@attrs.define(kw_only=True)
class Usage:
    """Requests of a team at one daemon since its last report."""

    requested: int = 0
    admitted: int = 0
    """Requests admitted, less those that were not run."""


@attrs.define(kw_only=True)
class Grant:
    """The fraction of a team's requests that a daemon admits."""

    fraction: float
    retry_after_s: float
    expires_at: float
    """When it expires, unless it is sent again."""


@attrs.define(kw_only=True)
class QuotaEnforcer:
    """Admits the requests of this daemon's callers by grants, and counts usage."""

    rng: random.Random
    started_at: float = 0.0
    known_daemons: int = 1
    """Number of known daemons, including this one."""
    _usages: dict[str, Usage] = attrs.Factory(dict)
    _grants: dict[str, Grant] = attrs.Factory(dict)
    _startup_counts: dict[str, int] = attrs.Factory(dict)
    """Requests of each team in the first `STARTUP_S`."""

    def check(self, now: float, team: keys.Team) -> Grant | None:
        """Admit a request of a team, or return the grant that rejects it."""
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
        if now < self.started_at + STARTUP_S and self._exceeds_share(now, team):
            return Grant(fraction=0.0, retry_after_s=STARTUP_S, expires_at=now)
        usage.admitted += 1
        return None

    def _exceeds_share(self, now: float, team: keys.Team) -> bool:
        """Count a request, and return whether it exceeds the limit after the start."""
        even_rate = team.rate_per_s / self.known_daemons
        limit = 1.0 + STARTUP_RATE_RATIO * even_rate * (now - self.started_at)
        count = self._startup_counts.get(team.name, 0)
        self._startup_counts[team.name] = count + 1
        return count + 1 > limit

    def refund(self, team: keys.Team) -> None:
        """Subtract an admitted request that was not run."""
        if team.has_quota:
            self._usages.setdefault(team.name, Usage()).admitted -= 1

    def add_relayed(self, team: str, usage: Usage) -> None:
        """Add another daemon's usage to this one's next report."""
        own = self._usages.setdefault(team, Usage())
        own.requested += usage.requested
        own.admitted += usage.admitted

    def grant(self, now: float, team: str) -> Grant | None:
        """Return the valid grant of a team; `None` if all requests are admitted."""
        grant = self._grants.get(team)
        return None if grant is None or now >= grant.expires_at else grant

    def fraction(self, now: float, team: str) -> float:
        """Return the fraction of a team's requests to admit."""
        grant = self.grant(now, team)
        return 1.0 if grant is None else grant.fraction

    def take_usages(self) -> dict[str, Usage]:
        """Return the usage since the last call, and reset it."""
        usages, self._usages = self._usages, {}
        return usages

    def resumed(self, pause_s: float) -> None:
        """Count no time against grants in which they could not be sent again."""
        for grant in self._grants.values():
            grant.expires_at += pause_s

    def set_grant(
        self, now: float, team: str, fraction: float, retry_after_s: float
    ) -> None:
        """Apply a coordinator's grant to a team."""
        if fraction >= 1.0:
            self._grants.pop(team, None)
            return
        self._grants[team] = Grant(
            fraction=fraction, retry_after_s=retry_after_s, expires_at=now + GRANT_TTL_S
        )


@attrs.define(kw_only=True)
class Account:
    """A team's token bucket and demand, kept by its coordinator."""

    tokens: float
    updated_at: float
    """When bucket and demand were last updated."""
    demand: float = 0.0
    """Requests, decaying with the time constant `DEMAND_DECAY_S`."""
    fraction: float = 1.0
    """The fraction in the last grant that was sent."""
    sent_at: float = 0.0
    full_sends: int = 0
    """Full grants that are still to be sent."""
    used: float = 0.0
    """Requests admitted in the last window."""
    _admitted: collections.deque[tuple[float, float]] = attrs.Factory(collections.deque)
    """Times and numbers of the requests admitted in the last window."""

    def add_admitted(self, now: float, count: float) -> None:
        """Count admitted requests in the window."""
        self.used += count
        if self._admitted and now - self._admitted[-1][0] < COUNT_STEP_S:
            at, counted = self._admitted.pop()
            self._admitted.append((at, counted + count))
        else:
            self._admitted.append((now, count))

    def drop_admitted(self, before: float) -> None:
        """Drop the requests that were admitted before the window."""
        while self._admitted and self._admitted[0][0] < before:
            self.used -= self._admitted.popleft()[1]

    def resumed(self, pause_s: float) -> None:
        """Neither refill the bucket nor move the window on for the time of a pause.

        In this time other daemons may have admitted what would have been refilled.
        """
        self.updated_at += pause_s
        self._admitted = collections.deque(
            (at + pause_s, count) for at, count in self._admitted
        )

    def mark_sent(self, now: float, fraction: float) -> None:
        """Record that a grant of this fraction is sent."""
        self.full_sends = MAX_FULL_SENDS if fraction < 1.0 else self.full_sends - 1
        self.fraction, self.sent_at = fraction, now


@attrs.define(kw_only=True, frozen=True)
class GrantDecision:
    """The fraction of a team's requests that all daemons are to admit."""

    team: str
    fraction: float
    retry_after_s: float


@attrs.define(kw_only=True)
class QuotaCoordinator:
    """Adds up the usage of teams that this daemon coordinates, and decides grants."""

    window_s: float
    """The window over which rate and burst are counted, seconds."""
    accounts: dict[str, Account] = attrs.Factory(dict)
    """The accounts of coordinated teams, by name."""

    def add_usage(
        self, now: float, team: keys.Team, share: float, usage: Usage, *, idle: bool
    ) -> None:
        """Add the usage at one daemon.

        `share` is the ratio of reachable to known daemons; `idle` states that a team
        without an account has had no usage for a whole window.
        """
        if team.name not in self.accounts:
            self._open(now, team, share, idle=idle)
        account = self._update_account(now, team, share)
        account.tokens -= usage.admitted
        account.add_admitted(now, usage.admitted)
        account.demand += usage.requested

    def resumed(self, pause_s: float) -> None:
        """Keep the accounts as they were before a pause of this process."""
        for account in self.accounts.values():
            account.resumed(pause_s)

    def due_grants(
        self, now: float, teams: dict[str, keys.Team], share: float
    ) -> list[GrantDecision]:
        """Return the grants that are to be sent to all daemons now."""
        decisions = []
        for name in list(self.accounts):
            team = teams.get(name)
            if team is None or not team.has_quota:
                del self.accounts[name]
                continue
            account = self._update_account(now, team, share)
            fraction = self._fraction(account, team, share)
            if self._is_due(now, account, fraction):
                account.mark_sent(now, fraction)
                retry_s = self._retry_after_s(account, team, share)
                decisions.append(
                    GrantDecision(team=name, fraction=fraction, retry_after_s=retry_s)
                )
        return decisions

    def _open(self, now: float, team: keys.Team, share: float, *, idle: bool) -> None:
        """Open a team's account, with an empty bucket unless the team is idle.

        Usage reported to an earlier coordinator is unknown, and may be up to the quota.
        """
        tokens = _capacity(team, share) if idle else 0.0
        account = Account(tokens=tokens, updated_at=now)
        self.accounts[team.name] = account
        if not idle:
            account.add_admitted(now, self._window_quota(team) * share)

    def _update_account(self, now: float, team: keys.Team, share: float) -> Account:
        """Refill a team's bucket, decay its demand, and return its account."""
        capacity = _capacity(team, share)
        account = self.accounts[team.name]
        elapsed_s = now - account.updated_at
        rate = self._rate(team) * share
        account.tokens = min(capacity, account.tokens + rate * elapsed_s)
        account.demand *= math.exp(-elapsed_s / DEMAND_DECAY_S)
        account.updated_at = now
        account.drop_admitted(now - self.window_s)
        return account

    def _fraction(self, account: Account, team: keys.Team, share: float) -> float:
        """Return the fraction of the demand that empties the bucket in time."""
        demand_per_s = account.demand / DEMAND_DECAY_S
        unreported = demand_per_s * account.fraction * REPORT_LAG_S
        tokens = account.tokens - (unreported if account.tokens > 0 else 0.0)
        rate = self._rate(team) * share + tokens / BUCKET_DRAIN_S
        unused = PEAK_RATIO * self._window_quota(team) * share - account.used
        rate = max(rate, (unused - unreported) / PEAK_DRAIN_S)
        if rate <= 0:
            return 0.0
        return 1.0 if rate >= demand_per_s else rate / demand_per_s

    def _window_quota(self, team: keys.Team) -> float:
        """Return the requests that rate and burst allow in a window."""
        return team.rate_per_s * self.window_s + team.burst

    def _rate(self, team: keys.Team) -> float:
        """Return the refill rate of the bucket, requests per second."""
        steady = STEADY_BURST_RATIO * team.burst / self.window_s
        return GRANTED_RATE_RATIO * team.rate_per_s + steady

    def _is_due(self, now: float, account: Account, fraction: float) -> bool:
        """Return whether a grant of this fraction is to be sent to all daemons."""
        if fraction >= 1.0:
            return account.full_sends > 0 and (
                account.fraction < 1.0
                or now - account.sent_at >= FULL_RESEND_INTERVAL_S
            )
        if now - account.sent_at < MIN_GRANT_INTERVAL_S:
            return False
        if now - account.sent_at >= RESEND_INTERVAL_S:
            return True
        return abs(fraction - account.fraction) > MIN_CHANGE_RATIO * account.fraction

    def _retry_after_s(self, account: Account, team: keys.Team, share: float) -> float:
        """Return the time until the bucket has a token again, seconds."""
        rate = team.rate_per_s * share
        wait_s = max(0.0, 1.0 - account.tokens) / max(rate, 1e-6)
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))


def choose_coordinator(team: str, addresses: Iterable[str]) -> str:
    """Return the address of the daemon that coordinates a team."""
    return max(addresses, key=lambda one: (zlib.crc32(f"{team}@{one}".encode()), one))


def _capacity(team: keys.Team, share: float) -> float:
    """Return the capacity of the bucket, at least one request."""
    return max(1.0, BUCKET_BURST_RATIO * team.burst * share)
