"""Failure ratio of the local target, which its daemon reports to all others.

Owns one moving average. Other daemons reduce a reported ratio by its age (`decayed`).
"""

from __future__ import annotations

import attrs

NEWEST_WEIGHT = 0.1
"""Weight of the newest request in the moving average of failures."""
HALF_LIFE_S = 3.0
"""Half-life of the failure ratio without requests, seconds, so that a target which was
avoided is tried again."""


def decayed(ratio: float, age_s: float) -> float:
    """Return a failure ratio reduced by its age, seconds."""
    if not ratio:
        return 0.0
    return ratio * 0.5 ** (max(0.0, age_s) / HALF_LIFE_S)


@attrs.define(kw_only=True)
class Health:
    """Moving average of the requests that the target failed or rejected."""

    _ratio: float = 0.0
    _counted_at: float = 0.0

    def count(self, now: float, *, failed: bool) -> None:
        """Count a request that reached the target."""
        ratio = self.failure_ratio(now)
        self._ratio = ratio + NEWEST_WEIGHT * (failed - ratio)
        self._counted_at = now

    def failure_ratio(self, now: float) -> float:
        """Return the present failure ratio, 0 to 1."""
        return decayed(self._ratio, now - self._counted_at)
