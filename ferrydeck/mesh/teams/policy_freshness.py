"""How old the confirmation is that no newer policy than the one in force was accepted.

A key that was taken away must run nothing some seconds later, also at a daemon that is
cut off and can't know. So requests with keys are served only while the daemon holds a
young confirmation: the store's answer that its policy is the newest. A confirmation
counts from when its question was sent. Daemons pass confirmations on to each other as
ages, in answers to questions whose sending time the asking daemon knows; no clocks are
compared.

Owns the time of the newest confirmation; relies on `registry` and on pongs for them.
"""

from __future__ import annotations

import attrs

EXPIRY_MARGIN_S = 0.2
"""How much sooner than agreed a confirmation is too old, seconds: a loop that is busy
looks at the clock some hundredths late."""
NEVER = -1e9


@attrs.define(kw_only=True)
class PolicyFreshness:
    """What one daemon knows of the age of its policy."""

    ttl_s: float | None
    """How long a key may run requests after it was taken away, seconds; `None` where
    nothing was agreed."""
    confirmed_at: float = NEVER
    """When nothing newer than the policy in force had been accepted."""
    _pending: tuple[int, float] = (0, NEVER)
    """A version that is not in force here yet, and when nothing newer than it was."""

    def add_confirmation(self, held: int, version: int, at: float) -> None:
        """Take a confirmation that at `at` no version above `version` was accepted.

        It is of use at once where the version `held` in force is not older.
        """
        if version <= held:
            self.confirmed_at = max(self.confirmed_at, at)
        elif at > self._pending[1]:
            self._pending = (version, at)

    def policy_applied(self, version: int) -> None:
        """Use a confirmation that came before its policy, which is in force now."""
        confirmed, at = self._pending
        if confirmed <= version:
            self.confirmed_at = max(self.confirmed_at, at)

    def age_s(self, now: float) -> float:
        """Return the age of the confirmation, seconds."""
        return now - self.confirmed_at

    def is_fresh(self, now: float) -> bool:
        """Return whether keys can be relied on."""
        return self.ttl_s is None or self.age_s(now) < self.ttl_s - EXPIRY_MARGIN_S
