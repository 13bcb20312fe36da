"""Names of incarnations of a target: its id and start time in one string.

A target may restart under the same id without its former state, so messages name the
incarnation. The name of a target that doesn't report its start time is its id.
"""

from __future__ import annotations

UNKNOWN = 0
"""Start time of a target that doesn't report it."""
SEPARATOR = "#"
"""Separates id and start time; ids, which are parts of URL paths, don't contain it."""


def name(target_id: str, started_ms: int) -> str:
    """Return the name of an incarnation; `started_ms` is in milliseconds since 1970."""
    return f"{target_id}{SEPARATOR}{started_ms}" if started_ms else target_id


def target_id_of(incarnation: str) -> str:
    """Return the target id of an incarnation."""
    return incarnation.partition(SEPARATOR)[0]


def started_ms(incarnation: str) -> int:
    """Return its start time, milliseconds since 1970, or `UNKNOWN`."""
    return int(incarnation.partition(SEPARATOR)[2] or UNKNOWN)
