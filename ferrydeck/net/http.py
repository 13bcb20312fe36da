"""The heads of HTTP/1.1 messages: parsing and writing them, for both programs.

Relies on the regular expressions of `circuits.web` for the grammar and is stricter than
it where hops could read a message differently. Owns no state and no socket.
"""

from __future__ import annotations

import dataclasses
import http
import re

from circuits.web.parsers import http as parsers

Fields = list[tuple[str, str]]
"""Header fields, names in lower case, in the order in which they stand."""

END_OF_HEAD = b"\r\n\r\n"
MAX_HEAD_BYTES = 32 * 1024
"""The longest head that is read, bytes."""
MAX_BODY_BYTES = 16 * 1024 * 1024
"""The longest request body that is read, bytes."""
VERSIONS = ("HTTP/1.0", "HTTP/1.1")
FRAMING = ("content-length", "transfer-encoding", "host")
"""Fields that must not come twice: hops would read the message differently."""
NO_BODY_STATUSES = frozenset({204, 304})
UNCLEAR_LINES = re.compile(rb"(?<!\r)\n|\r(?!\n)|\r\n[ \t]")
"""Line ends that hops read differently: a bare one, or a line that is folded."""
PHRASES = {one.value: one.phrase for one in http.HTTPStatus}
CHUNKED = -1
"""The length of a body in chunks."""
UNTIL_CLOSE = -2
"""The length of a body that ends with its connection."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestHead:
    """The head of a request; `length` is `CHUNKED` for a body in chunks."""

    method: str
    path: str
    fields: Fields
    length: int
    keep_alive: bool
    expects_continue: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class ResponseHead:
    """The head of a response; `length` may be `CHUNKED` or `UNTIL_CLOSE`."""

    status: int
    fields: Fields
    length: int
    keep_alive: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Malformed:
    """Bytes that are no HTTP that is served here, and the status to answer."""

    status: int
    detail: str


class BadHead(ValueError):
    """A head that can't be read."""


def read_request(
    head: bytes, *, allow_chunked: bool = False, max_body_bytes: int = MAX_BODY_BYTES
) -> RequestHead | Malformed:
    """Read the head of a request, its end included.

    `chunks` takes bodies in chunks, `most` is the longest body taken, bytes.
    """
    try:
        line, fields = split_head(head)
        method, path, version = request_line(line)
        named = single_fields(fields)
    except BadHead as exc:
        return Malformed(status=400, detail=str(exc))
    coding = named.get("transfer-encoding")
    if coding is not None and not allow_chunked:
        return Malformed(status=411, detail="a body needs a length")
    length = length_of(named.get("content-length"))
    if length is None:
        return Malformed(status=400, detail="bad content-length")
    if coding is not None:
        if coding.lower() != "chunked" or "content-length" in named:
            return Malformed(status=400, detail="a body of unclear length")
        length = CHUNKED
    if length > max_body_bytes:
        return Malformed(status=413, detail="body too large")
    if not path.startswith("/") or path.startswith("//"):
        return Malformed(status=400, detail="the target of a request is a path")
    return RequestHead(
        method=method,
        path=path,
        fields=fields,
        length=length,
        keep_alive=keeps_alive(named, version),
        expects_continue=named.get("expect", "").lower() == "100-continue",
    )


def read_response(
    head: bytes, *, until_close: bool = False
) -> ResponseHead | Malformed:
    """Read the head of a response, its end included.

    `until_close` takes a body without a length, which ends with its connection.
    """
    try:
        line, fields = split_head(head)
        status, version = status_line(line)
        named = single_fields(fields)
    except BadHead as exc:
        return Malformed(status=502, detail=str(exc))
    coding = named.get("transfer-encoding")
    stated = named.get("content-length")
    length = 0 if status in NO_BODY_STATUSES else length_of(stated)
    if coding is not None:
        if coding.lower() != "chunked" or stated is not None:
            return Malformed(status=502, detail="bad transfer-encoding")
        length = CHUNKED
    unstated = stated is coding is None and status not in NO_BODY_STATUSES
    if unstated and until_close:
        length = UNTIL_CLOSE
    elif length is None or unstated:
        return Malformed(status=502, detail="an answer needs its length")
    return ResponseHead(
        status=status,
        fields=fields,
        length=length,
        keep_alive=keeps_alive(named, version),
    )


