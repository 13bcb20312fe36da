"""An epoll poller for circuits that calls back directly for request sockets.

circuits queues and dispatches an event for each ready socket. Sources registered with
`watch` are instead handled by callbacks right after the poll; all others (the admin
endpoint, timers, signals) use circuits' events. Callers must call `unwatch` before they
close a source.
"""

from __future__ import annotations

import select
from collections.abc import Callable
from typing import Any

from circuits.core import pollers

ReadyCallback = Callable[[Any], None]
MAX_POLLS_PER_TICK = 64
"""Limit of polls per iteration of the circuits loop, so that its tasks also run."""


class Poller(pollers.EPoll):
    """An `EPoll` with direct callbacks for watched sources."""

    channel = "epoll"

    def __init__(self) -> None:
        super().__init__()
        self.run_due: Callable[[], float] | None = None
        """Runs due work and returns the time until the next work is due, seconds. If
        set, the poller polls repeatedly while circuits has no events."""
        self._watched: dict[int, tuple[Any, ReadyCallback, ReadyCallback]] = {}
        self._masks: dict[int, int] = {}

    def watch(
        self, source: Any, on_read: ReadyCallback, on_write: ReadyCallback
    ) -> None:
        """Register callbacks for a source, initially for reading."""
        fileno = fileno_of(source)
        self._watched[fileno] = (source, on_read, on_write)
        self._masks[fileno] = select.EPOLLIN
        self._poller.register(fileno, select.EPOLLIN)

    def set_interest(self, source: Any, *, read: bool, write: bool) -> None:
        """Set whether a source is polled for reading and for writing."""
        fileno = fileno_of(source)
        mask = (select.EPOLLIN if read else 0) | (select.EPOLLOUT if write else 0)
        if self._masks.get(fileno) not in (None, mask):
            self._masks[fileno] = mask
            self._poller.modify(fileno, mask)

    def unwatch(self, source: Any) -> None:
        """Unregister a source; must be called before it is closed."""
        fileno = fileno_of(source)
        if self._watched.pop(fileno, None) is not None:
            del self._masks[fileno]
            self._poller.unregister(fileno)

    def _generate_events(self, event: Any) -> None:
        super()._generate_events(event)
        if self.run_due is None:
            return
        for _ in range(MAX_POLLS_PER_TICK):
            timeout_s = self.run_due()
            if len(self.root):
                return
            for fileno, mask in self._poller.poll(timeout_s):
                self._process(fileno, mask)

    def _process(self, fileno: int, event: int) -> None:
        watched = self._watched.get(fileno)
        if watched is None:
            super()._process(fileno, event)
            return
        source, on_read, on_write = watched
        if event & ~select.EPOLLOUT:
            # EPOLLHUP and EPOLLERR are reported by the read.
            on_read(source)
        if event & select.EPOLLOUT and self._watched.get(fileno) is watched:
            on_write(source)


def fileno_of(source: Any) -> int:
    """Return the descriptor of a socket, or a descriptor as it is."""
    return source if isinstance(source, int) else source.fileno()
