"""What is known of another daemon: its link, its target's state, its load.

`peer_table` updates a `Peer`, `failure_detector` evaluates it.
"""

from __future__ import annotations

import enum

import attrs

from ferrydeck.mesh import messages
from ferrydeck.mesh.inbound import health

MIN_REDIAL_DELAY_S = 0.25
"""Delay of the first redial of a lost link, seconds; doubles with each failure."""
MAX_RATE_LIMIT_PAUSE_S = 0.25
"""Longest time for which a target is avoided after a rejection for its rate limit,
seconds, since the limit may be lifted before."""
LOAD_REPORT_TTL_S = 0.5
"""Time over which the weight of a reported load falls to zero, seconds."""


class LinkState(enum.Enum):
    """State of the link to a daemon."""

    DOWN = "down"
    DIALLING = "dialling"
    HANDSHAKE = "handshake"
    UP = "up"


@attrs.define(kw_only=True, eq=False)
class Peer:
    """Another daemon as seen by this one; compared by identity."""

    address: str
    box: str = ""
    incarnation: int = 0
    data_centre: str = ""
    protocol_version: int = 0
    """Its protocol version; 0 until it has dialled this daemon."""
    service: str = ""
    """The service of its target, by its record or its target state."""
    link: LinkState = LinkState.DOWN
    target_state: messages.TargetState | None = None
    cold_until: float = 0.0
    """When its target has warmed up after a cold start."""
    in_store: bool = False
    """Whether the last read of the store had its record."""
    last_received_at: float = -1e9
    last_sent_at: float = -1e9
    last_pinged_at: float = -1e9
    unanswered_since: float = float("inf")
    """When the first message was sent that has had no reply; infinite for none."""
    ping_jitter: float = 1.0
    """Factor on its idle ping interval, so that pings are not synchronized."""
    was_suspect: bool = False
    """Whether it was suspect at the last check."""
    timer_at: float = 0.0
    """When the next dial is due, or the current one times out."""
    redial_delay_s: float = MIN_REDIAL_DELAY_S
    not_in_store_since: float = 0.0
    in_flight: dict[int, float] = attrs.Factory(dict)
    """Unanswered attempts sent there, by number, with the time of sending."""
    reported_in_flight: int = 0
    """Requests at its target by the newest report, except those sent from here."""
    load_reported_at: float = -1e9
    service_time_ms: int = 0
    """Service time of its target by the newest report; 0 if unknown."""
    reported_failure_ratio: float = 0.0
    """Ratio of requests that its target failed or rejected, by the newest report."""
    rate_limit: messages.RateLimit | None = None
    """The rate limit of its target; `None` without one. Kept while the link is down."""
    rate_limited_until: float = 0.0
    """Until when its target accepts no request, as it has just rejected one."""

    @property
    def idle(self) -> bool:
        """Return whether its link is up and nothing on it is unanswered."""
        answered = self.unanswered_since == float("inf")
        return self.link is LinkState.UP and answered and not self.in_flight

    @property
    def accepts_requests(self) -> bool:
        """Return whether new requests may be sent to it."""
        target_state = self.target_state
        ready = target_state is not None and target_state.phase == messages.Phase.READY
        return ready and self.link is LinkState.UP

    def update_load(self, now: float, load: messages.Load) -> None:
        """Update the load of its target from a report."""
        self.reported_in_flight = max(0, load.busy - len(self.in_flight))
        self.service_time_ms = load.service_time_ms
        self.reported_failure_ratio = load.failed_pct / 100
        self.load_reported_at = now

    def rate_limit_reached(self, now: float, retry_after_s: float) -> None:
        """Avoid its target, which has rejected a request for its rate limit."""
        self.rate_limited_until = now + min(retry_after_s, MAX_RATE_LIMIT_PAUSE_S)

    def estimated_failure_ratio(self, now: float) -> float:
        """Return the estimated ratio of requests that its target fails now."""
        return health.decayed(self.reported_failure_ratio, now - self.load_reported_at)

    def estimated_in_flight(self, now: float) -> float:
        """Return the estimated number of requests at its target now."""
        weight = max(0.0, 1.0 - (now - self.load_reported_at) / LOAD_REPORT_TTL_S)
        return len(self.in_flight) + self.reported_in_flight * weight
