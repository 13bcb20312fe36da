"""Admission at the target's daemon: concurrency limit, queue and shed level."""

from __future__ import annotations

import bisect
import collections
from typing import Any

import attrs

from ferrydeck.signed.core import levels, priority
from ferrydeck.signed.wire import messages

DECREASE = 0.8
INCREASE_SHARE = 0.05
MIN_SHARE = 0.1
COLD_SHARE = 0.25
SMOOTHING = 0.1
QUEUE_SHARE = 2.0
"""Length of the queue over the limit: about so many service times to wait at most."""
MIN_QUEUE = 4
WAIT_TARGET_S = 0.02
"""Mean wait in the queue above which a window counts as overloaded, seconds."""
DECAY = 0.7
"""Share of the offers of a window that still counts in the next one."""
FORGOTTEN = 0.05
KEPT_FOR_INNER = 0.1
"""Share of the limit kept for inner calls where both kinds come."""
DEPTHS_KEPT_S = 10.0
RETURNS_KEPT_S = 10.0
"""How long slots are kept after a request came back to its target, seconds."""
PROTECTED_QUEUE = 4
"""How many times longer the queue may be with calls of the top class alone."""


@attrs.define(kw_only=True)
class Waiting:
    """A job in the queue; `order` sorts the queue."""

    order: tuple[int, int, int, int]
    depth: int
    job: Any
    number: int
    since: float
    expires: float


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
class Depths:
    """How deep in their requests the jobs of late were."""

    least: int = 1_000_000
    most: int = 0

    def add(self, depth: int) -> None:
        """Note the depth of a job."""
        self.least = min(self.least, depth)
        self.most = max(self.most, depth)

    def outermost(self, depth: int) -> bool:
        """Return whether deeper jobs come here too, and none shallower."""
        return self.least == depth < self.most


