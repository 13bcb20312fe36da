"""The requests that wait at a gate: weighted by rank, so that none is starved."""

from __future__ import annotations

import collections
from collections.abc import Iterator
from typing import Generic, TypeVar

import attrs

T = TypeVar("T")

RANK_FACTOR = 4.0
"""How many times more of the slots a rank gets than the one below it. Strict order
would let a flood of calls starve the few requests of the rank below; at four, a rank
that asks for less than a fifth is served whole."""


@attrs.define(kw_only=True)
class RankQueue(Generic[T]):
    """A queue a rank, served in turns by stride: the smallest pass goes next."""

    _queues: dict[int, collections.deque[T]] = attrs.Factory(dict)
    _passes: dict[int, float] = attrs.Factory(dict)
    _count: int = 0

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[T]:
        for rank in sorted(self._queues):
            yield from self._queues[rank]

    def push(self, rank: int, item: T) -> None:
        """Put an item at the end of its rank."""
        queue = self._queues.setdefault(rank, collections.deque())
        if not queue:
            # A rank that comes back does not catch up on what it did not ask for.
            others = [self._passes[one] for one, held in self._queues.items() if held]
            least = min(others, default=0.0)
            self._passes[rank] = max(self._passes.get(rank, 0.0), least)
        queue.append(item)
        self._count += 1

    def pop(self) -> T:
        """Take the item whose turn it is; raises `IndexError` where there is none."""
        waiting = [rank for rank, queue in self._queues.items() if queue]
        if not waiting:
            raise IndexError("nothing waits")
        rank = min(waiting, key=lambda one: (self._passes[one], one))
        self._passes[rank] += RANK_FACTOR**rank
        self._count -= 1
        return self._queues[rank].popleft()

    def remove(self, rank: int, item: T) -> bool:
        """Take an item out; tell whether it was there."""
        queue = self._queues.get(rank)
        if queue is None or item not in queue:
            return False
        queue.remove(item)
        self._count -= 1
        return True

    def last(self) -> T:
        """Return the item that came last of the lowest rank that waits."""
        lowest = max(rank for rank, queue in self._queues.items() if queue)
        return self._queues[lowest][-1]

    def ahead(self, rank: int) -> int:
        """Return how many items go before a new one of a rank, about."""
        before = 0.0
        own = len(self._queues.get(rank, ()))
        for other, queue in self._queues.items():
            share = RANK_FACTOR ** (rank - other)
            before += min(len(queue), (own + 1) * share) if other != rank else own
        return int(before)

    def clear(self) -> list[T]:
        """Take all items out."""
        items = list(self)
        self._queues.clear()
        self._count = 0
        return items
