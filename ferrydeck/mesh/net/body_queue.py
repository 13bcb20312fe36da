"""The request bodies of an endpoint's callers, and the memory that they take.

Long bodies are read once there is memory for them. Owns the memory and the order in
which connections wait for it; `ingress` stops reading those that wait, and rejects them
when their time is over.
"""

from __future__ import annotations

import collections
from collections.abc import Callable

import attrs

from ferrydeck.mesh import long_bodies
from ferrydeck.mesh.net import caller_conn
from ferrydeck.net import http

MAX_SHORT_BODIES_BYTES = 32 * 1024 * 1024
"""Total size of short bodies that are being read or in use."""
WAIT_MARGIN_S = 0.5
"""Time before a caller's deadline at which a long body no longer waits for memory,
seconds; it has to be read and sent on."""
DEFAULT_WAIT_S = 5.0
"""Longest wait for memory of a caller that states no deadline, seconds."""


@attrs.define(kw_only=True)
class BodyQueue:
    """Counts the bodies of connections, and orders those that wait for memory."""

    patience_s: Callable[[http.RequestHead], float | None]
    """Returns the time until the deadline that a caller states, seconds."""
    memory: long_bodies.BodyMemory = attrs.Factory(
        lambda: long_bodies.BodyMemory(limit_bytes=long_bodies.CALLER_LIMIT_BYTES)
    )
    waiting: collections.deque[caller_conn.CallerConn] = attrs.Factory(
        collections.deque
    )
    """Connections whose long body waits for memory, in order of arrival."""
    _short_bytes: int = 0
    """Total size of the short bodies."""

    @property
    def short_full(self) -> bool:
        """Whether the short bodies take more memory than they may."""
        return self._short_bytes > MAX_SHORT_BODIES_BYTES

    def add_short(self, conn: caller_conn.CallerConn, data: bytes) -> None:
        """Add to a body that is not known to be long."""
        conn.body += data
        self._short_bytes += len(data)

    def reserve(self, conn: caller_conn.CallerConn, max_bytes: int) -> bool:
        """Move a body into memory of its own; return whether there was enough.

        A chunked body may have up to `max_bytes`.
        """
        length = conn.head.length
        size = max_bytes if length == http.CHUNKED else length
        long_body = self.memory.reserve(max(size, len(conn.body)))
        if long_body is None:
            return False
        long_body.append(conn.body)
        self._drop_short(conn)
        conn.long_body = long_body
        return True

    def add(self, now: float, conn: caller_conn.CallerConn) -> None:
        """Have the body of a connection wait for memory."""
        patience_s = self.patience_s(conn.head)
        wait_s = DEFAULT_WAIT_S if patience_s is None else patience_s - WAIT_MARGIN_S
        conn.wait_until = now + max(0.0, wait_s)
        self.waiting.append(conn)

    def drop(self, conn: caller_conn.CallerConn) -> None:
        """Free the memory of a body, which may still wait for it."""
        self._drop_short(conn)
        conn.long_body = None
        if conn.wait_until:
            conn.wait_until = 0.0
            self.waiting.remove(conn)

    def pop_next(self, max_bytes: int) -> caller_conn.CallerConn | None:
        """Return the next connection whose body fits into memory, or `None`."""
        self.memory.freed = False
        if not self.waiting or not self.reserve(self.waiting[0], max_bytes):
            return None
        conn = self.waiting.popleft()
        conn.wait_until = 0.0
        return conn

    def _drop_short(self, conn: caller_conn.CallerConn) -> None:
        self._short_bytes -= len(conn.body)
        conn.body = bytearray()
