"""Computes the `Retry-After` time of a rejected request.

The time is sent with the rejection. It contains jitter, so that callers that were
rejected together don't retry together. The module owns no state; the caller of `decide`
draws the random number.
"""

from __future__ import annotations

import attrs

from ferrydeck.mesh import messages

MIN_RETRY_AFTER_S = 0.05
"""Shortest retry-after time, seconds."""
MAX_RETRY_AFTER_S = 2.0
"""Longest retry-after time, seconds."""
MIN_JITTER = 0.75
"""Smallest jitter factor."""
JITTER_RANGE = 0.5
"""Difference of the largest and the smallest jitter factor."""
MIN_SHED_RETRY_AFTER_S = 0.5
"""Shortest time after a request was shed, before jitter, seconds: two windows of the
shedding control (`route_shedding.WINDOW_S`)."""
RETRY_MARGIN_S = 0.1
"""Time reserved for the transmission of the retry, seconds."""


@attrs.define(kw_only=True, frozen=True)
class Inputs:
    """Inputs of the retry-after time."""

    reason: messages.Reason
    service_time_s: float
    """Expected service time of the route, seconds."""
    objective_s: float
    """Latency objective of the route, seconds."""
    waiting_s: float
    """Slot time of the queued requests, seconds."""
    capacity: float
    """Concurrent runs that the target sustains."""
    random_value: float
    """A random number from 0 to 1."""


def decide(inputs: Inputs) -> float:
    """Return the retry-after time, seconds.

    For a full queue it is the time to drain the queue. After shedding there is no such
    time, so the caller gets the latest one at which an answer can still meet the
    latency objective.
    """
    delay_s = (inputs.waiting_s + inputs.service_time_s) / inputs.capacity
    if inputs.reason is messages.Reason.SHED:
        on_time_s = inputs.objective_s - inputs.service_time_s - RETRY_MARGIN_S
        delay_s = max(MIN_SHED_RETRY_AFTER_S, on_time_s / (MIN_JITTER + JITTER_RANGE))
    jitter = MIN_JITTER + JITTER_RANGE * inputs.random_value
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, delay_s * jitter))
