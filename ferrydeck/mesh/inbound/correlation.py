"""Finds the run at the target of this box that a call belongs to.

Nothing in a call names the request that it is made for. But a call ends when its run
does, and the run's deadline is what this inbound side handed to the target. So a
request whose deadline is that of a run here is a call of this run; where a route bounds
its calls to less, the call ends earlier than all runs that may have made it. A caller's
own request ends later than any run, since a route's time bounds the run.

Which routes are called by targets is reported by the inbound sides that they lead to:
callers' requests begin on the boxes of all services alike, a target's calls on boxes of
its own service only.

Owns the set of called routes, the longest stated times, and the counts of callers by
route. Relies on `Run` to show the calls that a run has made and has out.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
from typing import Generic, Protocol, TypeVar

import attrs

MATCH_S = 0.008
"""How far two deadlines of one run may lie apart, seconds: they are sent in whole
milliseconds, and a busy daemon reads some milliseconds late."""
EARLY_S = 0.002
"""How much earlier than its run a call may seem to end, seconds: the rounding."""
BOUND_SLACK_S = 0.003
"""Requests that state within this of the most that a route's requests ever stated
are taken as bounded, seconds."""
MAX_RESUME_DELAY_S = 0.005
"""A run whose call was answered this lately is the one that makes the next call,
seconds: targets that call in turn go on within half a millisecond, and a busy daemon
reads some milliseconds late. Of forty runs at one target hardly two are so near."""
HALF_CALL = 0.5
"""A run that has made as many calls as runs of its route make, but for this part of
one, is taken to make no more."""
CALLING_SHARE = 0.5
"""Runs whose routes make less than this part of the calls of the others make none here:
one that calls nothing stays new to its end and would be taken for all of them."""
SEEN_LEAST = 30
"""Requests of a route that are seen before it is judged."""
SEEN_MOST = 400
"""Requests after which older ones count half."""
ONE_CALLER = 0.9
"""Share of requests from boxes of one service above which targets send them: with
four services alike on the boxes, callers' requests come to a third from one."""


@attrs.define(kw_only=True)
class RouteCallers:
    """From which services' boxes the requests of each route come."""

    _seen: dict[str, collections.Counter[str]] = attrs.Factory(dict)

    def count(self, route: str, caller: str) -> None:
        """Count a request."""
        seen = self._seen.get(route)
        if seen is None:
            seen = self._seen[route] = collections.Counter()
        seen[caller] += 1
        if seen.total() > SEEN_MOST:
            for name in list(seen):
                seen[name] //= 2

    def by_targets(self, route: str) -> bool:
        """Return whether targets send the requests of a route."""
        seen = self._seen.get(route)
        if seen is None:
            return False
        total = seen.total()
        return total >= SEEN_LEAST and max(seen.values()) > ONE_CALLER * total


class Run(Protocol):
    """What is needed of a run."""

    deadline: float
    expected_calls: float
    """Calls that runs of its route make, as far as known; 0 for none."""
    calls: int
    """Its calls that have ended."""
    open_calls: int
    """Its calls that have not ended."""
    resumed_at: float
    """When it was started, or when the last of its calls ended."""

    @property
    def call_priority(self) -> int:
        """The priority that its calls have."""


R = TypeVar("R", bound=Run)


@attrs.define(kw_only=True, frozen=True)
class Match(Generic[R]):
    """The run that a call is taken to belong to."""

    run: R
    priority: int
    """The highest priority that the call may have, where several runs are as likely."""


@attrs.define(kw_only=True)
class CallCorrelator:
    """Finds the run of calls that begin on this box."""

    called: set[str] = attrs.Factory(set)
    """Routes that targets call, as reported by where they lead."""
    _longest_s: dict[str, float] = attrs.Factory(dict)
    """The longest time that a request of each route stated, seconds."""

    def set_called(self, route: str, *, called: bool) -> None:
        """Take a report of whether targets call a route."""
        if called:
            self.called.add(route)
        else:
            self.called.discard(route)

    def find_parent(
        self, now: float, route: str, remaining_s: float, runs: Iterable[R]
    ) -> Match[R] | None:
        """Return the run that a request is a call of, `None` for a caller's own.

        `remaining_s` is the time that the request says it has left, seconds.
        """
        longest_s = max(self._longest_s.get(route, 0.0), remaining_s)
        self._longest_s[route] = longest_s
        deadline = now + remaining_s
        if route in self.called and remaining_s >= longest_s - BOUND_SLACK_S:
            return _of_bounded_call(now, deadline, runs)
        return _of_same_deadline(deadline, runs)


def _of_same_deadline(deadline: float, runs: Iterable[R]) -> Match[R] | None:
    """Return the run whose deadline is nearest to that of a call."""
    near = [one for one in runs if -EARLY_S <= deadline - one.deadline <= MATCH_S]
    if not near:
        return None
    run = min(near, key=lambda one: (_apart_ms(one, deadline), one.call_priority))
    return Match(run=run, priority=run.call_priority)


def _of_bounded_call(now: float, deadline: float, runs: Iterable[R]) -> Match[R] | None:
    """Return the run that likely makes a call which ends before its run does.

    Among forty runs at one target some end by chance when the call does; that one of
    them calls next says more: the one whose call was just answered, or of those that
    have made none the one that began first.
    """
    idle = [
        one for one in runs if one.deadline > deadline - EARLY_S and not one.open_calls
    ]
    if not idle:
        return None
    return _of_resumed_run(now, idle) or _of_new_run(idle)


def _of_resumed_run(now: float, idle: list[R]) -> Match[R] | None:
    """Return the run whose call was answered last, a moment ago.

    Runs that still make calls, by the mean of their route, come first.
    """
    resumed = [
        one for one in idle if one.calls and now - one.resumed_at <= MAX_RESUME_DELAY_S
    ]
    if not resumed:
        return None
    calling = [one for one in resumed if one.calls < one.expected_calls - HALF_CALL]
    run = max(calling or resumed, key=lambda one: one.resumed_at)
    return Match(run=run, priority=run.call_priority)


def _of_new_run(idle: list[R]) -> Match[R]:
    """Return the run that began first of those that have made no call.

    Which of them it is stays a guess, and one read of a posting that is taken for a
    lookup's costs the whole posting: the call gets the highest priority of them.
    """
    new = [one for one in idle if not one.calls] or idle
    most = max(one.expected_calls for one in new)
    calling = [one for one in new if one.expected_calls >= CALLING_SHARE * most]
    run = min(calling, key=lambda one: one.resumed_at)
    return Match(run=run, priority=min(one.call_priority for one in calling))


def _apart_ms(run: Run, deadline: float) -> int:
    """Return how far two deadlines lie apart, in whole milliseconds as sent."""
    return round(1000 * abs(deadline - run.deadline))
