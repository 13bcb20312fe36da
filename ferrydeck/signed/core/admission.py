"""Admission at the target's daemon: concurrency limit, queue and shed level."""

from __future__ import annotations

import bisect
import collections
from typing import Any

import attrs

from ferrydeck.signed.core import levels
from ferrydeck.signed.core import priority as priorities
from ferrydeck.signed.wire import messages

DECREASE_FACTOR = 0.8
INCREASE_RATIO = 0.05
MIN_LIMIT_RATIO = 0.1
COLD_START_RATIO = 0.25
EWMA_WEIGHT = 0.1
MAX_QUEUE_RATIO = 2.0
"""Maximum queue length per slot: bounds the wait to about as many service times."""
MIN_QUEUE_LENGTH = 4
MAX_MEAN_WAIT_S = 0.02
DECAY_RATIO = 0.7
"""Weight of a window's offered load in the next window."""
MIN_OFFERED_COUNT = 0.05
NESTED_RESERVE_RATIO = 0.1
"""Share of the limit that only nested calls may use while the reserve is active."""
DEPTH_WINDOW_S = 10.0
NESTED_RESERVE_S = 10.0
TOP_CLASS_RATIO = 4
"""Factor by which calls of the top class may exceed the maximum queue length."""


@attrs.define(kw_only=True)
class QueuedJob:
    """A job that waits for a slot; the queue is ordered by `sort_key`."""

    sort_key: tuple[int, int, int, int]
    depth: int
    job: Any
    priority: int
    queued_at: float
    deadline: float


@attrs.define(kw_only=True, frozen=True)
class Start:
    """Start the job now."""

    job: Any


@attrs.define(kw_only=True, frozen=True)
class Reject:
    """Reject the job, which has not started."""

    job: Any
    reason: messages.Reason


Decision = Start | Reject


@attrs.define(kw_only=True)
class CallDepths:
    """Range of recent call depths: the number of hops from the entry of a request."""

    min_depth: int = 1_000_000
    max_depth: int = 0

    def record(self, depth: int) -> None:
        """Include the depth of a job."""
        self.min_depth = min(self.min_depth, depth)
        self.max_depth = max(self.max_depth, depth)

    def outermost(self, depth: int) -> bool:
        """Return whether `depth` is the smallest one seen, but not the only one."""
        return self.min_depth == depth < self.max_depth


