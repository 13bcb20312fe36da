"""Checks that targets get no more requests than they state to accept.

The bound is the one agreed: from `CONTACT_S` after a target first stated a limit, at
most `LIMIT_RATIO` times what it allows in `WINDOW_S`, and `LIMIT_SLACK` requests, from
the boxes that had been told.
"""

from __future__ import annotations

import bisect
import collections

from tests.mesh import simulation

CONTACT_S = 3.0
WINDOW_S = 4.0
LIMIT_RATIO = 1.5
LIMIT_SLACK = 5
TOLD_DELAY_S = 0.5
"""A box counts from this time after it has passed on an answer with the limit."""


def over_limit(
    world: simulation.World, excused: frozenset[str] = frozenset()
) -> list[str]:
    """Return the first window of each target with too many requests.

    Requests that began at the `excused` boxes are not counted.
    """
    by_target = collections.defaultdict(list)
    for one in world.targets.statements:
        by_target[one.target_id].append(one)
    found = []
    for target_id, stated in by_target.items():
        if any(one.rate_limit is not None for one in stated):
            found += _over_limit(world, target_id, stated, excused)
    return found


def requests_in(
    world: simulation.World, target_id: str, since: float, until: float
) -> int:
    """Return how many requests reached a target in a time span."""
    return sum(
        run.target_id == target_id and since <= run.at < until
        for run in world.targets.runs
    )


def _over_limit(
    world: simulation.World, target_id: str, stated: list, excused: frozenset[str]
) -> list[str]:
    with_limit = [one for one in stated if one.rate_limit is not None]
    told_at: dict[str, float] = {}
    for one in with_limit:
        told_at.setdefault(one.origin, one.at)
    arrivals = []
    for run in world.targets.runs:
        req = world.callers.requests.get(run.request_id)
        if run.target_id != target_id or req is None or req.box in excused:
            continue
        if run.at >= told_at.get(req.box, float("inf")) + TOLD_DELAY_S:
            arrivals.append(run.at)
    begins = with_limit[0].at + CONTACT_S
    times = [one.at for one in stated]
    for start in arrivals:
        if start < begins:
            continue
        rates = _rates(stated, times, start, start + WINDOW_S)
        if None in rates:
            continue
        allowed = LIMIT_RATIO * max(rates) * WINDOW_S + LIMIT_SLACK
        first = bisect.bisect_left(arrivals, start)
        count = bisect.bisect_right(arrivals, start + WINDOW_S) - first
        if count > allowed:
            line = f"LIMIT {target_id} from {start:.2f}: {count}, allowed {allowed:.0f}"
            return [line]
    return []


def _rates(
    stated: list, times: list[float], start: float, end: float
) -> list[float | None]:
    """Return the limits in force between two times, `None` for none."""
    first = max(0, bisect.bisect_right(times, start) - 1)
    last = bisect.bisect_right(times, end)
    return [one.rate_limit for one in stated[first:last]]
