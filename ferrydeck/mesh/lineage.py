"""Which run at the server of this box a call belongs to.

Nothing in a call names the request that it is made for. But a call ends when its
parent does, and the parent's end is what this box's gate handed to the server. So a
request whose time ends together with that of a run here is a call of this run; where
a route bounds its calls to less, the call ends earlier than all that may be its parent.
A caller's own request ends later than any run, since a route's time bounds the run.

Which routes servers call at all is told by their gates: requests of callers begin on
the boxes of all services alike, a server's calls on boxes of its own service only.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
from typing import Protocol, TypeVar

import attrs

MATCH_S = 0.008
"""How far the two ends may lie apart, seconds: whole milliseconds are told, and a busy
daemon reads some milliseconds late."""
EARLY_S = 0.002
"""How much earlier than its parent a call may seem to end, seconds: the rounding."""
BOUND_SLACK_S = 0.003
"""Requests that state within this of the most that a route's requests ever stated
are taken as bounded, seconds."""
SEEN_LEAST = 30
"""Requests of a route that are seen before it is judged."""
SEEN_MOST = 400
"""Requests after which older ones count half."""
ONE_CALLER = 0.9
"""Share of requests from boxes of one service above which servers send them: with
four services alike on the boxes, callers' requests come to a third from one."""


@attrs.define(kw_only=True)
class Callers:
    """From which services' boxes the requests of each route come to a gate."""

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


class Run(Protocol):
    """What is needed of a run."""

    deadline: float

    @property
    def rank(self) -> int:
        """Its rank in the order of shedding."""


R = TypeVar("R", bound=Run)


@attrs.define(kw_only=True)
class Lineage:
    """Finds the parent of calls that begin on this box."""

    called: set[str] = attrs.Factory(set)
    """Routes that servers call, by the word of the gates that they lead to."""
    _most_s: dict[str, float] = attrs.Factory(dict)
    """The longest time that a request of each route stated, seconds."""

    def told(self, route: str, *, called: bool) -> None:
        """Take a gate's word on whether servers call a route."""
        if called:
            self.called.add(route)
        else:
            self.called.discard(route)

    def parent(
        self, now: float, route: str, stated_s: float, runs: Iterable[R]
    ) -> R | None:
        """Return the run that a request is a call of, `None` for a caller's own.

        `stated_s` is the time that the request says it has left, seconds.
        """
        most_s = max(self._most_s.get(route, 0.0), stated_s)
        self._most_s[route] = most_s
        end = now + stated_s
        near = [one for one in runs if -EARLY_S <= end - one.deadline <= MATCH_S]
        if near:
            return min(near, key=lambda one: (_apart_ms(one, end), one.rank))
        if route not in self.called or stated_s < most_s - BOUND_SLACK_S:
            return None
        later = [one for one in runs if one.deadline > end]
        return min(later, key=lambda one: one.deadline, default=None)


def _apart_ms(run: Run, end: float) -> int:
    """Return how far two ends lie apart, milliseconds: closer ones can't be told."""
    return round(1000 * abs(end - run.deadline))
