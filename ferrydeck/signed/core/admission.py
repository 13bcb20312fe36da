"""Admission at the target's daemon: concurrency limit, queue and shed level."""

from __future__ import annotations

import bisect
import collections
from typing import Any

import attrs

from ferrydeck.signed.core import levels, priority
from ferrydeck.signed.wire import messages

LIMIT_DECREASE_FACTOR = 0.8
LIMIT_INCREASE_RATIO = 0.05
MIN_LIMIT_RATIO = 0.1
COLD_START_RATIO = 0.25
SERVICE_TIME_EWMA_WEIGHT = 0.1
MAX_QUEUE_TO_LIMIT_RATIO = 2.0
"""Length of the queue over the limit: about so many service times to wait at most."""
MIN_QUEUE_CAPACITY = 4
MAX_MEAN_QUEUE_WAIT_S = 0.02
"""Mean wait in the queue above which a window counts as overloaded, seconds."""
OFFERED_DECAY_RATIO = 0.7
"""Share of the offers of a window that still counts in the next one."""
MIN_OFFERED_COUNT = 0.05
NESTED_RESERVE_RATIO = 0.1
"""Share of the limit kept for inner calls where both kinds come."""
DEPTH_WINDOW_S = 10.0
NESTED_RESERVE_S = 10.0
"""How long slots are kept after a request came back to its target, seconds."""
TOP_CLASS_QUEUE_RATIO = 4
"""How many times longer the queue may be with calls of the top class alone."""


@attrs.define(kw_only=True)
class QueuedJob:
    """A job in the queue; `sort_key` orders it."""

    sort_key: tuple[int, int, int, int]
    depth: int
    job: Any
    request_priority: int
    queued_at: float
    deadline: float


@attrs.define(kw_only=True, frozen=True)
class Start:
    """The job starts now."""

    job: Any


@attrs.define(kw_only=True, frozen=True)
class Reject:
    """The job is rejected before it started."""

    job: Any
    reason: messages.Reason


Decision = Start | Reject


@attrs.define(kw_only=True)
class CallDepths:
    """How deep in their requests the jobs of late were."""

    min_depth: int = 1_000_000
    max_depth: int = 0

    def record(self, depth: int) -> None:
        """Note the depth of a job."""
        self.min_depth = min(self.min_depth, depth)
        self.max_depth = max(self.max_depth, depth)

    def is_outermost(self, depth: int) -> bool:
        """Return whether deeper jobs come here too, and none shallower."""
        return self.min_depth == depth < self.max_depth


