"""Base class of the daemons' drivers: runs a core on the circuits loop.

Owns the queue of events and the signal handlers. The core provides `start`, `handle`
and `next_wake`; subclasses execute its effects.
"""

from __future__ import annotations

import collections
from typing import Any

import circuits

from ferrydeck import clock
from ferrydeck.net import gc_tuning


class CoreDriver(circuits.BaseComponent):
    """Feeds events to a core sequentially and executes its effects."""

    gc_freeze_delay_s = 0.0
    """Delay after startup until the garbage collector is tuned, seconds."""

    def __init__(self, *, core: Any) -> None:
        super().__init__()
        self.core = core
        self.exit_at: float | None = None
        """When the process exits, `None` until that is known; time of `clock.now`."""
        self._event_queue: collections.deque[Any] = collections.deque()
        self._dispatching = False
        self._gc_freeze_at = clock.now() + self.gc_freeze_delay_s

    def execute(self, effect: Any) -> None:
        """Execute an effect that the core requested."""
        raise NotImplementedError

    def stop_signalled(self, signo: int) -> None:
        """Handle a termination signal."""
        raise NotImplementedError

    def exception_raised(self, name: str, value: object, trace: str) -> None:
        """Handle an exception raised by an event handler; the loop continues."""
        raise NotImplementedError

    def start_core(self) -> None:
        """Start the core and execute its first effects."""
        for effect in self.core.start(clock.now()):
            self.execute(effect)

    def feed(self, event: Any) -> None:
        """Feed an event to the core, after those already queued."""
        self._event_queue.append(event)
        if self._dispatching:
            return
        self._dispatching = True
        try:
            while self._event_queue:
                event = self._event_queue.popleft()
                for effect in self.core.handle(clock.now(), event):
                    self.execute(effect)
        finally:
            self._dispatching = False

    def freeze_startup_objects(self, now: float) -> None:
        """Tune the garbage collector once, some time after startup."""
        if self._gc_freeze_at and now >= self._gc_freeze_at:
            self._gc_freeze_at = 0.0
            gc_tuning.freeze_startup_objects()

    @circuits.handler("signal", channel="*")
    def _on_signal(self, signo: int, stack: object) -> None:
        self.stop_signalled(int(signo))

    @circuits.handler("exception", channel="*", priority=1)
    def _on_exception(
        self, kind: type, value: object, trace: object, **_: object
    ) -> None:
        name = getattr(kind, "__name__", str(kind))
        self.exception_raised(name, value, "".join(map(str, trace)))
