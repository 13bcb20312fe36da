"""Long request bodies, and the memory that they may take in one process.

A long body is held once: it is read into a private memory mapping, which is passed on
by reference and read in parts. Its memory is counted from before the first byte is read
until the last reference to the body is gone.
"""

from __future__ import annotations

import mmap

import attrs

MAX_SHORT_BODY_BYTES = 64 * 1024
"""Longest body that is passed on as `bytes` in one message."""
MAX_BODY_BYTES = 1024 * 1024 * 1024
"""Longest body that is accepted from another daemon, whatever its policy."""
PART_BYTES = 64 * 1024
"""Length of the parts in which a long body is sent; the last may be shorter."""
CALLER_LIMIT_BYTES = 96 * 1024 * 1024
"""Memory for long bodies of this box's callers: a third of the RAM of a small box."""
LINK_LIMIT_BYTES = 72 * 1024 * 1024
"""Memory for long bodies from other daemons. It is separate, since two daemons that
fill a common one with bodies for each other would wait for each other."""


@attrs.define(kw_only=True, eq=False)
class BodyMemory:
    """The memory for long bodies from one kind of sender."""

    limit_bytes: int
    held_bytes: int = 0
    freed: bool = False
    """Whether memory was freed since the owner has looked for bodies that wait."""

    def reserve(self, size: int) -> LongBody | None:
        """Return an empty body of at most `size` bytes, or `None` if it must wait.

        A body that exceeds the limit has the memory to itself.
        """
        if self.held_bytes and self.held_bytes + size > self.limit_bytes:
            return None
        self.held_bytes += size
        return LongBody(memory=self, capacity=size)

    def release(self, size: int) -> None:
        """Count memory as free again."""
        self.held_bytes -= size
        self.freed = True


class LongBody:
    """A body in a private memory mapping; pages take memory once they are written."""

    __slots__ = ("_counted", "_length", "_map", "_memory")

    def __init__(self, *, memory: BodyMemory, capacity: int) -> None:
        self._memory = memory
        self._counted = capacity
        self._length = 0
        flags = mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS
        self._map = mmap.mmap(-1, capacity, flags=flags)

    def __len__(self) -> int:
        """Return the number of bytes that were appended."""
        return self._length

    def __del__(self) -> None:
        """Count the memory as free."""
        self._memory.release(self._counted)

    @property
    def free_bytes(self) -> int:
        """Number of bytes that may still be appended."""
        return len(self._map) - self._length

    def append(self, data: bytes) -> None:
        """Append bytes; raises `ValueError` beyond the capacity."""
        if len(data) > self.free_bytes:
            raise ValueError("the body is longer than its memory")
        self._map[self._length : self._length + len(data)] = data
        self._length += len(data)

    def complete(self) -> None:
        """Count only the bytes that were appended, as no more will follow."""
        self._memory.release(self._counted - self._length)
        self._counted = self._length

    def part(self, start: int) -> bytes:
        """Return the part of at most `PART_BYTES` that begins at `start`."""
        return self._map[start : min(start + PART_BYTES, self._length)]

    def view(self) -> memoryview:
        """Return a view of the whole body, which keeps its memory in use."""
        return memoryview(self._map)[: self._length]


Body = bytes | LongBody
"""The body of a request."""
