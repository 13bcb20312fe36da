"""Matches calls to the runs at the local target that made them.

Calls may not name their run, but a call has the deadline that this daemon passed to the
target with the run. On a route with a shorter timeout, the call ends earlier than every
run that may have made it. Requests of external callers end later than any run, since
the timeout of a route bounds its runs.

Daemons report whether targets call the routes that lead to them: requests of external
callers come from the boxes of all services, the calls of targets from one service.

Owns the set of called routes, the longest remaining times and the callers by route.
Relies on `Run` for the ended and open calls of a run.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
from typing import Generic, Protocol, TypeVar

import attrs

MAX_DIFFERENCE_S = 0.008
"""Largest difference of deadlines that match, seconds: they are rounded to
milliseconds, and a busy daemon receives requests late."""
ROUNDING_S = 0.002
"""Time by which a call may end before its run due to rounding, seconds."""
TIMEOUT_MARGIN_S = 0.003
"""Requests whose remaining time is within this of the longest one of their route are
bounded by the route's timeout, seconds."""
MAX_PAUSE_S = 0.005
"""Longest pause between the answer to a call and the next call of the run, seconds.
Targets that call in turn go on within half a millisecond, and a busy daemon reads some
milliseconds late."""
CALLS_MARGIN = 0.5
"""A run is assumed to make no more calls once it is within this of the mean of its
route."""
MIN_CALLS_RATIO = 0.5
"""Runs are no candidates if their route makes less than this part of the calls of the
others: a run without calls would match every first call."""
MIN_SAMPLES = 30
"""Requests of a route from which on its callers are known."""
MAX_SAMPLES = 400
"""Requests after which the counts are halved."""
MIN_CALLER_RATIO = 0.9
"""Share of requests from one service above which a route is called by targets; external
callers spread their requests over the boxes of all services."""


@attrs.define(kw_only=True)
class RouteCallers:
    """Counts the requests of each route by the service of the sending box."""

    _requests: dict[str, collections.Counter[str]] = attrs.Factory(dict)

    def count(self, route: str, caller: str) -> None:
        """Count a request."""
        counts = self._requests.get(route)
        if counts is None:
            counts = self._requests[route] = collections.Counter()
        counts[caller] += 1
        if counts.total() > MAX_SAMPLES:
            for name in list(counts):
                counts[name] //= 2

    def called_by_targets(self, route: str) -> bool:
        """Return whether the requests of a route are calls of targets."""
        counts = self._requests.get(route)
        if counts is None:
            return False
        total = counts.total()
        return total >= MIN_SAMPLES and max(counts.values()) > MIN_CALLER_RATIO * total


class Run(Protocol):
    """The properties of a run that matching needs."""

    deadline: float
    expected_calls: float
    """Calls per run of its route; 0 while unknown."""
    ended_calls: int
    """Number of its ended calls."""
    open_calls: int
    """Number of its calls that have not ended."""
    resumed_at: float
    """Time of its start or of the end of its last call."""

    @property
    def call_priority(self) -> int:
        """Priority of its calls."""


R = TypeVar("R", bound=Run)


@attrs.define(kw_only=True, frozen=True)
class Match(Generic[R]):
    """The run that a call most likely belongs to."""

    run: R
    priority: int
    """Priority of the call, the highest one if several runs are equally likely."""


@attrs.define(kw_only=True)
class CallCorrelator:
    """Finds the runs of calls that are made on this box."""

    called_routes: set[str] = attrs.Factory(set)
    """Routes that targets call, as reported by the daemons of their services."""
    _longest_s: dict[str, float] = attrs.Factory(dict)
    """Longest remaining time of a request, by route, seconds."""

    def set_called(self, route: str, *, called: bool) -> None:
        """Store a report of whether targets call a route."""
        if called:
            self.called_routes.add(route)
        else:
            self.called_routes.discard(route)

    def match(
        self, now: float, route: str, remaining_s: float, runs: Iterable[R]
    ) -> Match[R] | None:
        """Return the run that made a request, `None` for an external caller.

        `remaining_s` is the time left until the deadline of the request, seconds.
        """
        longest_s = max(self._longest_s.get(route, 0.0), remaining_s)
        self._longest_s[route] = longest_s
        deadline = now + remaining_s
        if route in self.called_routes and remaining_s >= longest_s - TIMEOUT_MARGIN_S:
            return _match_bounded(now, deadline, runs)
        return _match_deadline(deadline, runs)


def _match_deadline(deadline: float, runs: Iterable[R]) -> Match[R] | None:
    """Return the run with the closest deadline to that of a call."""
    near = [r for r in runs if -ROUNDING_S <= deadline - r.deadline <= MAX_DIFFERENCE_S]
    if not near:
        return None
    run = min(near, key=lambda run: (_difference_ms(run, deadline), run.call_priority))
    return Match(run=run, priority=run.call_priority)


def _match_bounded(now: float, deadline: float, runs: Iterable[R]) -> Match[R] | None:
    """Return the likely run of a call that is bounded by the timeout of its route.

    It is the run whose call was just answered, or else the oldest one without calls.
    """
    idle = [
        run
        for run in runs
        if run.deadline > deadline - ROUNDING_S and not run.open_calls
    ]
    if not idle:
        return None
    return _match_resumed_run(now, idle) or _match_new_run(idle)


def _match_resumed_run(now: float, idle: list[R]) -> Match[R] | None:
    """Return the run whose call was answered last, within `MAX_PAUSE_S`.

    Runs that are expected to make more calls take precedence.
    """
    resumed = [r for r in idle if r.ended_calls and now - r.resumed_at <= MAX_PAUSE_S]
    if not resumed:
        return None
    calling = [r for r in resumed if r.ended_calls < r.expected_calls - CALLS_MARGIN]
    run = max(calling or resumed, key=lambda run: run.resumed_at)
    return Match(run=run, priority=run.call_priority)


def _match_new_run(idle: list[R]) -> Match[R]:
    """Return the oldest of the runs that have made no call.

    The match is uncertain, so the call gets the highest priority of these runs: a shed
    call would waste the whole run of a request of high priority.
    """
    new = [run for run in idle if not run.ended_calls] or idle
    most = max(run.expected_calls for run in new)
    calling = [run for run in new if run.expected_calls >= MIN_CALLS_RATIO * most]
    first = min(calling, key=lambda run: run.resumed_at)
    return Match(run=first, priority=min(run.call_priority for run in calling))


def _difference_ms(run: Run, deadline: float) -> int:
    """Return the difference of two deadlines, rounded to milliseconds as sent."""
    return round(1000 * abs(deadline - run.deadline))
