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
WINDOW_S = 0.5
"""How long calls and runs are counted for one step of the estimate, seconds: longer
than most runs take, so that few calls fall into another window than their run."""
DOUBT = 1.0
"""Variance of an estimate before anything is measured, calls a run squared."""
DRIFT = 0.0005
"""What doubt grows by in each window, so that a changed service is noticed."""
START = 0.0
"""Calls a run that are assumed before anything is measured: a route is held back only
once its runs are seen to make calls."""
ROUTES_MOST = 8
"""Routes of one server that are told apart; further ones count as making no calls."""
CALLS_LEAST = 0.3
"""Calls a run from which on a route's work hangs on them."""
CALLS_SHARE = 0.25
"""The same as a part of the highest estimate: what is below is likely its error."""


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
    """How many calls one run of each route makes, by recursive least squares.

    Steps of a plain gradient give all routes with steady traffic the same number;
    least squares uses what little their traffic differs by.
    """

    _estimates: dict[str, float] = attrs.Factory(dict)
    _doubts: dict[tuple[str, str], float] = attrs.Factory(dict)
    """Covariance of the estimates."""
    _runs: collections.defaultdict[str, float] = attrs.Factory(
        lambda: collections.defaultdict(float)
    )
    _calls: int = 0
    _window_ends: float = 0.0

    def began(self, now: float, route: str) -> None:
        """Note the begin of a run at the server of this box."""
        self._runs[route] += 0.5
        self._settle(now)

    def ended(self, now: float, route: str) -> None:
        """Note its end: its calls lie between the two."""
        self._runs[route] += 0.5
        self._settle(now)

    def called(self, now: float) -> None:
        """Note a server's call that began on this box."""
        self._calls += 1
        self._settle(now)

    def makes_calls(self, route: str) -> bool:
        """Tell whether the runs of a route hang on calls."""
        least = max(CALLS_LEAST, CALLS_SHARE * max(self._estimates.values(), default=0))
        return self._estimates.get(route, START) > least

    def _settle(self, now: float) -> None:
        if now < self._window_ends:
            return
        self._window_ends = now + WINDOW_S
        runs, self._runs = self._runs, collections.defaultdict(float)
        calls, self._calls = self._calls, 0
        for route in runs:
            self._know(route)
        counts = {one: runs[one] for one in self._estimates if one in runs}
        if counts:
            self._step(counts, calls)

    def _know(self, route: str) -> None:
        if route not in self._estimates and len(self._estimates) < ROUTES_MOST:
            self._estimates[route] = START
            self._doubts[route, route] = DOUBT

    def _step(self, counts: dict[str, float], calls: int) -> None:
        """Correct the estimates by one window."""
        spread = {one: self._spread(one, counts) for one in self._estimates}
        noise = 1.0 + calls
        total = noise + sum(count * spread[one] for one, count in counts.items())
        guess = sum(count * self._estimates[one] for one, count in counts.items())
        for one, value in spread.items():
            change = value / total * (calls - guess)
            self._estimates[one] = max(0.0, self._estimates[one] + change)
        for one, value in spread.items():
            for other, its in spread.items():
                held = self._doubts.get((one, other), 0.0)
                self._doubts[one, other] = held - value * its / total
            self._doubts[one, one] += DRIFT

    def _spread(self, route: str, counts: dict[str, float]) -> float:
        doubts = self._doubts
        return sum(
            count * doubts.get((route, other), 0.0) for other, count in counts.items()
        )


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