def split_head(head: bytes) -> tuple[str, Fields]:
    """Return the first line of a head and its fields, names in lower case.

    Raises `BadHead`. The grammar is that of circuits.web's parser; its own
    reading of a head takes four times as long and reads escapes in it.
    """
    if UNCLEAR_LINES.search(head):
        raise BadHead("a bare line end or a folded line")
    if b"\0" in head:
        raise BadHead("a zero byte in the head")
    lines = head[: -len(END_OF_HEAD)].decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if not colon or not name or parsers.HEADER_RE.search(name):
            raise BadHead(f"invalid header line {line[:40]!r}")
        fields.append((name.lower(), value.strip(" \t")))
    return lines[0], fields


def request_line(line: str) -> tuple[str, str, str]:
    """Return the method, the path and the version; raises `BadHead`."""
    parts = line.split(" ")
    if len(parts) != 3 or not parts[1]:
        raise BadHead("invalid request line")
    method, path, version = parts
    if version not in VERSIONS or not parsers.METHOD_RE.match(method):
        raise BadHead("invalid method or version")
    if "#" in path:
        raise BadHead("a fragment in the path")
    return method, path, version


def status_line(line: str) -> tuple[int, str]:
    """Return the status and the version; raises `BadHead`."""
    version, _, rest = line.partition(" ")
    code = rest[:3]
    if version not in VERSIONS or not (code.isascii() and code.isdigit()):
        raise BadHead("invalid status line")
    if len(code) != 3 or rest[3:4] not in ("", " "):
        raise BadHead("invalid status line")
    return int(code), version


def single_fields(fields: Fields) -> dict[str, str]:
    """Return the fields by name; raises `BadHead` for two that frame a body."""
    named = dict(fields)
    if len(named) != len(fields):
        for name in FRAMING:
            if sum(one == name for one, _ in fields) > 1:
                raise BadHead(f"two fields {name}")
    return named


def keeps_alive(named: dict[str, str], version: str) -> bool:
    """Return whether a connection may serve a further request."""
    listed = named.get("connection", "").lower()
    if "close" in listed:
        return False
    return version == VERSIONS[1] or "keep-alive" in listed


def read_chunked(data: bytes) -> bytes | None:
    """Return the body of a chunked message that is whole, else `None`."""
    body = bytearray()
    position = 0
    while True:
        end = data.find(b"\r\n", position)
        if end < 0:
            return None
        size = int(data[position:end].split(b";")[0], 16)
        start = end + 2
        if size == 0:
            return bytes(body) if data.endswith(b"\r\n\r\n") else None
        if len(data) < start + size + 2:
            return None
        body += data[start : start + size]
        position = start + size + 2


def length_of(stated: str | None) -> int | None:
    """Return the stated length, 0 for none, `None` for one that is no number."""
    if stated is None:
        return 0
    if not (stated.isascii() and stated.isdigit() and len(stated) < 16):
        return None
    return int(stated)


def response_head(status: int, fields: Fields, length: int, *, close: bool) -> bytes:
    """Return the bytes of a response head; no length is stated below 0."""
    lines = [f"HTTP/1.1 {status} {PHRASES.get(status, 'Status')}"]
    lines += [f"{name}: {clean(value)}" for name, value in fields]
    if status not in NO_BODY_STATUSES and length >= 0:
        lines.append(f"content-length: {length}")
    lines.append("connection: close\r\n\r\n" if close else "\r\n")
    return "\r\n".join(lines).encode("latin-1", "replace")


def request_head(
    method: str, path: str, host: str, fields: Fields, length: int
) -> bytes:
    """Return the bytes of a request head."""
    lines = [f"{method} {path} HTTP/1.1", f"host: {host}"]
    lines += [f"{name}: {clean(value)}" for name, value in fields]
    lines.append(f"content-length: {length}\r\n\r\n")
    return "\r\n".join(lines).encode("latin-1", "replace")


def clean(value: str) -> str:
    """Return a field value without line ends."""
    if "\r" in value or "\n" in value:
        return value.replace("\r", " ").replace("\n", " ")
    return value
