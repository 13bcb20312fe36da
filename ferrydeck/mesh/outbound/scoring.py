"""Scores targets for load balancing; the lowest score wins.

A score is the target's load as a ratio of its slots, plus penalties in the same unit.
Each function computes one term; `balancing` adds them up.
"""

from __future__ import annotations

FAR_PENALTY = 0.6
"""Penalty for a target in another data centre, since traffic between them is billed. A
near target with up to two thirds of its slots in use is as fast as an idle one."""
HIGH_LOAD = 0.75
"""Load ratio above which `HIGH_LOAD_WEIGHT` applies."""
HIGH_LOAD_WEIGHT = 4.0
"""Extra weight of the load above `HIGH_LOAD`, which moves traffic to other data centres
before a near target is full and rejects requests. With less, a slow target fills up
while others in reach have free slots."""
FAILURE_PENALTY = 1.5
"""Penalty for a target that fails or rejects all requests."""
MIN_FAILURE_RATIO = 0.1
"""Failure ratio below which a target counts as healthy."""
OUTLIER_RATIO = 0.5
"""A target is an outlier if the baseline is below this part of its failure ratio."""
COLD_START_PENALTY = 0.3
"""Penalty for a target that is still warming up."""
SLOW_PENALTY = 0.3
"""Penalty for a target that takes twice as long as the fastest one. Some are three
times as fast as others, and at low load nothing else tells them apart."""
MAX_SLOW_PENALTY = 0.6
"""Maximum penalty for a slow target, equal to `FAR_PENALTY`."""
RATE_LIMIT_PENALTY = 10.0
"""Penalty for a target that accepts no request at present; above any other score."""
MAX_JITTER = 0.05
"""Maximum random addition, which spreads requests over equal targets."""


def load_score(load: float) -> float:
    """Return the term for a load ratio."""
    return load + HIGH_LOAD_WEIGHT * max(0.0, load - HIGH_LOAD)


def slow_penalty(service_time_ms: int, fastest_ms: int) -> float:
    """Return the penalty for a service time; either time is 0 if unknown."""
    if not service_time_ms or not fastest_ms:
        return 0.0
    return min(MAX_SLOW_PENALTY, SLOW_PENALTY * (service_time_ms / fastest_ms - 1.0))


def failure_penalty(failed: float, baseline: float) -> float:
    """Return the penalty for a failure ratio, 0 for a target that is no outlier.

    If a shared dependency makes all targets fail alike, a penalty would let small
    differences send all requests of a service to one target.
    """
    if failed < MIN_FAILURE_RATIO or not is_outlier(failed, baseline):
        return 0.0
    return FAILURE_PENALTY * failed


def is_outlier(failed: float, baseline: float) -> bool:
    """Return whether a failure ratio is well above the baseline."""
    return baseline < OUTLIER_RATIO * failed
