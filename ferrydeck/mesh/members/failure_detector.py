"""Detects failed boxes, and decides when to ping, dial, close a link or remove a peer.

Owns the timeouts and the rules that use them; relies on the state in `peers`. A failed
box shows only by messages that get no reply, so silence is measured from the first
message sent after which nothing was received.
"""

from __future__ import annotations

import attrs

from ferrydeck.mesh.members import peers

MIN_IDLE_PING_INTERVAL_S = 1.0
"""Shortest interval between pings on an idle link, seconds."""
MAX_IDLE_PINGS_PER_S = 15.0
"""Limit of pings on idle links per second and daemon; in large fleets idle links are
pinged less often, so that the cost per daemon is bounded."""
UNANSWERED_PING_DELAY_S = 0.15
"""A link is pinged once a message has had no reply for this long, seconds."""
IN_FLIGHT_PING_DELAY_S = 0.3
"""A link with requests in flight is pinged after this long without traffic, seconds."""
SUSPECT_TIMEOUT_S = 0.35
"""Silence after which a box gets no new requests, seconds; three link checks and the
delay of a busy event loop."""
SILENT_TIMEOUT_S = 0.6
"""Silence after which idempotent requests are retried at another box, seconds."""
LINK_TIMEOUT_S = 1.5
"""Silence after which a link is closed and redialled, seconds; after a partition TCP
would back off for longer."""
PEER_REMOVAL_TIMEOUT_S = 10.0
"""A box with neither record nor link is removed after this long, seconds."""


@attrs.define(kw_only=True, frozen=True)
class KeepLink:
    """Leave a link as it is."""


@attrs.define(kw_only=True, frozen=True)
class Dial:
    """Dial a daemon to which there is no link."""


@attrs.define(kw_only=True, frozen=True)
class CloseLink:
    """Close a link; it is redialled later."""

    reason: str


@attrs.define(kw_only=True, frozen=True)
class RemovePeer:
    """Remove a daemon from the table."""


Action = KeepLink | Dial | CloseLink | RemovePeer
KEEP = KeepLink()
DIAL = Dial()
REMOVE_PEER = RemovePeer()
CLOSE_SILENT = CloseLink(reason="silent")
CLOSE_NO_HANDSHAKE = CloseLink(reason="handshake timed out")


def next_action(now: float, peer: peers.Peer) -> Action:
    """Return the action that is due for the link to a daemon."""
    match peer.link:
        case peers.LinkState.UP:
            return CLOSE_SILENT if _silence_s(now, peer) > LINK_TIMEOUT_S else KEEP
        case peers.LinkState.DIALLING | peers.LinkState.HANDSHAKE:
            return CLOSE_NO_HANDSHAKE if now >= peer.timer_at else KEEP
    last_seen_at = max(peer.not_in_store_since, peer.last_received_at)
    if not peer.in_store and now - last_seen_at > PEER_REMOVAL_TIMEOUT_S:
        return REMOVE_PEER
    return DIAL if now >= peer.timer_at else KEEP


def is_suspect(now: float, peer: peers.Peer) -> bool:
    """Return whether a box is silent for so long that it gets no new requests."""
    return now - peer.unanswered_since > SUSPECT_TIMEOUT_S


def is_silent(now: float, peer: peers.Peer) -> bool:
    """Return whether a box is silent for so long that its requests are retried."""
    return now - peer.unanswered_since >= SILENT_TIMEOUT_S


def ping_due(now: float, peer: peers.Peer, idle_interval_s: float) -> bool:
    """Return whether a daemon is to be pinged.

    `idle_interval_s` is the interval between pings on idle links, seconds.
    """
    if now - peer.last_sent_at >= idle_interval_s * peer.ping_jitter:
        return True
    not_pinged = peer.last_pinged_at < peer.unanswered_since
    if not_pinged and _silence_s(now, peer) >= UNANSWERED_PING_DELAY_S:
        return True
    return bool(peer.in_flight) and _idle_s(now, peer) >= IN_FLIGHT_PING_DELAY_S


def ping_due_near_suspect(now: float, peer: peers.Peer) -> bool:
    """Return whether a daemon is to be pinged as another of its data centre is suspect.

    The data centre may be partitioned: without pings, each of its boxes would cost a
    request before it becomes suspect.
    """
    return peer.link is peers.LinkState.UP and _idle_s(now, peer) > SUSPECT_TIMEOUT_S


def idle_ping_interval_s(daemons: int) -> float:
    """Return the interval between pings on an idle link, seconds."""
    return max(MIN_IDLE_PING_INTERVAL_S, daemons / MAX_IDLE_PINGS_PER_S)


def _silence_s(now: float, peer: peers.Peer) -> float:
    """Return how long a message has had no reply, seconds; negative for none."""
    return now - peer.unanswered_since


def _idle_s(now: float, peer: peers.Peer) -> float:
    """Return how long nothing was sent or received, seconds."""
    return now - max(peer.last_received_at, peer.last_sent_at)
