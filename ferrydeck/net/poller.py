"""The poller of a daemon: that of circuits, with a direct path for sockets of requests.

circuits turns each ready socket into an event that goes through its queue and its
dispatcher, in a further round of the loop. A source that is registered here with a
callable is served in the round that found it ready; all others (the admin endpoint,
timers, signals) go the usual way. Owns which sources are served directly, and for what;
relies on whoever closes a source to call `leave` first.
"""

from __future__ import annotations

import select
from collections.abc import Callable
from typing import Any

from circuits.core import pollers

ReadyCallback = Callable[[Any], None]
MAX_POLLS_PER_TICK = 64
"""Rounds of the poller in one of circuits' own, so that its tasks get their turn."""


class Poller(pollers.EPoll):
    """An `EPoll` that serves some sources directly."""

    channel = "epoll"

    def __init__(self) -> None:
        super().__init__()
        self.run_due: Callable[[], float] | None = None
        """Does what is due and returns the time until more is, seconds. With it the
        poller polls on by itself while circuits has no events: a round of circuits'
        dispatcher costs about as much as a decision."""
        self._watched: dict[int, tuple[Any, ReadyCallback, ReadyCallback]] = {}
        self._masks: dict[int, int] = {}

    def watch(
        self, source: Any, on_read: ReadyCallback, on_write: ReadyCallback
    ) -> None:
        """Serve a source directly from now on; it is read at once."""
        fileno = fileno_of(source)
        self._watched[fileno] = (source, on_read, on_write)
        self._masks[fileno] = select.EPOLLIN
        self._poller.register(fileno, select.EPOLLIN)

    def set_interest(self, source: Any, *, read: bool, write: bool) -> None:
        """Set whether a source is served for reading and for writing."""
        fileno = fileno_of(source)
        mask = (select.EPOLLIN if read else 0) | (select.EPOLLOUT if write else 0)
        if self._masks.get(fileno) not in (None, mask):
            self._masks[fileno] = mask
            self._poller.modify(fileno, mask)

    def unwatch(self, source: Any) -> None:
        """Serve a source no more; to be called before it is closed."""
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
            # Ends and errors show as readable too: the read finds out which it is.
            on_read(source)
        if event & select.EPOLLOUT and self._watched.get(fileno) is watched:
            on_write(source)


def fileno_of(source: Any) -> int:
    """Return the number of a socket or of a bare descriptor."""
    return source if isinstance(source, int) else source.fileno()
