"""Parsing of the heartbeats that targets send to the daemon of their box.

Each call is converted to an `events.Heartbeat`, or `None` if it is invalid, which the
driver logs.
"""

from __future__ import annotations

import msgspec

from ferrydeck.mesh import events, incarnations
from ferrydeck.platform import units

PATH_PREFIX = "/api/instances/"
"""Path prefix of a heartbeat, followed by the id of the target."""
READY_PATH = "/api/ready"
"""Path of the daemon's own readiness check."""
READY_BY_STATE = {"ready": True, "draining": False}
"""Whether a target accepts new requests, by state."""


class HeartbeatBody(msgspec.Struct, kw_only=True):
    """The body of a heartbeat; all fields without a default are required."""

    service: str
    address: str
    zone: str
    """The target's data centre."""
    version: str
    """Version of the target; required but unused."""
    slots: int
    """Maximum number of concurrent requests."""
    state: str
    sequence: int
    """Increases with each heartbeat of an incarnation, to detect reordering."""
    cold_remaining: str
    """Remaining warm-up time of the target, with a unit."""
    born: int = incarnations.UNKNOWN
    """Start time of the target, milliseconds since the Unix epoch."""


class LastHeartbeatBody(msgspec.Struct, kw_only=True):
    """The optional body of the call that deregisters a target."""

    service: str = ""
    address: str = ""
    sequence: int = 0
    born: int = incarnations.UNKNOWN


def read(conn: int, method: str, path: str, body: bytes) -> events.Heartbeat | None:
    """Parse a heartbeat; return `None` if the call is not a valid one."""
    target_id = path.partition("?")[0].removeprefix(PATH_PREFIX)
    if not path.startswith(PATH_PREFIX) or not target_id or "/" in target_id:
        return None
    match method:
        case "PUT":
            return _parse(conn, target_id, body)
        case "DELETE":
            return _parse_end(conn, target_id, body)
    return None


def _parse(conn: int, target_id: str, body: bytes) -> events.Heartbeat | None:
    try:
        parsed = msgspec.json.decode(body, type=HeartbeatBody)
        ready = READY_BY_STATE[parsed.state]
        warmup_s = units.to_seconds(parsed.cold_remaining)
    except (msgspec.DecodeError, LookupError, ValueError):
        return None
    if parsed.born < 0 or parsed.sequence < 0 or parsed.slots < 0:
        return None
    return events.Heartbeat(
        conn=conn,
        target_id=target_id,
        service=parsed.service,
        address=parsed.address,
        slots=parsed.slots,
        sequence=parsed.sequence,
        ready=ready,
        terminating=False,
        warmup_s=warmup_s,
        started_ms=parsed.born,
    )


def _parse_end(conn: int, target_id: str, body: bytes) -> events.Heartbeat | None:
    try:
        parsed = (
            msgspec.json.decode(body, type=LastHeartbeatBody)
            if body
            else LastHeartbeatBody()
        )
    except msgspec.DecodeError:
        return None
    return events.Heartbeat(
        conn=conn,
        target_id=target_id,
        service=parsed.service,
        address=parsed.address,
        slots=0,
        sequence=parsed.sequence,
        ready=False,
        terminating=True,
        warmup_s=0.0,
        started_ms=max(incarnations.UNKNOWN, parsed.born),
    )
