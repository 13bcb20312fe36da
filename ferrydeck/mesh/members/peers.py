"""Another daemon as this one knows it: its link, its target's state, its load.

`Peer` is only the record; `peer_table` keeps it up to date, `suspicion` judges it.
"""

from __future__ import annotations

import enum

import attrs

from ferrydeck.mesh import messages
from ferrydeck.mesh.inbound import health

REDIAL_S = 0.25
"""Pause before a lost link is dialled again, seconds."""
REPORT_FADES_S = 0.5
"""How long a reported load counts, seconds; it fades over that time."""


class Link(enum.Enum):
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
    protocol: int = 0
    """The version of the protocol that it speaks; 0 until it has dialled here."""
    service: str = ""
    """The service of its target, as its record or the daemon itself states it."""
    link: Link = Link.DOWN
    target_state: messages.TargetState | None = None
    cold_until: float = 0.0
    """Until when its target is still slow after its start."""
    listed: bool = False
    """Whether its record is in the store, as far as known."""
    received_at: float = -1e9
    sent_at: float = -1e9
    pinged_at: float = -1e9
    waiting_since: float = float("inf")
    """When the first message was sent after which nothing was received."""
    spread: float = 1.0
    """What its idle time is multiplied by, so that pings do not go out together."""
    suspected: bool = False
    """Whether it was suspect when last looked at."""
    dial_at: float = 0.0
    """When it may be dialled; while it is, when the dial is given up."""
    dial_pause_s: float = REDIAL_S
    unlisted_at: float = 0.0
    out: dict[int, float] = attrs.Factory(dict)
    """Attempts sent there and not answered, with the time of sending."""
    reported_busy: int = 0
    """Requests there by the newest report, less those sent from here."""
    reported_at: float = -1e9
    service_time_ms: int = 0
    """Service time of its target by the newest report; 0 while not known."""
    reported_failed: float = 0.0
    """Share of requests that its target failed or rejected, by the newest report."""

    @property
    def quiet(self) -> bool:
        """Return whether its link is up and nothing is out on it."""
        silent = self.waiting_since == float("inf")
        return self.link is Link.UP and silent and not self.out

    @property
    def open(self) -> bool:
        """Return whether its inbound side takes new requests."""
        target_state = self.target_state
        ready = target_state is not None and target_state.phase == messages.Phase.READY
        return ready and self.link is Link.UP

    def load_received(self, now: float, load: messages.Load) -> None:
        """Take the load of its target that the daemon reports."""
        self.reported_busy = max(0, load.busy - len(self.out))
        self.service_time_ms = load.service_time_ms
        self.reported_failed = load.failed_pct / 100
        self.reported_at = now

    def failed(self, now: float) -> float:
        """Return the share of requests that its target likely fails now."""
        return health.decayed(self.reported_failed, now - self.reported_at)

    def busy(self, now: float) -> float:
        """Return how many requests are likely there now."""
        weight = max(0.0, 1.0 - (now - self.reported_at) / REPORT_FADES_S)
        return len(self.out) + self.reported_busy * weight
