"""When a box is given up: suspected, pinged, hung up on, dialled, forgotten.

Owns the limits on silence and the rules that follow from them; relies on what `peers`
records of each daemon. The only sign of a failed box is that nothing is received after
something was sent, so silence is measured from the first message without a reply.
"""

from __future__ import annotations

import attrs

from ferrydeck.mesh.members import peers

MIN_IDLE_PING_INTERVAL_S = 1.0
"""A link on which nothing was sent for this long gets a ping, seconds: an idle
fleet of 15 then sends 14 small messages a second from each daemon."""
MAX_IDLE_PINGS_PER_S = 15.0
"""Pings of idle links that a daemon sends at most, a second: with many daemons idle
links are asked less often, so that the cost of a daemon does not grow with them."""
UNANSWERED_PING_DELAY_S = 0.15
"""A link on which nothing came for this long after something was sent gets a ping,
seconds: most answers of the users' sheets take longer, so one ping a request."""
IN_FLIGHT_PING_DELAY_S = 0.3
"""A link with requests out on which nothing came for this long gets a ping, seconds:
they are moved elsewhere 0.6 s after it, if it stays silent."""
SUSPECT_TIMEOUT_S = 0.35
"""Silence after which a box is suspect and is sent nothing new, seconds: three ticks
and the pause of a busy loop."""
SILENT_TIMEOUT_S = 0.6
"""Silence after which a request that may run twice is sent to another box, seconds."""
LINK_TIMEOUT_S = 1.5
"""Silence after which a link is dialled anew, seconds: the kernel would wait longer and
longer before it sends again what a network cut has swallowed."""
PEER_REMOVAL_TIMEOUT_S = 10.0
"""A box without record and link is forgotten after this long, seconds."""


@attrs.define(kw_only=True, frozen=True)
class KeepLink:
    """Leave a link as it is."""


@attrs.define(kw_only=True, frozen=True)
class Dial:
    """Dial a daemon to which there is no link."""


@attrs.define(kw_only=True, frozen=True)
class CloseLink:
    """Close a link, to be dialled anew."""

    reason: str


@attrs.define(kw_only=True, frozen=True)
class RemovePeer:
    """Remove a daemon from the table."""


Action = KeepLink | Dial | CloseLink | RemovePeer
KEEP_LINK = KeepLink()
DIAL = Dial()
REMOVE_PEER = RemovePeer()
CLOSE_SILENT = CloseLink(reason="silent")
CLOSE_DIAL_TIMEOUT = CloseLink(reason="no greeting")


def next_action(now: float, peer: peers.Peer) -> Action:
    """Return what is due for the link to a daemon."""
    match peer.link_state:
        case peers.LinkState.UP:
            return (
                CLOSE_SILENT if _unanswered_s(now, peer) > LINK_TIMEOUT_S else KEEP_LINK
            )
        case peers.LinkState.DIALLING | peers.LinkState.HANDSHAKE:
            return CLOSE_DIAL_TIMEOUT if now >= peer.dial_timer_at else KEEP_LINK
    unlisted_since = max(peer.not_in_store_since, peer.last_received_at)
    if not peer.in_store and now - unlisted_since > PEER_REMOVAL_TIMEOUT_S:
        return REMOVE_PEER
    return DIAL if now >= peer.dial_timer_at else KEEP_LINK


def is_suspect(now: float, peer: peers.Peer) -> bool:
    """Return whether a box is silent for so long that nothing new is sent there."""
    return now - peer.unanswered_since > SUSPECT_TIMEOUT_S


def is_silent(now: float, peer: peers.Peer) -> bool:
    """Return whether requests at a box are to be sent to other ones, if they may be."""
    return now - peer.unanswered_since >= SILENT_TIMEOUT_S


def ping_due(now: float, peer: peers.Peer, idle_s: float) -> bool:
    """Return whether a daemon is to be asked for a sign of life.

    `idle_s` is how long a link may rest, seconds (`longest_rest_s`).
    """
    if now - peer.last_sent_at >= idle_s * peer.ping_jitter:
        return True
    unasked = peer.last_pinged_at < peer.unanswered_since
    if unasked and _unanswered_s(now, peer) >= UNANSWERED_PING_DELAY_S:
        return True
    return bool(peer.in_flight) and _idle_s(now, peer) >= IN_FLIGHT_PING_DELAY_S


def ping_due_near_suspect(now: float, peer: peers.Peer) -> bool:
    """Return whether a daemon is asked as another one of its data centre is suspect.

    The data centre may be cut off: without a ping each of its boxes would be found
    silent by a request of its own.
    """
    return (
        peer.link_state is peers.LinkState.UP and _idle_s(now, peer) > SUSPECT_TIMEOUT_S
    )


def idle_ping_interval_s(daemons: int) -> float:
    """Return how long a link may rest before it gets a ping, seconds."""
    return max(MIN_IDLE_PING_INTERVAL_S, daemons / MAX_IDLE_PINGS_PER_S)


def _unanswered_s(now: float, peer: peers.Peer) -> float:
    """Return how long a message has been without a reply; negative for none."""
    return now - peer.unanswered_since


def _idle_s(now: float, peer: peers.Peer) -> float:
    """Return for how long nothing was sent or received, seconds."""
    return now - max(peer.last_received_at, peer.last_sent_at)
