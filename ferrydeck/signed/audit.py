"""The audit trail: the most recent state changes of the daemon."""

from __future__ import annotations

import collections

import attrs
import logbook

from ferrydeck import clock

log = logbook.Logger(__name__)

MAX_ENTRIES = 2000


@attrs.define(kw_only=True, frozen=True)
class Entry:
    """A state change."""

    time: str
    box: str
    incarnation: int
    action: str
    detail: str


@attrs.define(kw_only=True)
class Trail:
    """The state changes of this daemon, oldest first."""

    box: str
    incarnation: int
    entries: collections.deque[Entry] = attrs.Factory(
        lambda: collections.deque(maxlen=MAX_ENTRIES)
    )

    def add(self, action: str, detail: str) -> None:
        """Record and log a state change."""
        timestamp = clock.utc_now().isoformat(timespec="milliseconds")
        self.entries.append(
            Entry(
                time=timestamp,
                box=self.box,
                incarnation=self.incarnation,
                action=action,
                detail=detail,
            )
        )
        log.info("{}: {}", action, detail)
