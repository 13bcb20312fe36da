"""Frames of one link, compressed against the frames before them.

Most of a small request is the same from one to the next: field names, the host, names
of routes and services, the start of an id. Each direction of a link owns its state,
which both ends share, since frames come whole and in order.
"""

from __future__ import annotations

import zlib

WINDOW_BITS = 12
"""Size of the state, as a power of two: 4 KB, some ten messages of small requests."""
MEMORY_LEVEL = 5
"""With the window this makes 32 KB for a sender and 4 KB for a receiver."""
COMPRESSION_LEVEL = 1
"""The quickest; higher ones save 2 in 100 of these frames' bytes more."""
MAX_FRAME_BYTES = 64 * 1024
"""Frames above this are sent as they are, bytes: long bodies share nothing with other
frames and would push them out of the state."""
SYNC_FLUSH_TAIL = b"\x00\x00\xff\xff"
"""What each flush ends with; it is left out on the wire."""


class Deflater:
    """The sender's side of one direction."""

    def __init__(self) -> None:
        self._state = zlib.compressobj(
            COMPRESSION_LEVEL, zlib.DEFLATED, -WINDOW_BITS, MEMORY_LEVEL
        )

    def pack(self, frame: bytes) -> bytes:
        """Return a frame compressed."""
        packed = self._state.compress(frame) + self._state.flush(zlib.Z_SYNC_FLUSH)
        return packed.removesuffix(SYNC_FLUSH_TAIL)


class Inflater:
    """The receiver's side of one direction."""

    def __init__(self) -> None:
        self._state = zlib.decompressobj(-WINDOW_BITS)

    def unpack(self, packed: bytes) -> bytes:
        """Return a frame as it was; raises `ValueError` for anything else."""
        try:
            frame = self._state.decompress(
                packed + SYNC_FLUSH_TAIL, MAX_FRAME_BYTES + 1
            )
        except zlib.error as exc:
            raise ValueError(str(exc)) from exc
        if len(frame) > MAX_FRAME_BYTES or self._state.unconsumed_tail:
            raise ValueError("a compressed frame is too long")
        return frame
