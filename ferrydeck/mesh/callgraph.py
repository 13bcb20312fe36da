"""The call graph as traffic shows it: which routes servers call, and for which work.

Nothing in a request says that a server sent it. But requests of clients begin on the
boxes of all services alike, while a server's calls all begin on boxes of its own
service; and the calls that begin on a box rise and fall with the requests that run
there. Both are measured here, so that a gate can hold back the requests whose calls
meet a full service, before they have used anything.
"""

from __future__ import annotations

import collections

import attrs

SEEN_LEAST = 30
"""Requests of a route that are seen before it is judged."""
SEEN_MOST = 400
"""Requests after which older ones count half."""
ONE_CALLER = 0.9
"""Share of requests from boxes of one service above which servers send them: with
four services alike on the boxes, clients' requests come to a third from one."""
WINDOW_S = 0.25
"""How long calls and runs are counted for one step of the estimate, seconds."""
STEP = 0.2
"""Part of the error that one step takes away: settled in some five seconds."""
START = 0.5
"""Calls a run that are assumed before anything is measured."""
CALLS_LEAST = 0.3
"""Calls a run from which on a route's work hangs on them."""


@attrs.define(kw_only=True)
class Callers:
    """From which services' boxes the requests of each route come."""

    _seen: dict[str, collections.Counter[str]] = attrs.Factory(dict)

    def see(self, route: str, caller: str) -> None:
        """Note a request."""
        seen = self._seen.get(route)
        if seen is None:
            seen = self._seen[route] = collections.Counter()
        seen[caller] += 1
        if seen.total() > SEEN_MOST:
            for name in list(seen):
                seen[name] //= 2

    def by_servers(self, route: str) -> bool:
        """Tell whether servers send the requests of a route."""
        seen = self._seen.get(route)
        if seen is None:
            return False
        total = seen.total()
        return total >= SEEN_LEAST and max(seen.values()) > ONE_CALLER * total


@attrs.define(kw_only=True)
class CallsEach:
    """How many calls one run of each route makes, by least mean squares."""

    _estimates: dict[str, float] = attrs.Factory(dict)
    _runs: collections.Counter[str] = attrs.Factory(collections.Counter)
    _calls: int = 0
    _window_ends: float = 0.0

    def ran(self, now: float, route: str) -> None:
        """Note a run at the server of this box."""
        self._runs[route] += 1
        self._settle(now)

    def called(self, now: float) -> None:
        """Note a server's call that began on this box."""
        self._calls += 1
        self._settle(now)

    def makes_calls(self, route: str) -> bool:
        """Tell whether the runs of a route hang on calls."""
        return self._estimates.get(route, START) > CALLS_LEAST

    def _settle(self, now: float) -> None:
        if now < self._window_ends:
            return
        self._window_ends = now + WINDOW_S
        runs, self._runs = self._runs, collections.Counter()
        calls, self._calls = self._calls, 0
        size = sum(count * count for count in runs.values())
        if not size:
            return
        known = self._estimates
        guess = sum(count * known.get(route, START) for route, count in runs.items())
        for route, count in runs.items():
            change = STEP * (calls - guess) * count / size
            known[route] = max(0.0, known.get(route, START) + change)


@attrs.define(kw_only=True)
class Downstream:
    """How hard the services that this box's server calls ask to hold back."""

    fade_s: float = 1.0
    """Without a new word the level fades over this time, seconds."""
    weight: float = 0.2
    """Weight of the newest word."""
    _level: float = 0.0
    _told_at: float = -1e9

    def told(self, now: float, level: float) -> None:
        """Note what came with an answer to a server's call."""
        held = self.level(now)
        self._level = held + self.weight * (level - held)
        self._told_at = now

    def level(self, now: float) -> float:
        """Return the level now, 0 to 1."""
        age = (now - self._told_at) / self.fade_s
        return self._level * max(0.0, 1.0 - age)
