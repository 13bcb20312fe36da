"""Authorizes requests by their API key, the age of the policy, and the team's quota.

Owns no state; relies on the policy's keyring, on `policy_freshness` and on `quota`.
"""

from __future__ import annotations

import attrs

from ferrydeck.mesh import context, events, messages, policy
from ferrydeck.mesh.outbound import retry_after
from ferrydeck.mesh.teams import keys, policy_freshness, quota

UNAUTHORIZED = 401
SERVICE_UNAVAILABLE = 503
TOO_MANY_REQUESTS = 429


@attrs.define(kw_only=True, frozen=True)
class Allowed:
    """A request may be run for a team, or for no team if `team` is `None`."""

    team: keys.Team | None


@attrs.define(kw_only=True, frozen=True)
class Denied:
    """A request is rejected before it is processed."""

    status: int
    reason: messages.Reason
    retry_after_s: float | None = None
    inputs: dict[str, object] = attrs.Factory(dict)
    """Inputs of the decision, for the log; never the key."""


@attrs.define(kw_only=True)
class AccessControl:
    """Authorizes the requests of this box's callers."""

    ctx: context.Context
    policy_freshness: policy_freshness.PolicyFreshness
    quota_enforcer: quota.QuotaEnforcer

    def check(
        self, now: float, request: events.RequestReceived, route: policy.Route
    ) -> Allowed | Denied:
        """Return the team of a request, or why the request is rejected.

        Calls from targets carry no key, on public routes.
        """
        current = self.ctx.policy
        if not current.teams or (route.public and not request.key):
            return Allowed(team=None)
        fresh = self.policy_freshness.is_fresh(now)
        team = current.keyring.find(request.key) if request.key and fresh else None
        if team is None and route.public:
            return Allowed(team=None)
        if not request.key:
            return Denied(status=UNAUTHORIZED, reason=messages.Reason.NO_KEY)
        if not fresh:
            return self._deny_stale_policy(now)
        if team is None:
            return Denied(status=UNAUTHORIZED, reason=messages.Reason.UNKNOWN_KEY)
        return self._check_quota(now, team)

    def _deny_stale_policy(self, now: float) -> Denied:
        """Reject a request whose key may have been revoked.

        The status is not that of an unknown key, so that the caller retries.
        """
        return Denied(
            status=SERVICE_UNAVAILABLE,
            reason=messages.Reason.STALE_POLICY,
            retry_after_s=retry_after.for_reason(messages.Reason.STALE_POLICY),
            inputs={"proof_age_s": round(self.policy_freshness.age_s(now), 3)},
        )

    def _check_quota(self, now: float, team: keys.Team) -> Allowed | Denied:
        grant = self.quota_enforcer.check(now, team)
        if grant is None:
            return Allowed(team=team)
        retry_s = retry_after.over_quota(grant.retry_after_s, self.ctx.rng.random())
        return Denied(
            status=TOO_MANY_REQUESTS,
            reason=messages.Reason.QUOTA,
            retry_after_s=retry_s,
            inputs={
                "team": team.name,
                "share": round(grant.fraction, 3),
                "rate_per_s": team.rate_per_s,
                "burst": team.burst,
            },
        )
