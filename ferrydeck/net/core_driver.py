"""What the drivers of both programs share: one core on the circuits loop.

Owns the events that wait for the core and the signals of the process. Relies on a core
with `start`, `handle` and `next_wake`, whose effects a subclass carries out.
"""

from __future__ import annotations

import collections
from typing import Any

import circuits

from ferrydeck import clock
from ferrydeck.net import gc_tuning


class CoreDriver(circuits.BaseComponent):
    """Feeds events to a core, one after the other, and carries out its effects."""

    gc_freeze_delay_s = 0.0
    """When the garbage collector is settled after the start, seconds."""

    def __init__(self, *, core: Any) -> None:
        super().__init__()
        self.core = core
        self.exit_at: float | None = None
        """When the process ends, `None` until that is known; time of `clock.now`."""
        self._pending: collections.deque[Any] = collections.deque()
        self._feeding = False
        self._gc_freeze_at = clock.now() + self.gc_freeze_delay_s

    def execute(self, effect: Any) -> None:
        """Do what the core asks for."""
        raise NotImplementedError

    def stop_signalled(self, signo: int) -> None:
        """Act on a signal to end the process."""
        raise NotImplementedError

    def exception_raised(self, name: str, value: object, trace: str) -> None:
        """Act on an exception of a handler, which does not end the loop."""
        raise NotImplementedError

    def start_core(self) -> None:
        """Start the core, once everything else is there."""
        for effect in self.core.start(clock.now()):
            self.execute(effect)

    def feed(self, event: Any) -> None:
        """Give the core an event, after those that wait already."""
        self._pending.append(event)
        if self._feeding:
            return
        self._feeding = True
        try:
            while self._pending:
                event = self._pending.popleft()
                for effect in self.core.handle(clock.now(), event):
                    self.execute(effect)
        finally:
            self._feeding = False

    def freeze_startup_objects(self, now: float) -> None:
        """Settle the garbage collector once, some time after the start."""
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
