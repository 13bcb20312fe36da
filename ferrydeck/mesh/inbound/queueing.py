"""A priority queue that shares slot time by weights, so that no priority is starved.

Owns the queued items and their order. It is independent of requests; `request_queue`
decides which of them may wait.
"""

from __future__ import annotations

import collections
from collections.abc import Iterator
from typing import Generic, TypeVar

import attrs

T = TypeVar("T")

PRIORITY_FACTOR = 4
"""Ratio of the slot time of a priority to that of the next lower one. Strict priorities
would let many calls starve the few requests of lower priority. At four, a priority that
needs less than a fifth of the slot time is served completely."""
PASS_UNITS_PER_S = 1_000_000_000
"""Units of a pass per second of slot time. Passes are integers, since the factor of a
priority number may exceed any float."""
MAX_WEIGHTED_PRIORITY = 4096
"""Priority from which lower ones weigh the same; bounds the size of a pass."""
MAX_RATIO_STEPS = 100
"""Difference of priorities from which the ratio of their slot time stays the same."""


@attrs.define(kw_only=True, frozen=True)
class Waiting(Generic[T]):
    """A queued item."""

    item: T
    service_time_s: float
    """Expected service time, seconds."""


@attrs.define(kw_only=True)
class PriorityQueue(Generic[T]):
    """A queue per priority with stride scheduling: the smallest pass is served next.

    Passes advance by slot time, since the service times of requests differ widely.
    """

    _queues: dict[int, collections.deque[Waiting[T]]] = attrs.Factory(dict)
    _passes: dict[int, int] = attrs.Factory(dict)
    _queued_s: dict[int, float] = attrs.Factory(dict)
    """Slot time of the queued items, by priority, seconds."""
    _count: int = 0

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[T]:
        for priority in sorted(self._queues):
            for waiting in self._queues[priority]:
                yield waiting.item

    @property
    def service_time_s(self) -> float:
        """Slot time of all queued items, seconds."""
        return sum(self._queued_s.values())

    def push(self, priority: int, item: T, service_time_s: float = 1.0) -> None:
        """Append an item to the queue of its priority."""
        queue = self._queues.setdefault(priority, collections.deque())
        if not queue:
            # An idle priority gets no credit for the time in which it was empty.
            passes = [self._passes[p] for p, items in self._queues.items() if items]
            lowest = min(passes, default=0)
            self._passes[priority] = max(self._passes.get(priority, 0), lowest)
        queue.append(Waiting(item=item, service_time_s=service_time_s))
        self._add(priority, service_time_s, 1)

    def pop(self) -> T:
        """Remove and return the next item; raise `IndexError` if the queue is empty."""
        waiting = [priority for priority, queue in self._queues.items() if queue]
        if not waiting:
            raise IndexError("pop from an empty queue")
        priority = min(waiting, key=lambda p: (self._passes[p], p))
        first = self._queues[priority].popleft()
        units = round(first.service_time_s * PASS_UNITS_PER_S)
        exponent = min(priority, MAX_WEIGHTED_PRIORITY)
        self._passes[priority] += units * PRIORITY_FACTOR**exponent
        self._add(priority, -first.service_time_s, -1)
        return first.item

    def remove(self, priority: int, item: T) -> bool:
        """Remove an item; return whether it was queued."""
        queue = self._queues.get(priority, ())
        found = next((waiting for waiting in queue if waiting.item is item), None)
        if found is None:
            return False
        queue.remove(found)
        self._add(priority, -found.service_time_s, -1)
        return True

    def last(self) -> T:
        """Return the newest item of the lowest queued priority."""
        lowest = max(priority for priority, queue in self._queues.items() if queue)
        return self._queues[lowest][-1].item

    def ahead_s(self, priority: int, service_time_s: float) -> float:
        """Return the slot time that would be served before a new item, seconds."""
        own_s = self._queued_s.get(priority, 0.0)
        ahead_s = own_s
        for other, queued_s in self._queued_s.items():
            if other != priority:
                steps = max(-MAX_RATIO_STEPS, min(MAX_RATIO_STEPS, priority - other))
                ratio = float(PRIORITY_FACTOR) ** steps
                ahead_s += min(queued_s, (own_s + service_time_s) * ratio)
        return ahead_s

    def clear(self) -> list[T]:
        """Remove and return all items."""
        items = list(self)
        self._queues.clear()
        self._queued_s.clear()
        self._count = 0
        return items

    def _add(self, priority: int, service_time_s: float, count: int) -> None:
        queued_s = self._queued_s.get(priority, 0.0) + service_time_s
        self._queued_s[priority] = queued_s if self._queues[priority] else 0.0
        self._count += count
