"""Admission levels: calls with a higher priority number are shed."""

from __future__ import annotations

import attrs

from ferrydeck.signed.core import priority

INTERVAL_S = 0.1
"""Time between adjustments of a level."""
INITIAL_RAISE_STEP = 64
"""First increase after a decrease; it doubles with every further increase."""


@attrs.define(kw_only=True)
class Level:
    """A level that is lowered on overload and recovers by itself.

    Steps double with each interval without overload: small ones first, to find a
    level that is still needed, yet full recovery takes less than a second.
    """

    value: int = priority.TOP_LEVEL
    _raise_step: int = INITIAL_RAISE_STEP
    _next_raise_at: float = 0.0

    @property
    def is_open(self) -> bool:
        """Return whether every call is admitted."""
        return self.value >= priority.TOP_LEVEL

    def admits(self, request_priority: int) -> bool:
        """Return whether a call of a priority is admitted."""
        return request_priority <= self.value

    def lower(self, now: float, value: int) -> None:
        """Set the level after overload was detected."""
        self.value = value
        self._raise_step = INITIAL_RAISE_STEP
        self._next_raise_at = now + INTERVAL_S

    def raise_if_due(self, now: float) -> None:
        """Raise the level once for each interval that passed without overload."""
        while not self.is_open and now >= self._next_raise_at:
            self.value = min(priority.TOP_LEVEL, self.value + self._raise_step)
            self._raise_step *= 2
            self._next_raise_at += INTERVAL_S


@attrs.define(kw_only=True)
class PathLevels:
    """Admission levels by route, learned from refusals of nested calls.

    A request whose nested calls would be shed is shed before it starts, so that
    no work is wasted on it.
    """

    levels: dict[str, Level] = attrs.Factory(dict)

    def record_nested_refusal(self, now: float, path: str, value: int) -> None:
        """Lower the level of `path` after a nested call of a request to it was shed."""
        level = self.levels.setdefault(path, Level())
        level.raise_if_due(now)
        level.lower(now, min(level.value, value) if not level.is_open else value)

    def value(self, now: float, path: str) -> int:
        """Return the current level of a path."""
        level = self.levels.get(path)
        if level is None:
            return priority.TOP_LEVEL
        level.raise_if_due(now)
        if level.is_open:
            del self.levels[path]
            return priority.TOP_LEVEL
        return level.value


def path_key(method: str, path: str) -> str:
    """Return the key of a route in `PathLevels`."""
    return f"{method} {path}"
