"""Names of targets' incarnations: an id and the time of birth.

A target may start again under the id that it had. It then has nothing of before, so
every message about an incarnation names both. Between daemons the two are one string; a
target that does not state its time of birth is named by its id alone.
"""

from __future__ import annotations

UNKNOWN = 0
"""The time of birth of a target that does not state it."""
SEPARATOR = "#"
"""Separates the two; no id that came in the path of a call contains it."""


def name(target_id: str, started_ms: int) -> str:
    """Return the name of an incarnation; `started_ms` is in milliseconds since 1970."""
    return f"{target_id}{SEPARATOR}{started_ms}" if started_ms else target_id


def id_of(incarnation: str) -> str:
    """Return the id under which the target of an incarnation answers."""
    return incarnation.partition(SEPARATOR)[0]


def started_ms(incarnation: str) -> int:
    """Return when it started, milliseconds since 1970; `UNKNOWN` if not stated."""
    return int(incarnation.partition(SEPARATOR)[2] or UNKNOWN)
