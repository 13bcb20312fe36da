"""Another daemon as this one knows it: its link, its target's state, its load.

`Peer` is only the record; `peer_table` keeps it up to date, `suspicion` judges it.
"""

from __future__ import annotations

import enum

import attrs

from ferrydeck.mesh import messages
from ferrydeck.mesh.inbound import health

MIN_REDIAL_DELAY_S = 0.25
"""Pause before a lost link is dialled again, seconds."""
LOAD_REPORT_TTL_S = 0.5
"""How long a reported load counts, seconds; it fades over that time."""


class LinkState(enum.Enum):
    """State of the link to a daemon."""

    DOWN = "down"
    DIALLING = "dialling"
    HANDSHAKE = "handshake"
    UP = "up"


@attrs.define(kw_only=True, eq=False)
class Peer:
    """Another daemon as this one sees it; it is compared by identity."""

    address: str
    box: str = ""
    incarnation: int = 0
    data_centre: str = ""
    protocol_version: int = 0
    """The version of the protocol that it speaks; 0 until it has dialled here."""
    service: str = ""
    """The service of its target, as its record or the daemon itself states it."""
    link_state: LinkState = LinkState.DOWN
    target_state: messages.TargetState | None = None
    cold_until: float = 0.0
    """Until when its target is still slow after its start."""
    in_store: bool = False
    """Whether its record is in the store, as far as known."""
    last_received_at: float = -1e9
    last_sent_at: float = -1e9
    last_pinged_at: float = -1e9
    unanswered_since: float = float("inf")
    """When the first message was sent after which nothing was received."""
    ping_jitter: float = 1.0
    """What its idle time is multiplied by, so that pings do not go out together."""
    was_suspect: bool = False
    """Whether it was suspect when last looked at."""
    dial_timer_at: float = 0.0
    """When it may be dialled; while it is, when the dial is given up."""
    redial_delay_s: float = MIN_REDIAL_DELAY_S
    not_in_store_since: float = 0.0
    in_flight: dict[int, float] = attrs.Factory(dict)
    """Attempts sent there and not answered, with the time of sending."""
    reported_in_flight: int = 0
    """Requests there by the newest report, less those sent from here."""
    load_reported_at: float = -1e9
    service_time_ms: int = 0
    """Service time of its target by the newest report; 0 while not known."""
    reported_failure_ratio: float = 0.0
    """Share of requests that its target failed or rejected, by the newest report."""

    @property
    def idle(self) -> bool:
        """Return whether its link is up and nothing is out on it."""
        silent = self.unanswered_since == float("inf")
        return self.link_state is LinkState.UP and silent and not self.in_flight

    @property
    def accepts_requests(self) -> bool:
        """Return whether its inbound side takes new requests."""
        target_state = self.target_state
        ready = target_state is not None and target_state.phase == messages.Phase.READY
        return ready and self.link_state is LinkState.UP

    def update_load(self, now: float, load: messages.Load) -> None:
        """Take the load of its target that the daemon reports."""
        self.reported_in_flight = max(0, load.busy - len(self.in_flight))
        self.service_time_ms = load.service_time_ms
        self.reported_failure_ratio = load.failed_pct / 100
        self.load_reported_at = now

    def estimated_failure_ratio(self, now: float) -> float:
        """Return the share of requests that its target likely fails now."""
        return health.decayed(self.reported_failure_ratio, now - self.load_reported_at)

    def estimated_in_flight(self, now: float) -> float:
        """Return how many requests are likely there now."""
        weight = max(0.0, 1.0 - (now - self.load_reported_at) / LOAD_REPORT_TTL_S)
        return len(self.in_flight) + self.reported_in_flight * weight
