"""Rate-limited, non-blocking log of decisions, one JSON line each.

Owns the unwritten lines and the count of dropped ones; the driver calls `flush`.
"""

from __future__ import annotations

import collections
import os
import sys
from collections.abc import Callable

import logbook
import msgspec

from ferrydeck.mesh import effects

log = logbook.Logger(__name__)

SUCCESS_OUTCOMES = frozenset({"answered"})
"""Outcomes of successful requests, which have a lower rate limit."""
MAX_UNWRITTEN_BYTES = 256 * 1024
"""Size of the write buffer; further lines are dropped."""
RATE_WINDOW_S = 1.0
"""Length of the window for the rate limits, seconds."""


class NonBlockingHandler(logbook.Handler):
    """Log handler that buffers what its descriptor doesn't accept without blocking."""

    def __init__(self, *, descriptor: int, write: Callable[[int, bytes], int]) -> None:
        super().__init__(level=logbook.INFO)
        self.descriptor = descriptor
        self.write = write
        self.unwritten = bytearray()
        self.dropped_lines = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a record, or drop it if the buffer is full."""
        if len(self.unwritten) > MAX_UNWRITTEN_BYTES:
            self.dropped_lines += 1
            return
        line = {
            "time": record.time.isoformat(timespec="milliseconds"),
            "level": record.level_name.lower(),
            **record.extra.get("line", {"kind": "note", "text": record.message}),
        }
        self.unwritten += msgspec.json.encode(line) + b"\n"
        self.flush()

    def flush(self) -> None:
        """Write buffered lines as far as the descriptor accepts them."""
        if not self.unwritten:
            return
        try:
            written = self.write(self.descriptor, bytes(self.unwritten))
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed the pipe: drop the buffered lines.
            self.dropped_lines += self.unwritten.count(b"\n")
            written = len(self.unwritten)
        del self.unwritten[:written]


def standard_output() -> NonBlockingHandler:
    """Return a non-blocking handler for standard output."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    return NonBlockingHandler(descriptor=descriptor, write=os.write)


class DecisionLog:
    """Logs decisions with a rate limit per kind and outcome."""

    def __init__(
        self, *, box: str, incarnation: int, failed_per_s: int, served_per_s: int
    ) -> None:
        self.box = box
        self.incarnation = incarnation
        self.failed_per_s = failed_per_s
        self.served_per_s = served_per_s
        self.dropped_lines = 0
        self._written: collections.Counter[tuple[str, str]] = collections.Counter()
        self._unreported_drops = 0
        self._window_end = 0.0

    def write(self, now: float, decision: effects.Decision) -> None:
        """Log a decision, or drop and count it above the rate limit."""
        if now >= self._window_end:
            self._new_window(now)
        kind = (decision.kind, decision.outcome)
        success = decision.outcome in SUCCESS_OUTCOMES
        limit = self.served_per_s if success else self.failed_per_s
        if self._written[kind] >= limit:
            self.dropped_lines += 1
            self._unreported_drops += 1
            return
        self._written[kind] += 1
        self._emit(
            {
                "kind": decision.kind,
                "id": decision.request_id,
                "outcome": decision.outcome,
                "reason": str(decision.reason),
                **decision.inputs,
            }
        )

    def _new_window(self, now: float) -> None:
        self._window_end = now + RATE_WINDOW_S
        self._written.clear()
        if self._unreported_drops:
            self._emit({"kind": "lines-left-out", "count": self._unreported_drops})
            self._unreported_drops = 0

    def _emit(self, line: dict[str, object]) -> None:
        nonempty = {name: value for name, value in line.items() if value != ""}
        nonempty["box"] = self.box
        nonempty["incarnation"] = self.incarnation
        log.info("", extra={"line": nonempty})
