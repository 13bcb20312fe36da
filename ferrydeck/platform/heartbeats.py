"""The heartbeats of targets: calls to the daemon of their box that state how they are.

Each call becomes one `events.Heartbeat`, or `None` where it is none, which the driver
logs.
"""

from __future__ import annotations

import msgspec

from ferrydeck.mesh import events, incarnations
from ferrydeck.platform import units

PREFIX = "/api/instances/"
"""Path of a heartbeat, before the id of the target."""
READY_PATH = "/api/ready"
"""Path at which the daemon, not the target, is asked whether it is ready."""
STATES = {"ready": True, "draining": False}
"""Whether a target in a state takes new requests."""


class HeartbeatBody(msgspec.Struct, kw_only=True):
    """The body of a heartbeat; one that lacks a field is no target's."""

    service: str
    address: str
    zone: str
    """The target's data centre."""
    version: str
    """Must be there and isn't read; not the version of a policy."""
    slots: int
    """Requests that the target runs at once."""
    state: str
    sequence: int
    """Rises with each heartbeat of one incarnation, so that late ones are known."""
    cold_remaining: str
    """How much longer the target is slow from its start; a time with its unit."""
    born: int = incarnations.UNKNOWN
    """When the target started, milliseconds since 1970."""


class LastHeartbeatBody(msgspec.Struct, kw_only=True):
    """The body of the call with which a target ends; it may have none."""

    service: str = ""
    address: str = ""
    sequence: int = 0
    born: int = incarnations.UNKNOWN


def read(conn: int, method: str, path: str, body: bytes) -> events.Heartbeat | None:
    """Return the heartbeat in a call, or `None` where it is none."""
    target_id = path.partition("?")[0].removeprefix(PREFIX)
    if not path.startswith(PREFIX) or not target_id or "/" in target_id:
        return None
    match method:
        case "PUT":
            return _heartbeat(conn, target_id, body)
        case "DELETE":
            return _last_heartbeat(conn, target_id, body)
    return None


def _heartbeat(conn: int, target_id: str, body: bytes) -> events.Heartbeat | None:
    try:
        report = msgspec.json.decode(body, type=HeartbeatBody)
        ready = STATES[report.state]
        warmup_s = units.parse_duration(report.cold_remaining)
    except (msgspec.DecodeError, LookupError, ValueError):
        return None
    if report.born < 0 or report.sequence < 0 or report.slots < 0:
        return None
    return events.Heartbeat(
        conn=conn,
        target_id=target_id,
        service=report.service,
        address=report.address,
        slots=report.slots,
        sequence=report.sequence,
        ready=ready,
        terminating=False,
        warmup_s=warmup_s,
        started_ms=report.born,
    )


def _last_heartbeat(conn: int, target_id: str, body: bytes) -> events.Heartbeat | None:
    try:
        report = (
            msgspec.json.decode(body, type=LastHeartbeatBody)
            if body
            else LastHeartbeatBody()
        )
    except msgspec.DecodeError:
        return None
    return events.Heartbeat(
        conn=conn,
        target_id=target_id,
        service=report.service,
        address=report.address,
        slots=0,
        sequence=report.sequence,
        ready=False,
        terminating=True,
        warmup_s=0.0,
        started_ms=max(incarnations.UNKNOWN, report.born),
    )
