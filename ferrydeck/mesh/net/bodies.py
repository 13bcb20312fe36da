"""Incremental reader of HTTP message bodies, shared by server and client."""

from __future__ import annotations

import enum

import attrs

from ferrydeck.net import http

MAX_CHUNK_LINE_BYTES = 1024
"""Longest chunk-size or trailer line, bytes."""
MAX_TRAILER_BYTES = 16 * 1024
"""Longest trailer, bytes."""


class BadBody(ValueError):
    """Invalid chunked encoding."""


class _State(enum.Enum):
    SIZE = enum.auto()
    DATA = enum.auto()
    DATA_END = enum.auto()
    TRAILER = enum.auto()


@attrs.define(kw_only=True)
class BodyReader:
    """Reads one body from a buffer: by length, chunked, or until the end."""

    length: int
    """Length in bytes, `http.CHUNKED` or `http.UNTIL_CLOSE`."""
    done: bool = False
    _left: int = 0
    _trailer_bytes: int = 0
    _state: _State = _State.SIZE

    def __attrs_post_init__(self) -> None:
        if self.length >= 0:
            self._left = self.length
            self.done = self.length == 0

    def read(self, buffer: bytearray) -> bytes:
        """Remove bytes of the body from the buffer and return them, decoded.

        Raises `BadBody` for invalid chunks.
        """
        if self.done:
            return b""
        if self.length == http.UNTIL_CLOSE:
            data = bytes(buffer)
            buffer.clear()
            return data
        if self.length >= 0:
            return self._read_data(buffer)
        return self._read_chunks(buffer)

    def connection_closed(self) -> bool:
        """Handle the end of the connection; return whether the body is complete."""
        if self.length == http.UNTIL_CLOSE:
            self.done = True
        return self.done

    def _read_data(self, buffer: bytearray) -> bytes:
        data = bytes(buffer[: self._left])
        del buffer[: self._left]
        self._left -= len(data)
        if self.length >= 0 and not self._left:
            self.done = True
        return data

    def _read_chunks(self, buffer: bytearray) -> bytes:
        out = bytearray()
        while not self.done:
            match self._state:
                case _State.DATA:
                    data = self._read_data(buffer)
                    out += data
                    if self._left:
                        break
                    self._state = _State.DATA_END
                case _:
                    line = self._next_line(buffer)
                    if line is None:
                        break
                    self._process_line(line)
        return bytes(out)

    def _process_line(self, line: bytes) -> None:
        match self._state:
            case _State.SIZE:
                self._left = self._parse_size(line)
                self._state = _State.DATA if self._left else _State.TRAILER
            case _State.DATA_END:
                if line:
                    raise BadBody("a chunk is longer than it says")
                self._state = _State.SIZE
            case _State.TRAILER:
                self._trailer_bytes += len(line)
                if self._trailer_bytes > MAX_TRAILER_BYTES:
                    raise BadBody("trailer too long")
                self.done = not line

    def _parse_size(self, line: bytes) -> int:
        text = line.partition(b";")[0].strip()
        if not text or len(text) > 15 or text.strip(b"0123456789abcdefABCDEF"):
            raise BadBody("a chunk without a size")
        return int(text, 16)

    def _next_line(self, buffer: bytearray) -> bytes | None:
        end = buffer.find(b"\r\n")
        if end < 0:
            if len(buffer) > MAX_CHUNK_LINE_BYTES:
                raise BadBody("a line that does not end")
            return None
        line = bytes(buffer[:end])
        del buffer[: end + 2]
        return line
