"""The lines of daemons' logs, as the commands read them."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from typing import Any

import attrs
import msgspec

from ferrydeck.commands import files


@attrs.define(kw_only=True)
class LogReader:
    """Reads lines of one or many logs; other text is counted or passed over."""

    unreadable: int = 0
    """Lines that look like ours and are not."""

    def read(self, names: list[str]) -> Iterator[dict[str, Any]]:
        """Return the lines of some files; of standard input where none is named."""
        for name in names:
            yield from self.parse(files.read_bytes(name))
        if not names:
            yield from self.parse(sys.stdin.buffer.read())

    def parse(self, raw: bytes) -> Iterator[dict[str, Any]]:
        """Return the lines of a log; what stands before a line's brace is left out."""
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
