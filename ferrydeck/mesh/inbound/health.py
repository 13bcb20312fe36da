"""How often a target fails, as the daemon beside it sees and reports to all others.

Owns one running share. Other daemons let a reported share fade by its age (`decayed`).
"""

from __future__ import annotations

import attrs

WEIGHT = 0.1
"""Weight of the newest request in the running share of failed ones."""
HALF_LIFE_S = 3.0
"""Without requests the share halves over this time, seconds: a target that is asked
nothing any more is tried again."""


def decayed(share: float, age_s: float) -> float:
    """Return what a share of failed requests counts after some time, seconds."""
    if not share:
        return 0.0
    return share * 0.5 ** (max(0.0, age_s) / HALF_LIFE_S)


@attrs.define(kw_only=True)
class Health:
    """The running share of requests that a target failed or rejected."""

    _failure_ratio: float = 0.0
    _counted_at: float = 0.0

    def count(self, now: float, *, failed: bool) -> None:
        """Count a request that reached the target."""
        share = self.failure_ratio(now)
        self._failure_ratio = share + WEIGHT * (failed - share)
        self._counted_at = now

    def failure_ratio(self, now: float) -> float:
        """Return the share now, 0 to 1."""
        return decayed(self._failure_ratio, now - self._counted_at)
