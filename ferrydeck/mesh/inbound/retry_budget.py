"""Retry budget: limits the retries that a daemon grants for its target.

The limit applies to a whole service: the retries in each sliding window are bounded by
a ratio of the requests plus a fixed slack. Each daemon enforces the bound on the
requests of its own target. Requests of the previous window count too: while all targets
shed, callers give up early, and the budget would shrink with the request rate.

Retries of shed requests are granted by priority. A run that makes eight calls needs all
of them to succeed, so retries spread evenly over all runs would complete none.

Daemons that grant retries report their counts to each other (`retry_exchange`). When
requests move between targets, the bounds of the targets may add up to more than that of
the service, so its remaining budget is divided among the daemons in each period.

Reruns of requests that may have run are granted too. If they make calls, they get a
smaller share, since retries multiply along a call chain.

Owns the counts of this daemon; `service_counts` holds those of the others. Relies on
the inbound side to count each request, dispatch and retry.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Mapping

import attrs

from ferrydeck.mesh.inbound import service_counts

RATIO_SHARE = 0.85
"""Fraction of the agreed ratio that is granted; the rest is for calls of
retried runs that aren't recognized as retries."""
CALLING_SHARE = 0.25
"""Fraction of the agreed ratio for reruns that make calls: in a chain of four services
each level may add as many retries as the one above."""
SLACK_SHARE = 0.75
"""Fraction of the agreed slack that the daemons of a service spend together, such as
when the failure of a box affects many requests at once."""
STEP_S = 0.5
"""Width of a counting step, seconds: a twentieth of a window."""
DEMAND_STEPS = 4
"""Steps over which the request rate of a priority is measured."""
SHED_RATIO_STEPS = 2
"""Steps over which the shed ratio of the target is measured."""
MAX_SHED_RATIO = 0.9
"""Upper limit of the measured shed ratio."""
TARGETS_PER_STEP = 16
"""Targets up to which daemons report in every step; with more targets the period grows,
so that a daemon sends about thirty reports a second at most."""