@attrs.define(kw_only=True)
class Admission:
    """Decides which jobs the target beside this daemon works on.

    The limit starts from the slots in the bundle, is ramped for a cold target
    and follows what the target shows: a window with shed or lost work lowers
    it, a busy calm one raises it (additive increase, multiplicative decrease).
    """

    slots: int
    cold_start_s: float = 0.0
    started: float = 0.0
    limited: bool = True
    ordered: bool = True
    running: int = 0
    queue: list[Waiting] = attrs.Factory(list)
    service_s: float = 0.0
    level: levels.Level = attrs.Factory(levels.Level)
    _allowed: float = 0.0
    _sequence: int = 0
    _window_end: float = 0.0
    _depths_end: float = 0.0
    _returns_until: float = float("-inf")
    _peak: int = 0
    _troubled: bool = False
    _shed_best: int | None = None
    """The best priority that the queue had no room for in this window."""
    _waits: float = 0.0
    _taken: int = 0
    _depths: Depths = attrs.Factory(lambda: Depths())
    _offered: dict[int, float] = attrs.Factory(lambda: collections.defaultdict(float))

    def __attrs_post_init__(self) -> None:
        self._allowed = float(self.slots)

    def limit(self, now: float) -> int:
        """Return how many jobs may run at once."""
        if not self.limited:
            return 1_000_000_000
        allowed = self._allowed
        age = now - self.started
        if self.cold_start_s and age < self.cold_start_s:
            share = COLD_SHARE + (1 - COLD_SHARE) * age / self.cold_start_s
            allowed = min(allowed, self.slots * share)
        return max(1, int(allowed))

    def offer(
        self, now: float, job: Any, *, number: int, depth: int, expires: float
    ) -> list[Decision]:
        """Decide on a new job with priority `number`; others may be refused for it."""
        self.roll(now)
        self._depths.add(depth)
        self._offered[number] += 1.0
        if not self.limited:
            return [self._start(job)]
        if self.ordered and not self.level.admits(number):
            return [Reject(job=job, reason=messages.Reason.OVERLOAD)]
        if not self.queue and self._has_room(now, depth):
            return [self._start(job)]
        waiting = Waiting(
            order=self._order(number, depth),
            depth=depth,
            job=job,
            number=number,
            since=now,
            expires=expires,
        )
        position = bisect.bisect(self.queue, waiting.order, key=lambda one: one.order)
        if now + self._wait_at(position, now) + self.service_s > expires:
            self._note_shed(number)
            return [Reject(job=job, reason=messages.Reason.OVERLOAD)]
        self.queue.insert(position, waiting)
        return [*self._fill(now), *self._trim(now)]

    def finish(
        self, now: float, *, service_s: float, troubled: bool = False
    ) -> list[Decision]:
        """Count a job as finished and start those that have room now."""
        self.running -= 1
        self._troubled |= troubled
        weight = SMOOTHING if self.service_s else 1.0
        self.service_s += weight * (service_s - self.service_s)
        self.roll(now)
        return self._fill(now)

    def withdraw(self, job: Any) -> bool:
        """Take a job out of the queue; false where it is not there."""
        for index, waiting in enumerate(self.queue):
            if waiting.job is job:
                del self.queue[index]
                return True
        return False

    def expire(self, now: float) -> list[Decision]:
        """Reject the waiting jobs that can't end in time any more."""
        self.roll(now)
        late = [one for one in self.queue if now + self.service_s > one.expires]
        for waiting in late:
            self.queue.remove(waiting)
        return [
            Reject(job=one.job, reason=messages.Reason.EXPIRED) for one in late
        ] + self._fill(now)

    def came_back(self, now: float) -> None:
        """Note that a request came back to this target while it is worked on here."""
        self._returns_until = now + RETURNS_KEPT_S

    def load(self, now: float) -> messages.Load:
        """Return how this target stands, for the daemons that call it."""
        return messages.Load(
            running=self.running,
            queued=len(self.queue),
            limit=self.limit(now) if self.limited else self.slots,
            service_ms=self.service_s * 1000,
            level=self.level.value if self.ordered else priority.TOP_LEVEL,
        )

    def roll(self, now: float) -> None:
        """Close the window if it is over, and set the limit and the level anew."""
        if now < self._window_end:
            return
        if now >= self._depths_end:
            self._depths_end = now + DEPTHS_KEPT_S
            self._depths = Depths()
        self._adapt_limit()
        self._adapt_level(now)
        self._window_end = now + levels.ADJUST_INTERVAL_S
        self._peak = self.running
        self._troubled = False
        self._shed_best = None
        self._taken = 0
        self._waits = 0.0
        self._offered = collections.defaultdict(
            float,
            {
                number: count * DECAY
                for number, count in self._offered.items()
                if count > FORGOTTEN
            },
        )

    def _adapt_limit(self) -> None:
        if self._troubled:
            self._allowed = max(self.slots * MIN_SHARE, self._allowed * DECREASE, 1.0)
        elif self._peak >= 0.9 * self._allowed:
            step = max(1.0, self.slots * INCREASE_SHARE)
            self._allowed = min(float(self.slots), self._allowed + step)

    def _adapt_level(self, now: float) -> None:
        mean_wait = self._waits / self._taken if self._taken else 0.0
        busy = mean_wait > WAIT_TARGET_S or len(self.queue) >= self._room() // 2
        if self._shed_best is not None and busy:
            wanted = self._served_lately() + self._room() // 4
            # No class is closed of which the queue itself has shed none.
            floor = priority.rank_of(self._shed_best) * priority.BUCKETS_PER_CLASS - 1
            self.level.lower(now, max(floor, self._level_for(wanted)))
            return
        self.level.raise_if_due(now)

    def _level_for(self, wanted: float) -> int:
        """Return the level that would have let about `wanted` offered jobs in."""
        total = 0.0
        for number in sorted(self._offered):
            total += self._offered[number]
            if total > wanted:
                return number
        return self.level.value

    def _served_lately(self) -> int:
        """Return about how many jobs end in the time that the offers stand for."""
        if not self.service_s:
            return int(self._allowed)
        return int(
            self._allowed * levels.ADJUST_INTERVAL_S / self.service_s / (1 - DECAY)
        )

    def _order(self, number: int, depth: int) -> tuple[int, int, int, int]:
        self._sequence += 1
        if not self.ordered:
            return (0, 0, 0, self._sequence)
        return (priority.rank_of(number), -depth, number, self._sequence)

    def _note_shed(self, number: int) -> None:
        if self._shed_best is None or number < self._shed_best:
            self._shed_best = number

    def _room(self) -> int:
        return max(MIN_QUEUE, int(self._allowed * QUEUE_SHARE))

    def _wait_at(self, position: int, now: float) -> float:
        return (position + 1) * self.service_s / self.limit(now)

    def _start(self, job: Any) -> Start:
        self.running += 1
        self._peak = max(self._peak, self.running)
        return Start(job=job)

    def _fill(self, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        while (index := self._next(now)) is not None:
            waiting = self.queue.pop(index)
            self._taken += 1
            self._waits += now - waiting.since
            if now + self.service_s > waiting.expires:
                self._note_shed(waiting.number)
                reason = messages.Reason.EXPIRED
                decisions.append(Reject(job=waiting.job, reason=reason))
                continue
            decisions.append(self._start(waiting.job))
        return decisions

    def _next(self, now: float) -> int | None:
        """Return the place in the queue of the first job that there is room for."""
        for index, waiting in enumerate(self.queue):
            if self._has_room(now, waiting.depth):
                return index
            if now >= self._returns_until or not self._depths.outermost(waiting.depth):
                return None
        return None

    def _has_room(self, now: float, depth: int) -> bool:
        """Return whether a job may start.

        Where requests come back to a target that they came through, the outer
        calls could hold every slot while the inner ones wait for one. So some
        slots are kept then for calls that are deeper than others.
        """
        limit = self.limit(now)
        returns = now < self._returns_until
        if returns and limit > 1 and self._depths.outermost(depth):
            limit -= max(1, int(limit * KEPT_FOR_INNER))
        return self.running < limit

    def _trim(self, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        while len(self.queue) > self._room():
            top = priority.rank_of(self.queue[-1].number) == priority.TOP_RANK
            if (
                self.ordered
                and top
                and len(self.queue) <= PROTECTED_QUEUE * self._room()
            ):
                break
            worst = self.queue.pop()
            self._note_shed(worst.number)
            reason = messages.Reason.OVERLOAD
            decisions.append(Reject(job=worst.job, reason=reason))
        return decisions
