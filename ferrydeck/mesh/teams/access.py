"""Whether a caller may have a request run: its key, the age of the policy, the quota.

Owns no state; relies on the policy's keyring, on `policy_freshness` and on `quota`.
"""

from __future__ import annotations

import attrs

from ferrydeck.mesh import context, events, messages, policy
from ferrydeck.mesh.outbound import retry_after
from ferrydeck.mesh.teams import keys, policy_freshness, quota

UNAUTHORIZED_STATUS = 401
UNAVAILABLE_STATUS = 503
TOO_MANY_REQUESTS_STATUS = 429


@attrs.define(kw_only=True, frozen=True)
class Allowed:
    """A request may be run; `team` is whose it is, `None` for nobody's."""

    team: keys.Team | None


@attrs.define(kw_only=True, frozen=True)
class Denied:
    """A request is rejected before anything is done for it."""

    status: int
    reason: messages.Reason
    retry_after_s: float | None = None
    inputs: dict[str, object] = attrs.Factory(dict)
    """What it was decided on, for the log: never the key."""


@attrs.define(kw_only=True)
class AccessControl:
    """Decides for the callers of this box."""

    ctx: context.Context
    policy_freshness: policy_freshness.PolicyFreshness
    quota_enforcer: quota.QuotaEnforcer

    def check(
        self, now: float, request: events.RequestReceived, route: policy.Route
    ) -> Allowed | Denied:
        """Return whose a request is, or why it is rejected.

        Calls of targets come without a key, on routes that need none.
        """
        held = self.ctx.policy
        if not held.teams or (route.public and not request.key):
            return Allowed(team=None)
        fresh = self.policy_freshness.is_fresh(now)
        team = held.keyring.find(request.key) if request.key and fresh else None
        if team is None and route.public:
            return Allowed(team=None)
        if not request.key:
            return Denied(status=UNAUTHORIZED_STATUS, reason=messages.Reason.NO_KEY)
        if not fresh:
            return self._deny_stale_policy(now)
        if team is None:
            return Denied(
                status=UNAUTHORIZED_STATUS, reason=messages.Reason.UNKNOWN_KEY
            )
        return self._check_quota(now, team)

    def _deny_stale_policy(self, now: float) -> Denied:
        """Reject a key of which it isn't known whether it still counts.

        Not as an unknown one: its caller is to come back.
        """
        return Denied(
            status=UNAVAILABLE_STATUS,
            reason=messages.Reason.STALE_POLICY,
            retry_after_s=retry_after.for_reason(messages.Reason.STALE_POLICY),
            inputs={"proof_age_s": round(self.policy_freshness.age_s(now), 3)},
        )

    def _check_quota(self, now: float, team: keys.Team) -> Allowed | Denied:
        grant = self.quota_enforcer.check(now, team)
        if grant is None:
            return Allowed(team=team)
        after_s = retry_after.over_quota(grant.retry_after_s, self.ctx.rng.random())
        return Denied(
            status=TOO_MANY_REQUESTS_STATUS,
            reason=messages.Reason.QUOTA,
            retry_after_s=after_s,
            inputs={
                "team": team.name,
                "share": round(grant.fraction, 3),
                "rate_per_s": team.rate_per_s,
                "burst": team.burst,
            },
        )
