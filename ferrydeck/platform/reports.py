"""The reports of servers: calls to a daemon that say how a server stands."""

from __future__ import annotations

import msgspec

from ferrydeck.mesh import events
from ferrydeck.platform import units

PREFIX = "/api/instances/"
READY_PATH = "/api/ready"
READY = "ready"


class Report(msgspec.Struct, kw_only=True):
    """The body of a report."""

    service: str = ""
    address: str = ""
    slots: int = 0
    state: str = READY
    sequence: int = 0
    """Rises with each call of one lifetime, so that late ones can be told."""
    cold_remaining: str = "0ms"
    """How much longer the server is slow from its start."""


def read(conn: int, method: str, path: str, body: bytes) -> events.Beat | None:
    """Return what a call reports, or `None` where it is no report."""
    instance = path.partition("?")[0].removeprefix(PREFIX)
    if not path.startswith(PREFIX) or not instance or "/" in instance:
        return None
    gone = method == "DELETE"
    if method not in ("PUT", "DELETE"):
        return None
    try:
        report = msgspec.json.decode(body, type=Report) if body else Report()
        cold_s = units.seconds(report.cold_remaining)
    except (msgspec.DecodeError, ValueError):
        return None
    return events.Beat(
        conn=conn,
        instance=instance,
        service=report.service,
        address=report.address,
        slots=report.slots,
        sequence=report.sequence,
        ready=report.state == READY and not gone,
        gone=gone,
        cold_s=cold_s,
    )
