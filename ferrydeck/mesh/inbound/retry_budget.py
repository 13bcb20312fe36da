"""Decides how often requests are retried, on the inbound side they go to.

The agreed bound counts the attempts at all targets of a service against the requests
for it, in sliding windows. Each inbound side sees its target's part of both, so each
keeps the bound for its part and all of them keep it together. Requests in the window
before count too: when every target of a service sheds, callers further up give up
early, and what could be retried would dwindle with them.

What targets shed is retried by priority. A run that makes eight calls needs each of
them: retries spread over all runs would complete none.

Sides that grant retries report their counts to each other (`retry_exchange`). The
largest window of each side may add up to more than the largest of the service, where
requests move from one target to another; so what is left of the bound by the counts of
all sides is divided among them for each period, and a side grants no more than that.
Where no side reports, each keeps the bound for its part alone.

A request that may have run before is granted as well, but where its run makes calls
only to a small share: its calls arrive again at the services behind, at each level of
a chain on top of the one above.

Owns the counts of its windows, and in `service_counts` those of the other sides. Relies
on the inbound side to count each request, dispatch and retry.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Mapping

import attrs

from ferrydeck.mesh.inbound import service_counts

SHARE = 0.85
"""Part of the agreed ratio up to which requests are retried. The calls of second runs
count too as far as they are known as such; the rest is for those that are not."""
CALLING_SHARE = 0.25
"""Part of the agreed ratio up to which runs that make calls are retried: with chains
of four services each level may add as much as the one above it."""
SLACK_SHARE = 0.75
"""Part of the agreed slack that the inbound sides of a service spend together without
any request: a box that is lost takes some requests of all others with it at once."""
STEP_S = 0.5
"""How long requests are counted together, seconds: a twentieth of a window."""
RECENT_STEPS = 4
"""Steps by which it is judged how many requests of a priority come."""
RATE_STEPS = 2
"""Steps over which it is measured how often the target sheds."""
SHED_MOST = 0.9
"""Share of shed requests that is reckoned with at most."""
TARGETS_A_STEP = 16
"""Targets of a service up to which its sides report in each step; of more, so much less
often: a daemon sends some thirty reports a second at the most."""


@attrs.define(kw_only=True)
class RetryBudget:
    """The part of the bound that one inbound side keeps."""

    ratio: float
    """Agreed retries for each request."""
    slack: float
    """Agreed retries in a window without any request, over the whole service."""
    window_s: float
    started_at: float = float("-inf")
    """When this daemon started, where one ran on its box before: what that one has
    granted is not known."""
    target_count: int = 0
    """Targets of the service; never less than were ever seen, 0 while not known."""
    _first: collections.Counter[int] = attrs.Factory(collections.Counter)
    """Requests by step that came here first."""
    _priorities: collections.Counter[tuple[int, int]] = attrs.Factory(
        collections.Counter
    )
    """The same by step and priority, of the last steps."""
    _asked: collections.Counter[tuple[int, int]] = attrs.Factory(collections.Counter)
    """Shed requests by step and priority that may be retried, of the last steps."""
    _granted: collections.Counter[int] = attrs.Factory(collections.Counter)
    """Retries by step, those of requests that may have run included."""
    _dispatched: collections.Counter[int] = attrs.Factory(collections.Counter)
    """Requests by step that were sent to the target."""
    _shed: collections.Counter[int] = attrs.Factory(collections.Counter)
    """Those of them that it shed."""
    others: service_counts.ServiceCounts = attrs.Factory(service_counts.ServiceCounts)
    """What the other sides of the service have reported."""
    _step: int = -1
    _first_step: int | None = None
    """The first step in which anything was counted."""
    _quota: float = float("inf")
    """What may be granted in this period by the counts of all sides."""
    _quota_before: float = 0.0
    """The same of the period before; 0 where there was no limit."""
    _allowed: list[float] = attrs.Factory(list)
    """The bounds of the windows that end with this step and with each later one."""

    def observe_target_count(self, count: int) -> None:
        """Note how many targets the service has; this one's part only shrinks."""
        self.target_count = max(self.target_count, count)

    def count_request(self, now: float, priority: int) -> None:
        """Count a request that no inbound side has received before."""
        self._advance(now)
        self._first[self._step] += 1
        self._priorities[self._step, priority] += 1

    def count_dispatch(self, now: float) -> None:
        """Count a request that is sent to the target."""
        self._advance(now)
        self._dispatched[self._step] += 1

    def count_retry(self, now: float) -> None:
        """Count a call of a second run."""
        self._advance(now)
        self._granted[self._step] += 1

    def grant_shed_retry(
        self, now: float, priority: int, *, first_call: bool = False
    ) -> bool:
        """Return whether a request that was shed may be retried, and count it.

        `first_call` says that it is the first call of a run: while there are too few
        retries for all of its priority, they go to runs that are under way. A run that
        ends at its first call costs little, and the retries of one that ends at its
        last call are all lost.
        """
        self._advance(now)
        self._shed[self._step] += 1
        self._asked[self._step, priority] += 1
        if self._left(self._asked_per_s(priority)) < 1.0:
            return False
        if first_call and self._left(self._asked_per_s(priority + 1)) < 0.0:
            return False
        self._granted[self._step] += 1
        return True

    def grant_rerun(self, now: float, *, makes_calls: bool) -> bool:
        """Return whether a request that may have run before may run, and count it."""
        self._advance(now)
        left = self._left()
        if makes_calls:
            used = sum(self._granted.values())
            left = min(left, CALLING_SHARE / SHARE * (left + used) - used)
        if left < 1.0:
            return False
        self._granted[self._step] += 1
        return True

    @property
    def period(self) -> int:
        """Steps between two reports."""
        return max(1, math.ceil(self.target_count / TARGETS_A_STEP))

    def report(self, now: float) -> tuple[list[int], list[int]] | None:
        """Return requests and retries by step, the newest whole one first.

        `None` while no side has granted any lately.
        """
        self._advance(now)
        if not self._granted and not any(self.others.retries.values()):
            return None
        window = self._window
        back = min(2 * window, self._step - self._first_step)
        steps = range(self._step - 1, self._step - 1 - back, -1)
        requests = [self._first.get(one, 0) for one in steps]
        return requests, [self._granted.get(one, 0) for one in steps[:window]]

    def report_received(
        self, now: float, address: str, requests: list[int], retries: list[int]
    ) -> None:
        """Take what another side has counted."""
        self._advance(now)
        self.others.received(self._step, address, requests, retries)
        self._renew_quota()

    def snapshot(self) -> dict[str, float]:
        """Return what the next grant hangs on, for the log and the metrics."""
        return {
            "granted": sum(self._granted.values()),
            "allowed": round(min(self._allowed, default=0.0), 1),
            "targets": self.target_count,
        }

    def _left(self, kept_per_s: float = 0.0) -> float:
        """Return what may be granted now in each window that the present is in.

        `kept_per_s` is kept for higher priorities, from now to each window's end: what
        was granted in earlier seconds no longer counts by then.
        """
        spent = sum(self._granted.values())
        least = float("inf")
        for ahead, allowed in enumerate(self._allowed):
            spent -= self._granted.get(self._step + ahead - len(self._allowed), 0)
            kept = kept_per_s * STEP_S * (ahead + 1)
            least = min(least, allowed - spent - kept)
        return min(least, self._quota - self._granted_from(self._period_begins))

    def _renew_quota(self) -> None:
        """Set what this side may grant in this period, by the counts of all sides."""
        fresh = self.others.fresh(self._step, self.period)
        if not fresh:
            self._quota = float("inf")
            return
        # Who has not reported yet may have granted as much as this side might.
        awaited = self.others.awaited(self._step, self.period)
        left = self._service_left() - awaited * self._quota_before
        self._quota = max(0.0, left) / (1 + fresh)

    def _service_left(self) -> float:
        """Return what all sides may grant in this period, in all of its windows."""
        window, begins = self._window, self._period_begins
        requests = self._sums(self._first, self.others.requests)
        own = {one: count for one, count in self._granted.items() if one < begins}
        granted = self._sums(own, self.others.retries)
        known = min(len(self.others), max(0, self.target_count - 1))
        slack = self.slack * SLACK_SHARE * known / max(1, self.target_count)
        least = float("inf")
        for end in self._ends:
            ends = (end, end - window // 2, end - window)
            most = max(requests.between(one - window, one) for one in ends)
            allowed = self.ratio * SHARE * most + slack + self._slack_part(end)
            least = min(least, allowed - granted.between(end - window, end))
        return least

    def _sums(self, *counts: Mapping[int, int]) -> service_counts.Sums:
        since = self._step - 2 * self._window
        return service_counts.sums(since, self._step, *counts)

    @property
    def _window(self) -> int:
        return math.ceil(self.window_s / STEP_S)

    @property
    def _ends(self) -> range:
        """The last steps of the windows that the present is in."""
        return range(self._step, self._step + self._window)

    @property
    def _period_begins(self) -> int:
        return self._step - self._step % self.period

    def _granted_from(self, step: int) -> int:
        return sum(count for one, count in self._granted.items() if one >= step)

    def _asked_per_s(self, priority: int) -> float:
        """Return the retries a second that requests above a priority ask for.

        As many as they ask for now, or will if as many requests come as now and each is
        shed and retried until it is served. Fewer come than before the targets shed,
        since runs end early.
        """
        span_s = RECENT_STEPS * STEP_S
        asked = self._of_higher_priority(priority, self._asked)
        shed = sum(self._shed.values()) / max(1, sum(self._dispatched.values()))
        shed = min(SHED_MOST, shed)
        to_come = (
            self._of_higher_priority(priority, self._priorities) * shed / (1.0 - shed)
        )
        return max(asked, to_come) / span_s

    def _of_higher_priority(
        self, priority: int, counts: collections.Counter[tuple[int, int]]
    ) -> int:
        """Return what was counted for higher priorities in the last steps."""
        return sum(
            count
            for (step, other), count in counts.items()
            if other < priority and step > self._step - RECENT_STEPS
        )

    def _advance(self, now: float) -> None:
        """Forget old steps and set anew what is allowed, once a step."""
        step = int(now / STEP_S)
        if step == self._step:
            return
        if step - step % self.period > self._step:
            self._quota_before = self._quota if self._quota < float("inf") else 0.0
        self._step = step
        if self._first_step is None:
            self._first_step = step
        window = self._window
        service_counts.forget(self._first, step - 2 * window)
        service_counts.forget(self._granted, step - window)
        service_counts.forget(self._dispatched, step - RATE_STEPS)
        service_counts.forget(self._shed, step - RATE_STEPS)
        for counts in (self._priorities, self._asked):
            for old in [one for one in counts if one[0] <= step - RECENT_STEPS]:
                del counts[old]
        self.others.forget(step - 2 * window)
        self._allowed = [self._allowed_until(end, window) for end in self._ends]
        self._renew_quota()

    def _allowed_until(self, end: int, window: int) -> float:
        """Return the bound of a window by the requests that are known so far."""
        ends = (end, end - window // 2, end - window)
        most = max(self._count_first(one - window, one) for one in ends)
        return self.ratio * SHARE * most + self._slack_part(end)

    def _slack_part(self, end: int) -> float:
        """Return this side's part of the slack, in the window that ends with a step.

        There is none in a window in which another daemon of this box may have spent
        it, nor while it is not known how many others have one.
        """
        if not self.target_count or end * STEP_S - self.window_s < self.started_at:
            return 0.0
        return self.slack * SLACK_SHARE / self.target_count

    def _count_first(self, after: int, until: int) -> int:
        return sum(
            count for step, count in self._first.items() if after < step <= until
        )
