"""Requests and retries of the other targets of a service, as their daemons report them.

Each inbound side reports its counts by step, the newest first, while retries are
granted (`retry_exchange`). A side that starts anew does not know what was granted on
its box before; the others keep what its earlier daemon reported.

Owns the counts of the other sides; `retry_budget` adds its own.
"""

from __future__ import annotations

import collections
import itertools
from collections.abc import Mapping, Sequence

import attrs

FRESH_PERIODS = 2
"""Periods without a report after which a side is taken to grant nothing."""


@attrs.define(kw_only=True)
class Report:
    """What one side has reported, by this side's steps."""

    requests: collections.Counter[int] = attrs.Factory(collections.Counter)
    retries: collections.Counter[int] = attrs.Factory(collections.Counter)
    step: int = 0
    """The step in which the newest report came."""


@attrs.define(kw_only=True)
class ServiceCounts:
    """The sum of what the other sides have reported."""

    requests: collections.Counter[int] = attrs.Factory(collections.Counter)
    retries: collections.Counter[int] = attrs.Factory(collections.Counter)
    _reports: dict[str, Report] = attrs.Factory(dict)
    """The newest counts of each side, by the address of its daemon."""

    def __len__(self) -> int:
        """Return how many sides have reported."""
        return len(self._reports)

    def received(
        self, step: int, address: str, requests: Sequence[int], retries: Sequence[int]
    ) -> None:
        """Take the report of a side, which goes back to the step before this one.

        Where it goes back less far than an earlier report, that one's counts stay.
        """
        report = self._reports.setdefault(address, Report())
        report.step = step
        _replace(report.requests, self.requests, step, requests)
        _replace(report.retries, self.retries, step, retries)

    def fresh(self, step: int, period: int) -> int:
        """Return how many sides have reported lately."""
        oldest = step - FRESH_PERIODS * period
        return sum(one.step >= oldest for one in self._reports.values())

    def awaited(self, step: int, period: int) -> int:
        """Return how many of them have not reported in the present period yet."""
        oldest = step - FRESH_PERIODS * period
        begins = step - step % period
        return sum(oldest <= one.step < begins for one in self._reports.values())

    def forget(self, until: int) -> None:
        """Forget steps, and sides of which nothing else is known."""
        for address, report in list(self._reports.items()):
            forget(report.requests, until)
            forget(report.retries, until)
            if not report.requests and not report.retries:
                del self._reports[address]
        forget(self.requests, until)
        forget(self.retries, until)


@attrs.define(kw_only=True, frozen=True)
class Sums:
    """Counts of steps, added up, so that any window is one difference."""

    since: int
    added: list[int]
    """What was counted after step `since`, up to each later one."""

    def between(self, after: int, until: int) -> int:
        """Return what was counted after one step, up to another one."""
        last = len(self.added) - 1
        first = min(max(after - self.since, 0), last)
        return self.added[min(max(until - self.since, 0), last)] - self.added[first]


def sums(since: int, until: int, *counts: Mapping[int, int]) -> Sums:
    """Return the sums of some counts, after one step and up to another."""
    steps = range(since + 1, until + 1)
    each = (sum(one.get(step, 0) for one in counts) for step in steps)
    return Sums(since=since, added=[0, *itertools.accumulate(each)])


def _replace(
    known: collections.Counter[int],
    total: collections.Counter[int],
    step: int,
    counts: Sequence[int],
) -> None:
    for age, count in enumerate(counts, start=1):
        total[step - age] += count - known[step - age]
        known[step - age] = count


def forget(counts: collections.Counter[int], until: int) -> None:
    """Forget what was counted up to a step."""
    for step in [one for one in counts if one <= until]:
        del counts[step]
