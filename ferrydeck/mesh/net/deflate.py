"""Compression of the frames of a link with a shared deflate window.

Consecutive small requests repeat header names, hosts, routes and services. Each
direction of a link has its own window, kept in sync because frames arrive in order.
"""

from __future__ import annotations

import zlib

WINDOW_BITS = 12
"""Base-2 logarithm of the window size: 4 KB, about ten small requests."""
MEMORY_LEVEL = 5
"""zlib memory level; with the window, 32 KB per sender and 4 KB per receiver."""
COMPRESSION_LEVEL = 1
"""zlib compression level: the fastest. Higher ones save 2 in 100 of the bytes more."""
MAX_FRAME_BYTES = 64 * 1024
"""Longer frames are sent uncompressed, as long bodies would displace the window."""
SYNC_FLUSH_TAIL = b"\x00\x00\xff\xff"
"""Trailing bytes of each sync flush, omitted on the wire."""


class Deflater:
    """Compresses the frames of one direction."""

    def __init__(self) -> None:
        self._state = zlib.compressobj(
            COMPRESSION_LEVEL, zlib.DEFLATED, -WINDOW_BITS, MEMORY_LEVEL
        )

    def pack(self, frame: bytes) -> bytes:
        """Return the compressed frame."""
        packed = self._state.compress(frame) + self._state.flush(zlib.Z_SYNC_FLUSH)
        return packed.removesuffix(SYNC_FLUSH_TAIL)


class Inflater:
    """Decompresses the frames of one direction."""

    def __init__(self) -> None:
        self._state = zlib.decompressobj(-WINDOW_BITS)

    def unpack(self, packed: bytes) -> bytes:
        """Return the decompressed frame; raises `ValueError` if it is invalid."""
        try:
            frame = self._state.decompress(
                packed + SYNC_FLUSH_TAIL, MAX_FRAME_BYTES + 1
            )
        except zlib.error as exc:
            raise ValueError(str(exc)) from exc
        if len(frame) > MAX_FRAME_BYTES or self._state.unconsumed_tail:
            raise ValueError("decompressed frame exceeds the maximum size")
        return frame
