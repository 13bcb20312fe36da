"""The bodies of HTTP messages, taken out of a buffer piece by piece.

Owns how far one body was read; shared by the endpoints and the client of the target.
"""

from __future__ import annotations

import enum

import attrs

from ferrydeck.net import http

MAX_CHUNK_LINE_BYTES = 1024
"""The longest line that states the size of a chunk, bytes."""


class BadBody(ValueError):
    """Bytes that are no body in chunks."""


class _State(enum.Enum):
    SIZE = enum.auto()
    DATA = enum.auto()
    DATA_END = enum.auto()
    TRAILER = enum.auto()


@attrs.define(kw_only=True)
class BodyReader:
    """Takes one body out of a buffer: by length, by chunks, or until the end."""

    length: int
    """Length, bytes; or `http.CHUNKED` or `http.UNTIL_CLOSE`."""
    done: bool = False
    _left: int = 0
    _state: _State = _State.SIZE

    def __attrs_post_init__(self) -> None:
        if self.length >= 0:
            self._left = self.length
            self.done = self.length == 0

    def take(self, buffer: bytearray) -> bytes:
        """Remove what belongs to the body from the buffer; return its bytes.

        Raises `BadBody` for chunks that can't be read.
        """
        if self.done:
            return b""
        if self.length == http.UNTIL_CLOSE:
            data = bytes(buffer)
            buffer.clear()
            return data
        if self.length >= 0:
            return self._take_data(buffer)
        return self._take_chunks(buffer)

    def ended(self) -> bool:
        """Act on the end of the connection; return whether the body is whole."""
        if self.length == http.UNTIL_CLOSE:
            self.done = True
        return self.done

    def _take_data(self, buffer: bytearray) -> bytes:
        data = bytes(buffer[: self._left])
        del buffer[: self._left]
        self._left -= len(data)
        if self.length >= 0 and not self._left:
            self.done = True
        return data

    def _take_chunks(self, buffer: bytearray) -> bytes:
        out = bytearray()
        while not self.done:
            match self._state:
                case _State.DATA:
                    data = self._take_data(buffer)
                    out += data
                    if self._left:
                        break
                    self._state = _State.DATA_END
                case _:
                    line = self._line(buffer)
                    if line is None:
                        break
                    self._take_line(line)
        return bytes(out)

    def _take_line(self, line: bytes) -> None:
        match self._state:
            case _State.SIZE:
                self._left = self._size(line)
                self._state = _State.DATA if self._left else _State.TRAILER
            case _State.DATA_END:
                if line:
                    raise BadBody("a chunk is longer than it says")
                self._state = _State.SIZE
            case _State.TRAILER:
                self.done = not line

    def _size(self, line: bytes) -> int:
        text = line.partition(b";")[0].strip()
        if not text or len(text) > 15 or text.strip(b"0123456789abcdefABCDEF"):
            raise BadBody("a chunk without a size")
        return int(text, 16)

    def _line(self, buffer: bytearray) -> bytes | None:
        end = buffer.find(b"\r\n")
        if end < 0:
            if len(buffer) > MAX_CHUNK_LINE_BYTES:
                raise BadBody("a line that does not end")
            return None
        line = bytes(buffer[:end])
        del buffer[: end + 2]
        return line
