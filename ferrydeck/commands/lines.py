"""Reads the decision logs of daemons."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from typing import Any

import attrs
import msgspec

from ferrydeck.commands import files


@attrs.define(kw_only=True)
class LogReader:
    """Parses log lines; skips other text and counts malformed lines."""

    unreadable: int = 0
    """Lines that contain a brace but aren't valid log lines."""

    def read(self, names: list[str]) -> Iterator[dict[str, Any]]:
        """Yield the log lines of files, or of standard input if none is given."""
        for name in names:
            yield from self.parse(files.read_bytes(name))
        if not names:
            yield from self.parse(sys.stdin.buffer.read())

    def parse(self, raw: bytes) -> Iterator[dict[str, Any]]:
        """Yield the lines of a log, ignoring text before the first brace of each."""
        for text_line in raw.splitlines():
            start = text_line.find(b"{")
            if start < 0:
                continue
            try:
                line = msgspec.json.decode(text_line[start:])
            except msgspec.DecodeError:
                self.unreadable += 1
                continue
            if not isinstance(line, dict) or "time" not in line or "kind" not in line:
                self.unreadable += 1
                continue
            yield line