@attrs.define(kw_only=True)
class RetryBudget:
    """Enforces the retry bound on one target."""

    ratio: float
    """Agreed retries per request."""
    slack: float
    """Agreed retries per window regardless of requests, for the whole service."""
    window_s: float
    started_at: float = float("-inf")
    """Start of this daemon, if another one ran on the box before; the grants of that
    one are unknown."""
    target_count: int = 0
    """Largest observed number of targets of the service; 0 while unknown."""
    _requests: collections.Counter[int] = attrs.Factory(collections.Counter)
    """First attempts by step."""
    _requests_by_priority: collections.Counter[tuple[int, int]] = attrs.Factory(
        collections.Counter
    )
    """First attempts by step and priority, in the last `DEMAND_STEPS`."""
    _shed_by_priority: collections.Counter[tuple[int, int]] = attrs.Factory(
        collections.Counter
    )
    """Shed retryable requests by step and priority, in the last `DEMAND_STEPS`."""
    _granted: collections.Counter[int] = attrs.Factory(collections.Counter)
    """Granted retries by step, reruns included."""
    _dispatched: collections.Counter[int] = attrs.Factory(collections.Counter)
    """Requests sent to the target, by step."""
    _shed: collections.Counter[int] = attrs.Factory(collections.Counter)
    """Requests shed by the target, by step."""
    peers: service_counts.ServiceCounts = attrs.Factory(service_counts.ServiceCounts)
    """Counts reported by the other daemons of the service."""
    _step: int = -1
    _first_step: int | None = None
    """The first step of this budget."""
    _quota: float = float("inf")
    """Grants allowed in this period by the counts of all daemons."""
    _previous_quota: float = 0.0
    """Quota of the previous period; 0 if it was unlimited."""
    _allowed: list[float] = attrs.Factory(list)
    """Bounds of the windows that contain the current step, by their end."""

    def observe_target_count(self, count: int) -> None:
        """Record the number of targets; only a larger one has an effect."""
        self.target_count = max(self.target_count, count)

    def count_request(self, now: float, priority: int) -> None:
        """Count the first attempt of a request."""
        self._advance(now)
        self._requests[self._step] += 1
        self._requests_by_priority[self._step, priority] += 1

    def count_dispatch(self, now: float) -> None:
        """Count a request that is sent to the target."""
        self._advance(now)
        self._dispatched[self._step] += 1

    def count_retry(self, now: float) -> None:
        """Count a call that a retried run made."""
        self._advance(now)
        self._granted[self._step] += 1

    def grant_retry(self, now: float, priority: int, *, first: bool = False) -> bool:
        """Grant or deny a retry of a shed request, and count it.

        `first` marks the first call of a run. If there are too few retries for all
        requests of a priority, other calls take precedence, whose runs have used more.
        """
        self._advance(now)
        self._shed[self._step] += 1
        self._shed_by_priority[self._step, priority] += 1
        if self._remaining(self._demand_per_s(priority)) < 1.0:
            return False
        if first and self._remaining(self._demand_per_s(priority + 1)) < 0.0:
            return False
        self._granted[self._step] += 1
        return True

    def grant_rerun(self, now: float, *, makes_calls: bool) -> bool:
        """Grant or deny another run of a request that may have run, and count it."""
        self._advance(now)
        left = self._remaining()
        if makes_calls:
            used = sum(self._granted.values())
            left = min(left, CALLING_SHARE / RATIO_SHARE * (left + used) - used)
        if left < 1.0:
            return False
        self._granted[self._step] += 1
        return True

    @property
    def period(self) -> int:
        """Interval between reports, in steps."""
        return max(1, math.ceil(self.target_count / TARGETS_PER_STEP))

    def report(self, now: float) -> tuple[list[int], list[int]] | None:
        """Return requests and retries by completed step, the newest first.

        `None` if no daemon has granted a retry within the window.
        """
        self._advance(now)
        if not self._granted and not any(self.peers.retries.values()):
            return None
        window = self._window_steps
        length = min(2 * window, self._step - self._first_step)
        steps = range(self._step - 1, self._step - 1 - length, -1)
        requests = [self._requests.get(step, 0) for step in steps]
        return requests, [self._granted.get(step, 0) for step in steps[:window]]

    def report_received(
        self, now: float, address: str, requests: list[int], retries: list[int]
    ) -> None:
        """Store the counts of another daemon."""
        self._advance(now)
        self.peers.received(self._step, address, requests, retries)
        self._renew_quota()

    def resumed(self, pause_s: float) -> None:
        """Take daemons as still reporting after a pause of this process."""
        self.peers.resumed(math.ceil(pause_s / STEP_S))

    def snapshot(self) -> dict[str, float]:
        """Return the inputs of the next decision, for the log and the metrics."""
        return {
            "granted": sum(self._granted.values()),
            "allowed": round(min(self._allowed, default=0.0), 1),
            "targets": self.target_count,
        }

    def _remaining(self, reserved_per_s: float = 0.0) -> float:
        """Return the grants left in all windows that contain the current step.

        `reserved_per_s` is reserved for higher priorities until the end of each window,
        when earlier grants have left it.
        """
        granted = sum(self._granted.values())
        remaining = float("inf")
        for ahead, allowed in enumerate(self._allowed):
            granted -= self._granted.get(self._step + ahead - len(self._allowed), 0)
            reserved = reserved_per_s * STEP_S * (ahead + 1)
            remaining = min(remaining, allowed - granted - reserved)
        return min(remaining, self._quota - self._granted_since(self._period_start))

    def _renew_quota(self) -> None:
        """Set the quota of this period by the counts of all daemons."""
        reporting = self.peers.count_reporting(self._step, self.period)
        if not reporting:
            self._quota = float("inf")
            return
        # A daemon that has not reported yet may have used its whole quota.
        missing = self.peers.count_missing(self._step, self.period)
        remaining = self._service_remaining() - missing * self._previous_quota
        self._quota = max(0.0, remaining) / (1 + reporting)

    def _service_remaining(self) -> float:
        """Return the grants left to all daemons at the start of this period."""
        window, start = self._window_steps, self._period_start
        requests = self._prefix_sums(self._requests, self.peers.requests)
        own = {step: count for step, count in self._granted.items() if step < start}
        granted = self._prefix_sums(own, self.peers.retries)
        known = min(len(self.peers), max(0, self.target_count - 1))
        slack = self.slack * SLACK_SHARE * known / max(1, self.target_count)
        remaining = float("inf")
        for end in self._window_ends:
            ends = (end, end - window // 2, end - window)
            peak = max(requests.between(last - window, last) for last in ends)
            allowed = self.ratio * RATIO_SHARE * peak + slack + self._slack_part(end)
            remaining = min(remaining, allowed - granted.between(end - window, end))
        return remaining

    def _prefix_sums(self, *counts: Mapping[int, int]) -> service_counts.PrefixSums:
        since = self._step - 2 * self._window_steps
        return service_counts.prefix_sums(since, self._step, *counts)

    @property
    def _window_steps(self) -> int:
        return math.ceil(self.window_s / STEP_S)

    @property
    def _window_ends(self) -> range:
        """The last steps of all windows that contain the current step."""
        return range(self._step, self._step + self._window_steps)

    @property
    def _period_start(self) -> int:
        return self._step - self._step % self.period

    def _granted_since(self, step: int) -> int:
        return sum(count for at, count in self._granted.items() if at >= step)

    def _demand_per_s(self, priority: int) -> float:
        """Return the retry rate needed by requests above a priority, per second.

        This is the larger one of the measured rate and of the rate at which the present
        requests would be retried until each succeeds. Requests arrive at a lower rate
        while targets shed, since runs end early.
        """
        span_s = DEMAND_STEPS * STEP_S
        measured = self._sum_above(priority, self._shed_by_priority)
        shed = sum(self._shed.values()) / max(1, sum(self._dispatched.values()))
        shed = min(MAX_SHED_RATIO, shed)
        expected = (
            self._sum_above(priority, self._requests_by_priority) * shed / (1.0 - shed)
        )
        return max(measured, expected) / span_s

    def _sum_above(
        self, priority: int, counts: collections.Counter[tuple[int, int]]
    ) -> int:
        """Return the sum over higher priorities, in the last `DEMAND_STEPS`."""
        return sum(
            count
            for (step, other), count in counts.items()
            if other < priority and step > self._step - DEMAND_STEPS
        )

    def _advance(self, now: float) -> None:
        """Drop expired steps and update the bounds, once per step."""
        step = int(now / STEP_S)
        if step == self._step:
            return
        if step - step % self.period > self._step:
            self._previous_quota = self._quota if self._quota < float("inf") else 0.0
        self._step = step
        if self._first_step is None:
            self._first_step = step
        window = self._window_steps
        service_counts.forget(self._requests, step - 2 * window)
        service_counts.forget(self._granted, step - window)
        service_counts.forget(self._dispatched, step - SHED_RATIO_STEPS)
        service_counts.forget(self._shed, step - SHED_RATIO_STEPS)
        for counts in (self._requests_by_priority, self._shed_by_priority):
            for key in [key for key in counts if key[0] <= step - DEMAND_STEPS]:
                del counts[key]
        self.peers.forget(step - 2 * window)
        self._allowed = [self._allowed_at(end, window) for end in self._window_ends]
        self._renew_quota()

    def _allowed_at(self, end: int, window: int) -> float:
        """Return the bound of the window that ends with a step."""
        ends = (end, end - window // 2, end - window)
        peak = max(self._count_requests(last - window, last) for last in ends)
        return self.ratio * RATIO_SHARE * peak + self._slack_part(end)

    def _slack_part(self, end: int) -> float:
        """Return this daemon's part of the slack, in the window that ends with a step.

        It is 0 if an earlier daemon of this box may have spent it in the window, or
        while the number of targets is unknown.
        """
        if not self.target_count or end * STEP_S - self.window_s < self.started_at:
            return 0.0
        return self.slack * SLACK_SHARE / self.target_count

    def _count_requests(self, after: int, until: int) -> int:
        return sum(
            count for step, count in self._requests.items() if after < step <= until
        )
