"""Requests and retries of a service's other targets, as reported by their daemons.

While retries are granted, each daemon reports its counts by step (`retry_exchange`).
After a restart, the other daemons keep the counts that the earlier process reported.

Owns the counts of the other daemons; `retry_budget` adds its own.
"""

from __future__ import annotations

import collections
import itertools
from collections.abc import Mapping, Sequence

import attrs

REPORT_TTL_PERIODS = 2
"""Periods without a report after which a daemon is assumed to grant no retries."""


@attrs.define(kw_only=True)
class PeerReport:
    """The reported counts of one daemon, by the steps of the receiver."""

    requests: collections.Counter[int] = attrs.Factory(collections.Counter)
    retries: collections.Counter[int] = attrs.Factory(collections.Counter)
    step: int = 0
    """The step in which the newest report was received."""


@attrs.define(kw_only=True)
class ServiceCounts:
    """The sum of the reported counts of the other daemons."""

    requests: collections.Counter[int] = attrs.Factory(collections.Counter)
    retries: collections.Counter[int] = attrs.Factory(collections.Counter)
    _reports: dict[str, PeerReport] = attrs.Factory(dict)
    """Reported counts by the address of the daemon."""

    def __len__(self) -> int:
        """Return the number of daemons with reported counts."""
        return len(self._reports)

    def received(
        self, step: int, address: str, requests: Sequence[int], retries: Sequence[int]
    ) -> None:
        """Store a report, whose counts begin with the step before this one.

        Earlier counts remain for steps that the report does not cover.
        """
        report = self._reports.setdefault(address, PeerReport())
        report.step = step
        _replace(report.requests, self.requests, step, requests)
        _replace(report.retries, self.retries, step, retries)

    def count_reporting(self, step: int, period: int) -> int:
        """Return the number of daemons that have reported recently."""
        oldest = step - REPORT_TTL_PERIODS * period
        return sum(report.step >= oldest for report in self._reports.values())

    def count_missing(self, step: int, period: int) -> int:
        """Return how many of these have not reported in the current period yet."""
        oldest = step - REPORT_TTL_PERIODS * period
        start = step - step % period
        return sum(oldest <= report.step < start for report in self._reports.values())

    def resumed(self, steps: int) -> None:
        """Allow for reports that were sent, but not read, in the last steps."""
        for report in self._reports.values():
            report.step += steps

    def forget(self, until: int) -> None:
        """Remove counts up to a step, and daemons without remaining counts."""
        for address, report in list(self._reports.items()):
            forget(report.requests, until)
            forget(report.retries, until)
            if not report.requests and not report.retries:
                del self._reports[address]
        forget(self.requests, until)
        forget(self.retries, until)


@attrs.define(kw_only=True, frozen=True)
class PrefixSums:
    """Cumulative counts, from which the sum of any window is one difference."""

    since: int
    sums: list[int]
    """Sums of the counts after step `since`, up to each later step."""

    def between(self, after: int, until: int) -> int:
        """Return the sum of the counts after one step, up to another one."""
        last = len(self.sums) - 1
        first = min(max(after - self.since, 0), last)
        return self.sums[min(max(until - self.since, 0), last)] - self.sums[first]


def prefix_sums(since: int, until: int, *counts: Mapping[int, int]) -> PrefixSums:
    """Return the cumulative counts after one step, up to another one."""
    steps = range(since + 1, until + 1)
    totals = (sum(count.get(step, 0) for count in counts) for step in steps)
    return PrefixSums(since=since, sums=[0, *itertools.accumulate(totals)])


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
    """Remove the counts up to a step."""
    for step in [step for step in counts if step <= until]:
        del counts[step]
