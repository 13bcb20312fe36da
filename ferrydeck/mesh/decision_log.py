"""The log of decisions: one JSON line each, bounded, never blocking.

Owns the lines that wait for the reader of standard output and the number of those that
were left out; relies on the driver to call `flush`.
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
"""Outcomes of requests that went as planned: few lines are enough."""
MAX_UNWRITTEN_BYTES = 256 * 1024
"""Bytes that wait for a reader of the log; further lines are left out."""
RATE_WINDOW_S = 1.0
"""The time to which the limits of lines apply, seconds."""


class NonBlockingHandler(logbook.Handler):
    """Writes lines to a descriptor as far as it takes them; the rest waits."""

    def __init__(self, *, descriptor: int, write: Callable[[int, bytes], int]) -> None:
        super().__init__(level=logbook.INFO)
        self.descriptor = descriptor
        self.write = write
        self.unwritten = bytearray()
        self.left_out = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a line, or leave it out where too much waits already."""
        if len(self.unwritten) > MAX_UNWRITTEN_BYTES:
            self.left_out += 1
            return
        line = {
            "time": record.time.isoformat(timespec="milliseconds"),
            "level": record.level_name.lower(),
            **record.extra.get("line", {"kind": "note", "text": record.message}),
        }
        self.unwritten += msgspec.json.encode(line) + b"\n"
        self.flush()

    def flush(self) -> None:
        """Write what waits."""
        if not self.unwritten:
            return
        try:
            written = self.write(self.descriptor, bytes(self.unwritten))
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone, and with it the place for a line: they are counted.
            self.left_out += self.unwritten.count(b"\n")
            written = len(self.unwritten)
        del self.unwritten[:written]


def standard_output() -> NonBlockingHandler:
    """Return a handler for standard output."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    return NonBlockingHandler(descriptor=descriptor, write=os.write)


class DecisionLog:
    """Writes decisions up to a number of lines a second for each kind and outcome."""

    def __init__(
        self, *, box: str, incarnation: int, failed_per_s: int, served_per_s: int
    ) -> None:
        self.box = box
        self.incarnation = incarnation
        self.failed_per_s = failed_per_s
        self.served_per_s = served_per_s
        self.left_out = 0
        self._written: collections.Counter[tuple[str, str]] = collections.Counter()
        self._unreported = 0
        self._window_end = 0.0

    def write(self, now: float, decision: effects.Decision) -> None:
        """Write a decision, or count it as left out."""
        if now >= self._window_end:
            self._new_window(now)
        kind = (decision.kind, decision.outcome)
        plain = decision.outcome in SUCCESS_OUTCOMES
        most = self.served_per_s if plain else self.failed_per_s
        if self._written[kind] >= most:
            self.left_out += 1
            self._unreported += 1
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
        if self._unreported:
            self._emit({"kind": "lines-left-out", "count": self._unreported})
            self._unreported = 0

    def _emit(self, line: dict[str, object]) -> None:
        given = {name: value for name, value in line.items() if value != ""}
        given["box"] = self.box
        given["incarnation"] = self.incarnation
        log.info("", extra={"line": given})
