"""`Retry-After` times of rejections that the outbound side decides itself.

Other times come from the inbound side (`inbound.retry_after`), from the crash record of
a blocked request (`poison`) and from the quota of a team (`teams.quota`).
"""

from __future__ import annotations

from ferrydeck.mesh import messages

MIN_RETRY_AFTER_S = 0.3
"""Minimum and default time, seconds."""
OBJECTIVE_RATIO = 0.6
"""Part of the remaining latency objective after which a request that found no target
may be retried; the rest is left for the retry itself."""
NO_POLICY_S = 1.0
"""Time for a daemon that has started and has no policy yet, seconds."""
STALE_POLICY_S = 0.5
"""Time while the policy is too old to check API keys, seconds. Once links or store are
back, the policy is confirmed within this time."""
MIN_JITTER = 0.75
JITTER_RANGE = 0.5
"""Times are multiplied by a random factor from 0.75 to 1.25, so that callers that were
rejected together do not retry together."""


def for_reason(reason: messages.Reason) -> float:
    """Return the time for a rejection reason, seconds."""
    match reason:
        case messages.Reason.NO_POLICY:
            return NO_POLICY_S
        case messages.Reason.STALE_POLICY:
            return STALE_POLICY_S
    return MIN_RETRY_AFTER_S


def no_target(left_s: float, draw: float) -> float:
    """Return the time for a request that found no target, seconds.

    `left_s` is what remains of its latency objective; `draw` is from 0 to 1.
    """
    return max(MIN_RETRY_AFTER_S, OBJECTIVE_RATIO * left_s * jitter_factor(draw))


def over_quota(granted_s: float, draw: float) -> float:
    """Return the time for a request beyond its team's quota, seconds.

    `granted_s` comes from the quota grant; `draw` is from 0 to 1.
    """
    return granted_s * jitter_factor(draw)


def jitter_factor(draw: float) -> float:
    """Return the jitter factor for a random number from 0 to 1."""
    return MIN_JITTER + JITTER_RANGE * draw