@attrs.define(kw_only=True)
class Admission:
    """Decides which jobs the target beside this daemon works on.

    The limit starts from the slots in the bundle, is ramped for a cold target
    and follows what the target shows: a window with shed or lost work lowers
    it, a busy calm one raises it (additive increase, multiplicative decrease).
    """

    slots: int
    cold_start_s: float = 0.0
    started_at: float = 0.0
    limited: bool = True
    ordered: bool = True
    running: int = 0
    queue: list[QueuedJob] = attrs.Factory(list)
    mean_service_time_s: float = 0.0
    level: levels.Level = attrs.Factory(levels.Level)
    _adaptive_limit: float = 0.0
    _sequence: int = 0
    _window_end: float = 0.0
    _depth_window_end: float = 0.0
    _nested_reserve_until: float = float("-inf")
    _peak_running: int = 0
    _overloaded: bool = False
    _best_shed_priority: int | None = None
    """The best priority that the queue had no room for in this window."""
    _total_wait_s: float = 0.0
    _dequeued: int = 0
    _call_depths: CallDepths = attrs.Factory(lambda: CallDepths())
    _offered_counts: dict[int, float] = attrs.Factory(
        lambda: collections.defaultdict(float)
    )

    def __attrs_post_init__(self) -> None:
        self._adaptive_limit = float(self.slots)

    def limit(self, now: float) -> int:
        """Return how many jobs may run at once."""
        if not self.limited:
            return 1_000_000_000
        allowed = self._adaptive_limit
        age = now - self.started_at
        if self.cold_start_s and age < self.cold_start_s:
            share = COLD_START_RATIO + (1 - COLD_START_RATIO) * age / self.cold_start_s
            allowed = min(allowed, self.slots * share)
        return max(1, int(allowed))

    def offer(
        self,
        now: float,
        job: Any,
        *,
        request_priority: int,
        depth: int,
        deadline: float,
    ) -> list[Decision]:
        """Decide on a new job with `request_priority`; others may be refused for it."""
        self.advance_window(now)
        self._call_depths.record(depth)
        self._offered_counts[request_priority] += 1.0
        if not self.limited:
            return [self._start(job)]
        if self.ordered and not self.level.admits(request_priority):
            return [Reject(job=job, reason=messages.Reason.OVERLOAD)]
        if not self.queue and self._can_start(now, depth):
            return [self._start(job)]
        waiting = QueuedJob(
            sort_key=self._sort_key(request_priority, depth),
            depth=depth,
            job=job,
            request_priority=request_priority,
            queued_at=now,
            deadline=deadline,
        )
        position = bisect.bisect(
            self.queue, waiting.sort_key, key=lambda one: one.sort_key
        )
        if (
            now + self._expected_wait_s(position, now) + self.mean_service_time_s
            > deadline
        ):
            self._record_shed(request_priority)
            return [Reject(job=job, reason=messages.Reason.OVERLOAD)]
        self.queue.insert(position, waiting)
        return [*self._start_queued(now), *self._trim_queue(now)]

    def finish(
        self, now: float, *, service_time_s: float, overloaded: bool = False
    ) -> list[Decision]:
        """Count a job as finished and start those that have room now."""
        self.running -= 1
        self._overloaded |= overloaded
        weight = SERVICE_TIME_EWMA_WEIGHT if self.mean_service_time_s else 1.0
        self.mean_service_time_s += weight * (service_time_s - self.mean_service_time_s)
        self.advance_window(now)
        return self._start_queued(now)

    def remove_queued(self, job: Any) -> bool:
        """Take a job out of the queue; false where it is not there."""
        for index, waiting in enumerate(self.queue):
            if waiting.job is job:
                del self.queue[index]
                return True
        return False

    def expire(self, now: float) -> list[Decision]:
        """Reject the waiting jobs that can't end in time any more."""
        self.advance_window(now)
        late = [
            one for one in self.queue if now + self.mean_service_time_s > one.deadline
        ]
        for waiting in late:
            self.queue.remove(waiting)
        return [
            Reject(job=one.job, reason=messages.Reason.EXPIRED) for one in late
        ] + self._start_queued(now)

    def reserve_for_nested(self, now: float) -> None:
        """Note that a request came back to this target while it is worked on here."""
        self._nested_reserve_until = now + NESTED_RESERVE_S

    def load(self, now: float) -> messages.Load:
        """Return how this target stands, for the daemons that call it."""
        return messages.Load(
            running=self.running,
            queued=len(self.queue),
            limit=self.limit(now) if self.limited else self.slots,
            service_ms=self.mean_service_time_s * 1000,
            level=self.level.value if self.ordered else priority.TOP_LEVEL,
        )

    def advance_window(self, now: float) -> None:
        """Close the window if it is over, and set the limit and the level anew."""
        if now < self._window_end:
            return
        if now >= self._depth_window_end:
            self._depth_window_end = now + DEPTH_WINDOW_S
            self._call_depths = CallDepths()
        self._adapt_limit()
        self._adapt_level(now)
        self._window_end = now + levels.ADJUST_INTERVAL_S
        self._peak_running = self.running
        self._overloaded = False
        self._best_shed_priority = None
        self._dequeued = 0
        self._total_wait_s = 0.0
        self._offered_counts = collections.defaultdict(
            float,
            {
                number: count * OFFERED_DECAY_RATIO
                for number, count in self._offered_counts.items()
                if count > MIN_OFFERED_COUNT
            },
        )

    def _adapt_limit(self) -> None:
        if self._overloaded:
            self._adaptive_limit = max(
                self.slots * MIN_LIMIT_RATIO,
                self._adaptive_limit * LIMIT_DECREASE_FACTOR,
                1.0,
            )
        elif self._peak_running >= 0.9 * self._adaptive_limit:
            step = max(1.0, self.slots * LIMIT_INCREASE_RATIO)
            self._adaptive_limit = min(float(self.slots), self._adaptive_limit + step)

    def _adapt_level(self, now: float) -> None:
        mean_wait = self._total_wait_s / self._dequeued if self._dequeued else 0.0
        busy = (
            mean_wait > MAX_MEAN_QUEUE_WAIT_S
            or len(self.queue) >= self._queue_capacity() // 2
        )
        if self._best_shed_priority is not None and busy:
            wanted = self._windowed_capacity() + self._queue_capacity() // 4
            # No class is closed of which the queue itself has shed none.
            floor = (
                priority.rank_of(self._best_shed_priority) * priority.BUCKETS_PER_CLASS
                - 1
            )
            self.level.lower(now, max(floor, self._level_admitting(wanted)))
            return
        self.level.raise_if_due(now)

    def _level_admitting(self, job_count: float) -> int:
        """Return the level that would have let about `wanted` offered jobs in."""
        total = 0.0
        for number in sorted(self._offered_counts):
            total += self._offered_counts[number]
            if total > job_count:
                return number
        return self.level.value

    def _windowed_capacity(self) -> int:
        """Return about how many jobs end in the time that the offers stand for."""
        if not self.mean_service_time_s:
            return int(self._adaptive_limit)
        return int(
            self._adaptive_limit
            * levels.ADJUST_INTERVAL_S
            / self.mean_service_time_s
            / (1 - OFFERED_DECAY_RATIO)
        )

    def _sort_key(self, request_priority: int, depth: int) -> tuple[int, int, int, int]:
        self._sequence += 1
        if not self.ordered:
            return (0, 0, 0, self._sequence)
        return (
            priority.rank_of(request_priority),
            -depth,
            request_priority,
            self._sequence,
        )

    def _record_shed(self, request_priority: int) -> None:
        if (
            self._best_shed_priority is None
            or request_priority < self._best_shed_priority
        ):
            self._best_shed_priority = request_priority

    def _queue_capacity(self) -> int:
        return max(
            MIN_QUEUE_CAPACITY, int(self._adaptive_limit * MAX_QUEUE_TO_LIMIT_RATIO)
        )

    def _expected_wait_s(self, position: int, now: float) -> float:
        return (position + 1) * self.mean_service_time_s / self.limit(now)

    def _start(self, job: Any) -> Start:
        self.running += 1
        self._peak_running = max(self._peak_running, self.running)
        return Start(job=job)

    def _start_queued(self, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        while (index := self._next_startable(now)) is not None:
            waiting = self.queue.pop(index)
            self._dequeued += 1
            self._total_wait_s += now - waiting.queued_at
            if now + self.mean_service_time_s > waiting.deadline:
                self._record_shed(waiting.request_priority)
                reason = messages.Reason.EXPIRED
                decisions.append(Reject(job=waiting.job, reason=reason))
                continue
            decisions.append(self._start(waiting.job))
        return decisions

    def _next_startable(self, now: float) -> int | None:
        """Return the place in the queue of the first job that there is room for."""
        for index, waiting in enumerate(self.queue):
            if self._can_start(now, waiting.depth):
                return index
            if now >= self._nested_reserve_until or not self._call_depths.is_outermost(
                waiting.depth
            ):
                return None
        return None

    def _can_start(self, now: float, depth: int) -> bool:
        """Return whether a job may start.

        Where requests come back to a target that they came through, the outer
        calls could hold every slot while the inner ones wait for one. So some
        slots are kept then for calls that are deeper than others.
        """
        limit = self.limit(now)
        returns = now < self._nested_reserve_until
        if returns and limit > 1 and self._call_depths.is_outermost(depth):
            limit -= max(1, int(limit * NESTED_RESERVE_RATIO))
        return self.running < limit

    def _trim_queue(self, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        while len(self.queue) > self._queue_capacity():
            top = priority.rank_of(self.queue[-1].request_priority) == priority.TOP_RANK
            if (
                self.ordered
                and top
                and len(self.queue) <= TOP_CLASS_QUEUE_RATIO * self._queue_capacity()
            ):
                break
            worst = self.queue.pop()
            self._record_shed(worst.request_priority)
            reason = messages.Reason.OVERLOAD
            decisions.append(Reject(job=worst.job, reason=reason))
        return decisions
