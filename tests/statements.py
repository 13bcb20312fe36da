"""Checks that targets get only what their answers state that they accept.

The bounds are the agreed ones. A box counts from `TOLD_DELAY_S` after it has passed on
an answer with a limit, until it is restarted, frozen or cut off. It gets no request to
a target that leaves, in touch or not, until it is restarted or frozen.
"""

from __future__ import annotations

import bisect
import collections

import attrs

CONTACT_S = 3.0
"""A limit counts from this time after it was first stated, seconds."""
WINDOW_S = 4.0
LIMIT_RATIO = 1.5
LIMIT_SLACK = 5
TOLD_DELAY_S = 0.5
DRAIN_S = 2.0
"""Time after which a leaving target gets no more new requests, seconds."""


@attrs.define(kw_only=True, frozen=True)
class Statement:
    """What a target stated about itself in an answer that a box passed on."""

    at: float
    target_id: str
    origin: str
    """Box at which the request began."""
    rate_limit: float | None = None
    leaving: bool = False


@attrs.define(kw_only=True, frozen=True)
class Arrival:
    """A request that reached a target."""

    at: float
    target_id: str
    origin: str
    request_id: str
    sent_at: float
    """When the caller sent it."""


@attrs.define(kw_only=True)
class Record:
    """The statements and arrivals of a run, each in the order of time."""

    statements: list[Statement] = attrs.Factory(list)
    arrivals: list[Arrival] = attrs.Factory(list)
    strikes: list[tuple[str, float]] = attrs.Factory(list)
    """Boxes that were restarted or frozen, with the time."""
    cuts: list[tuple[str, float]] = attrs.Factory(list)
    """Boxes that were cut off, with the time."""

    def struck(self, origin: str, since: float, until: float) -> bool:
        """Return whether a box was restarted or frozen in a time span."""
        return _occurred(self.strikes, origin, since, until)

    def struck_or_cut(self, origin: str, since: float, until: float) -> bool:
        """Return whether a box was restarted, frozen or cut off in a time span."""
        cut = _occurred(self.cuts, origin, since, until)
        return cut or self.struck(origin, since, until)

    def count(self, target_id: str, since: float, until: float) -> int:
        """Return how many requests reached a target in a time span."""
        return sum(
            one.target_id == target_id and since <= one.at < until
            for one in self.arrivals
        )


def over_limit(record: Record) -> list[str]:
    """Return the first window of each target with too many requests."""
    found = []
    for target_id, stated in _by_target(record).items():
        if any(one.rate_limit is not None for one in stated):
            found += _over_limit(record, target_id, stated)
    return found


def sent_after_leaving(record: Record) -> list[str]:
    """Return the requests sent too late to targets that had stated that they leave."""
    told_at = collections.defaultdict(list)
    for one in record.statements:
        if one.leaving:
            told_at[one.target_id, one.origin].append(one.at)
    return [
        f"DRAIN {one.request_id} from {one.origin} reaches {one.target_id} at "
        f"{one.at:.3f}"
        for one in record.arrivals
        if (told := _last(told_at[one.target_id, one.origin], one.sent_at - DRAIN_S))
        is not None
        and not record.struck(one.origin, told, one.at)
    ]


def _by_target(record: Record) -> dict[str, list[Statement]]:
    by_target = collections.defaultdict(list)
    for one in record.statements:
        by_target[one.target_id].append(one)
    return by_target


def _over_limit(record: Record, target_id: str, stated: list[Statement]) -> list[str]:
    with_limit = [one for one in stated if one.rate_limit is not None]
    told_at = collections.defaultdict(list)
    for one in with_limit:
        told_at[one.origin].append(one.at)
    counted = [
        one.at
        for one in record.arrivals
        if one.target_id == target_id and _told(record, told_at[one.origin], one)
    ]
    times = [one.at for one in stated]
    for first, start in enumerate(counted):
        if start < with_limit[0].at + CONTACT_S:
            continue
        rates = _rates(stated, times, start, start + WINDOW_S)
        if None in rates:
            continue
        allowed = LIMIT_RATIO * max(rates) * WINDOW_S + LIMIT_SLACK
        count = bisect.bisect_right(counted, start + WINDOW_S) - first
        if count > allowed:
            line = f"LIMIT {target_id} from {start:.2f}: {count}, allowed {allowed:.0f}"
            return [line]
    return []


def _told(record: Record, told_at: list[float], arrival: Arrival) -> bool:
    """Return whether the box of a request had been told, and was not struck since."""
    since = _last(told_at, arrival.at - TOLD_DELAY_S)
    if since is None:
        return False
    return not record.struck_or_cut(arrival.origin, since, arrival.at + WINDOW_S)


def _last(times: list[float], until: float) -> float | None:
    """Return the last of sorted times that is not after `until`, if any."""
    count = bisect.bisect_right(times, until)
    return times[count - 1] if count else None


def _occurred(
    faults: list[tuple[str, float]], origin: str, since: float, until: float
) -> bool:
    return any(box == origin and since <= at <= until for box, at in faults)


def _rates(
    stated: list[Statement], times: list[float], start: float, end: float
) -> list[float | None]:
    """Return the limits in force between two times, `None` for none."""
    first = max(0, bisect.bisect_right(times, start) - 1)
    last = bisect.bisect_right(times, end)
    return [one.rate_limit for one in stated[first:last]]
