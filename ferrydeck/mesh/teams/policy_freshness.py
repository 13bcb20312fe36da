"""The age of the confirmation that the policy in force is the newest one.

A revoked key must stop working within some seconds, even at a daemon that is
partitioned from the store. So requests with keys are served only while the daemon has a
fresh confirmation: the store's answer that the policy is the newest. Its age counts
from the time of the request. Daemons send each other the ages of confirmations in
replies to pings, whose sending time the receiver knows, so no clocks are compared.

Owns the time of the newest confirmation; gets them from `registry` and from pongs.
"""

from __future__ import annotations

import attrs

EXPIRY_MARGIN_S = 0.2
"""Safety margin of the expiry, seconds, for the delay of a busy event loop."""
NEVER = -1e9


@attrs.define(kw_only=True)
class PolicyFreshness:
    """The freshness of this daemon's policy."""

    ttl_s: float | None
    """How long a revoked key may still work, seconds; `None` for no limit."""
    confirmed_at: float = NEVER
    """When the policy in force was last known to be the newest."""
    _pending: tuple[int, float] = (0, NEVER)
    """A confirmed version that is not in force here yet, and when it was confirmed."""

    def add_confirmation(self, current: int, version: int, at: float) -> None:
        """Record that `version` was the newest at the time `at`.

        It applies at once if the version in force, `current`, is not older.
        """
        if version <= current:
            self.confirmed_at = max(self.confirmed_at, at)
        elif at > self._pending[1]:
            self._pending = (version, at)

    def policy_applied(self, version: int) -> None:
        """Use a confirmation that arrived before its policy, which is now in force."""
        confirmed_version, at = self._pending
        if confirmed_version <= version:
            self.confirmed_at = max(self.confirmed_at, at)

    def age_s(self, now: float) -> float:
        """Return the age of the confirmation, seconds."""
        return now - self.confirmed_at

    def is_fresh(self, now: float) -> bool:
        """Return whether the keys in the policy may be relied on."""
        return self.ttl_s is None or self.age_s(now) < self.ttl_s - EXPIRY_MARGIN_S