@attrs.define(kw_only=True)
class Admission:
    """Admission control for the target beside this daemon.

    The concurrency limit ramps up to the number of slots while the target is cold and
    adapts by AIMD: overload signals of the target lower it, high utilisation raises it.
    """

    slots: int
    cold_start_s: float = 0.0
    started_at: float = 0.0
    limited: bool = True
    ordered: bool = True
    running: int = 0
    queue: list[QueuedJob] = attrs.Factory(list)
    mean_service_s: float = 0.0
    level: levels.Level = attrs.Factory(levels.Level)
    _limit: float = 0.0
    _sequence: int = 0
    _window_end: float = 0.0
    _depth_window_end: float = 0.0
    _reserve_until: float = float("-inf")
    _peak_running: int = 0
    _overloaded: bool = False
    _top_shed: int | None = None
    """The highest priority (lowest number) shed in this window."""
    _total_wait_s: float = 0.0
    _dequeued: int = 0
    _depths: CallDepths = attrs.Factory(lambda: CallDepths())
    _offered: dict[int, float] = attrs.Factory(lambda: collections.defaultdict(float))

    def __attrs_post_init__(self) -> None:
        self._limit = float(self.slots)

    def limit(self, now: float) -> int:
        """Return the current concurrency limit."""
        if not self.limited:
            return 1_000_000_000
        limit = self._limit
        age = now - self.started_at
        if self.cold_start_s and age < self.cold_start_s:
            ratio = COLD_START_RATIO + (1 - COLD_START_RATIO) * age / self.cold_start_s
            limit = min(limit, self.slots * ratio)
        return max(1, int(limit))

    def offer(
        self, now: float, job: Any, *, priority: int, depth: int, deadline: float
    ) -> list[Decision]:
        """Start, queue or reject a new job; lower priorities may be shed for it."""
        self.advance_window(now)
        self._depths.record(depth)
        self._offered[priority] += 1.0
        if not self.limited:
            return [self._start(job)]
        if self.ordered and not self.level.admits(priority):
            return [Reject(job=job, reason=messages.Reason.OVERLOAD)]
        if not self.queue and self._can_start(now, depth):
            return [self._start(job)]
        new = QueuedJob(
            sort_key=self._sort_key(priority, depth),
            depth=depth,
            job=job,
            priority=priority,
            queued_at=now,
            deadline=deadline,
        )
        position = bisect.bisect(self.queue, new.sort_key, key=lambda one: one.sort_key)
        if now + self._wait_s(position, now) + self.mean_service_s > deadline:
            self._record_shed(priority)
            return [Reject(job=job, reason=messages.Reason.OVERLOAD)]
        self.queue.insert(position, new)
        return [*self._start_queued(now), *self._trim_queue(now)]

    def finish(
        self, now: float, *, service_s: float, overloaded: bool = False
    ) -> list[Decision]:
        """Release the slot of a finished job and start queued jobs."""
        self.running -= 1
        self._overloaded |= overloaded
        weight = EWMA_WEIGHT if self.mean_service_s else 1.0
        self.mean_service_s += weight * (service_s - self.mean_service_s)
        self.advance_window(now)
        return self._start_queued(now)

    def remove_queued(self, job: Any) -> bool:
        """Remove a job from the queue; return whether it was queued."""
        for index, queued in enumerate(self.queue):
            if queued.job is job:
                del self.queue[index]
                return True
        return False

    def expire(self, now: float) -> list[Decision]:
        """Reject queued jobs that can no longer finish before their deadlines."""
        self.advance_window(now)
        late = [one for one in self.queue if now + self.mean_service_s > one.deadline]
        for queued in late:
            self.queue.remove(queued)
        return [
            Reject(job=one.job, reason=messages.Reason.EXPIRED) for one in late
        ] + self._start_queued(now)

    def reserve_for_nested(self, now: float) -> None:
        """Activate the slot reserve after a nested call of a request that runs here."""
        self._reserve_until = now + NESTED_RESERVE_S

    def load(self, now: float) -> messages.Load:
        """Return the load report for calling daemons."""
        return messages.Load(
            running=self.running,
            queued=len(self.queue),
            limit=self.limit(now) if self.limited else self.slots,
            service_ms=self.mean_service_s * 1000,
            level=self.level.value if self.ordered else priorities.TOP_LEVEL,
        )

    def advance_window(self, now: float) -> None:
        """Adjust the limit and the level once per window."""
        if now < self._window_end:
            return
        if now >= self._depth_window_end:
            self._depth_window_end = now + DEPTH_WINDOW_S
            self._depths = CallDepths()
        self._adapt_limit()
        self._adapt_level(now)
        self._window_end = now + levels.INTERVAL_S
        self._peak_running = self.running
        self._overloaded = False
        self._top_shed = None
        self._dequeued = 0
        self._total_wait_s = 0.0
        self._offered = collections.defaultdict(
            float,
            {
                priority: count * DECAY_RATIO
                for priority, count in self._offered.items()
                if count > MIN_OFFERED_COUNT
            },
        )

    def _adapt_limit(self) -> None:
        if self._overloaded:
            self._limit = max(
                self.slots * MIN_LIMIT_RATIO, self._limit * DECREASE_FACTOR, 1.0
            )
        elif self._peak_running >= 0.9 * self._limit:
            step = max(1.0, self.slots * INCREASE_RATIO)
            self._limit = min(float(self.slots), self._limit + step)

    def _adapt_level(self, now: float) -> None:
        mean_wait = self._total_wait_s / self._dequeued if self._dequeued else 0.0
        busy = mean_wait > MAX_MEAN_WAIT_S or len(self.queue) >= self._max_queued() // 2
        if self._top_shed is not None and busy:
            job_count = self._capacity() + self._max_queued() // 4
            # Classes of which the queue shed nothing stay admitted.
            floor = priorities.rank_of(self._top_shed) * priorities.BUCKETS - 1
            self.level.lower(now, max(floor, self._level_admitting(job_count)))
            return
        self.level.raise_if_due(now)

    def _level_admitting(self, job_count: float) -> int:
        """Return the level that would have admitted about `job_count` offered jobs."""
        total = 0.0
        for priority in sorted(self._offered):
            total += self._offered[priority]
            if total > job_count:
                return priority
        return self.level.value

    def _capacity(self) -> int:
        """Return about how many jobs finish in the time that `_offered` covers."""
        if not self.mean_service_s:
            return int(self._limit)
        return int(
            self._limit * levels.INTERVAL_S / self.mean_service_s / (1 - DECAY_RATIO)
        )

    def _sort_key(self, priority: int, depth: int) -> tuple[int, int, int, int]:
        self._sequence += 1
        if not self.ordered:
            return (0, 0, 0, self._sequence)
        return (priorities.rank_of(priority), -depth, priority, self._sequence)

    def _record_shed(self, priority: int) -> None:
        if self._top_shed is None or priority < self._top_shed:
            self._top_shed = priority

    def _max_queued(self) -> int:
        return max(MIN_QUEUE_LENGTH, int(self._limit * MAX_QUEUE_RATIO))

    def _wait_s(self, position: int, now: float) -> float:
        return (position + 1) * self.mean_service_s / self.limit(now)

    def _start(self, job: Any) -> Start:
        self.running += 1
        self._peak_running = max(self._peak_running, self.running)
        return Start(job=job)

    def _start_queued(self, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        while (index := self._next_index(now)) is not None:
            queued = self.queue.pop(index)
            self._dequeued += 1
            self._total_wait_s += now - queued.queued_at
            if now + self.mean_service_s > queued.deadline:
                self._record_shed(queued.priority)
                reason = messages.Reason.EXPIRED
                decisions.append(Reject(job=queued.job, reason=reason))
                continue
            decisions.append(self._start(queued.job))
        return decisions

    def _next_index(self, now: float) -> int | None:
        """Return the queue index of the first job that may start, or `None`."""
        for index, queued in enumerate(self.queue):
            if self._can_start(now, queued.depth):
                return index
            if now >= self._reserve_until or not self._depths.outermost(queued.depth):
                return None
        return None

    def _can_start(self, now: float, depth: int) -> bool:
        """Return whether a job may start.

        Some slots are reserved for nested calls, on which running outer calls may wait.
        """
        limit = self.limit(now)
        reserved = now < self._reserve_until
        if reserved and limit > 1 and self._depths.outermost(depth):
            limit -= max(1, int(limit * NESTED_RESERVE_RATIO))
        return self.running < limit

    def _trim_queue(self, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        while len(self.queue) > self._max_queued():
            top = priorities.rank_of(self.queue[-1].priority) == priorities.TOP_RANK
            if (
                self.ordered
                and top
                and len(self.queue) <= TOP_CLASS_RATIO * self._max_queued()
            ):
                break
            worst = self.queue.pop()
            self._record_shed(worst.priority)
            reason = messages.Reason.OVERLOAD
            decisions.append(Reject(job=worst.job, reason=reason))
        return decisions
