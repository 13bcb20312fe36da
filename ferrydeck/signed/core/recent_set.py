"""A set of recently added items, kept as two generations that rotate."""

from __future__ import annotations

from collections.abc import Hashable

import attrs


@attrs.define(kw_only=True)
class RecentSet:
    """Keeps each item for at least `retention_s`."""

    retention_s: float
    _current: set[Hashable] = attrs.Factory(set)
    _previous: set[Hashable] = attrs.Factory(set)
    _rotate_at: float = 0.0

    def add(self, now: float, item: Hashable) -> None:
        """Add an item."""
        if now >= self._rotate_at:
            self._previous = self._current
            self._current = set()
            self._rotate_at = now + self.retention_s
        self._current.add(item)

    def __contains__(self, item: Hashable) -> bool:
        return item in self._current or item in self._previous
