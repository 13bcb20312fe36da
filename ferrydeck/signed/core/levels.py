"""Admission levels: the priority number above which calls are refused."""

from __future__ import annotations

import attrs

from ferrydeck.signed.core import priority

ADJUST_INTERVAL_S = 0.1
"""How often a level is reconsidered, seconds."""
INITIAL_RAISE_STEP = 64
"""How far a level rises after the first calm window; it doubles after."""


@attrs.define(kw_only=True)
class Level:
    """A level that is lowered on a sign of overload and rises again by itself.

    The rise doubles with each calm window, so a level that was right is felt
    for carefully, and one that is no longer needed is gone within a second.
    """

    value: int = priority.TOP_LEVEL
    _raise_step: int = INITIAL_RAISE_STEP
    _next_raise_at: float = 0.0

    @property
    def is_open(self) -> bool:
        """Return whether every call is let in."""
        return self.value >= priority.TOP_LEVEL

    def admits(self, request_priority: int) -> bool:
        """Return whether a call of a priority is let in."""
        return request_priority <= self.value

    def lower(self, now: float, value: int) -> None:
        """Set the level on a sign of overload."""
        self.value = value
        self._raise_step = INITIAL_RAISE_STEP
        self._next_raise_at = now + ADJUST_INTERVAL_S

    def raise_if_due(self, now: float) -> None:
        """Raise the level if a window without a sign of overload is over."""
        while not self.is_open and now >= self._next_raise_at:
            self.value = min(priority.TOP_LEVEL, self.value + self._raise_step)
            self._raise_step *= 2
            self._next_raise_at += ADJUST_INTERVAL_S


@attrs.define(kw_only=True)
class PathLevels:
    """The levels that the calls below a path impose on the calls to the path.

    A request whose further calls would be refused is refused before it starts:
    its work would be wasted.
    """

    levels: dict[str, Level] = attrs.Factory(dict)

    def record_nested_refusal(self, now: float, path: str, value: int) -> None:
        """Note that a call made for a request on `path` was refused by a level."""
        level = self.levels.setdefault(path, Level())
        level.raise_if_due(now)
        level.lower(now, min(level.value, value) if not level.is_open else value)

    def value(self, now: float, path: str) -> int:
        """Return the level of a path."""
        level = self.levels.get(path)
        if level is None:
            return priority.TOP_LEVEL
        level.raise_if_due(now)
        if level.is_open:
            del self.levels[path]
            return priority.TOP_LEVEL
        return level.value


def path_key(method: str, path: str) -> str:
    """Return the name under which the level of a route is kept."""
    return f"{method} {path}"
