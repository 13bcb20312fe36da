"""Parsing and serialization of HTTP/1.1 message heads.

Uses the grammar of `circuits.web` and rejects ambiguous messages, which other hops
could parse differently (request smuggling). Stateless.
"""

from __future__ import annotations

import dataclasses
import http
import re

from circuits.web.parsers import http as parsers

Fields = list[tuple[str, str]]
"""Header fields in message order, with lower-case names."""

END_OF_HEAD = b"\r\n\r\n"
MAX_HEAD_BYTES = 32 * 1024
"""Maximum length of a head, bytes."""
MAX_BODY_BYTES = 16 * 1024 * 1024
"""Default maximum length of a request body, bytes."""
VERSIONS = ("HTTP/1.0", "HTTP/1.1")
UNIQUE_FIELDS = ("content-length", "transfer-encoding", "host")
"""Fields that must not be repeated, as duplicates make a message ambiguous."""
NO_BODY_STATUSES = frozenset({204, 304})
AMBIGUOUS_LINES = re.compile(rb"(?<!\r)\n|\r(?!\n)|\r\n[ \t]")
"""Bare CR or LF and folded lines, which hops may parse differently."""
REASON_PHRASES = {status.value: status.phrase for status in http.HTTPStatus}
CHUNKED = -1
"""Length value of a chunked body."""
UNTIL_CLOSE = -2
"""Length value of a body that is delimited by the end of the connection."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestHead:
    """The head of a request; `length` may be `CHUNKED`."""

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
    """An invalid or unsupported message, with the status to respond with."""

    status: int
    detail: str


class MalformedHead(ValueError):
    """The head is malformed."""


def read_request(
    head: bytes, *, chunked: bool = False, max_body: int = MAX_BODY_BYTES
) -> RequestHead | Malformed:
    """Parse the head of a request, including the final empty line.

    `chunked` accepts chunked bodies; `max_body` limits Content-Length, bytes.
    """
    try:
        line, fields = parse_head(head)
        method, path, version = parse_request_line(line)
        values = fields_by_name(fields)
    except MalformedHead as exc:
        return Malformed(status=400, detail=str(exc))
    encoding = values.get("transfer-encoding")
    if encoding is not None and not chunked:
        return Malformed(status=411, detail="a body needs a length")
    length = parse_length(values.get("content-length"))
    if length is None:
        return Malformed(status=400, detail="bad content-length")
    if encoding is not None:
        if encoding.lower() != "chunked" or "content-length" in values:
            return Malformed(status=400, detail="a body of unclear length")
        length = CHUNKED
    if length > max_body:
        return Malformed(status=413, detail="body too large")
    if not path.startswith("/") or path.startswith("//"):
        return Malformed(status=400, detail="the target of a request is a path")
    return RequestHead(
        method=method,
        path=path,
        fields=fields,
        length=length,
        keep_alive=is_keep_alive(values, version),
        expects_continue=values.get("expect", "").lower() == "100-continue",
    )


def read_response(
    head: bytes, *, until_close: bool = False
) -> ResponseHead | Malformed:
    """Parse the head of a response, including the final empty line.

    `until_close` accepts a body that is delimited by the end of the connection.
    """
    try:
        line, fields = parse_head(head)
        status, version = parse_status_line(line)
        values = fields_by_name(fields)
    except MalformedHead as exc:
        return Malformed(status=502, detail=str(exc))
    encoding = values.get("transfer-encoding")
    content_length = values.get("content-length")
    length = 0 if status in NO_BODY_STATUSES else parse_length(content_length)
    if encoding is not None:
        if encoding.lower() != "chunked" or content_length is not None:
            return Malformed(status=502, detail="bad transfer-encoding")
        length = CHUNKED
    no_length = content_length is encoding is None and status not in NO_BODY_STATUSES
    if no_length and until_close:
        length = UNTIL_CLOSE
    elif length is None or no_length:
        return Malformed(status=502, detail="an answer needs its length")
    return ResponseHead(
        status=status,
        fields=fields,
        length=length,
        keep_alive=is_keep_alive(values, version),
    )


def parse_head(head: bytes) -> tuple[str, Fields]:
    """Return the start line and the fields of a head; raises `MalformedHead`.

    Faster than the parser of circuits.web and without its unquoting of escapes.
    """
    if AMBIGUOUS_LINES.search(head):
        raise MalformedHead("a bare line end or a folded line")
    if b"\0" in head:
        raise MalformedHead("a zero byte in the head")
    lines = head[: -len(END_OF_HEAD)].decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if not colon or not name or parsers.HEADER_RE.search(name):
            raise MalformedHead(f"invalid header line {line[:40]!r}")
        fields.append((name.lower(), value.strip(" \t")))
    return lines[0], fields


def parse_request_line(line: str) -> tuple[str, str, str]:
    """Return method, path and version; raises `MalformedHead`."""
    parts = line.split(" ")
    if len(parts) != 3 or not parts[1]:
        raise MalformedHead("invalid request line")
    method, path, version = parts
    if version not in VERSIONS or not parsers.METHOD_RE.match(method):
        raise MalformedHead("invalid method or version")
    if "#" in path:
        raise MalformedHead("a fragment in the path")
    return method, path, version


def parse_status_line(line: str) -> tuple[int, str]:
    """Parse a status line into status and version; raises `MalformedHead`."""
    version, _, rest = line.partition(" ")
    code = rest[:3]
    if version not in VERSIONS or not (code.isascii() and code.isdigit()):
        raise MalformedHead("invalid status line")
    if len(code) != 3 or rest[3:4] not in ("", " "):
        raise MalformedHead("invalid status line")
    return int(code), version


def fields_by_name(fields: Fields) -> dict[str, str]:
    """Return the fields by name; raises `MalformedHead` for a repeated one."""
    values = dict(fields)
    if len(values) != len(fields):
        for name in UNIQUE_FIELDS:
            if sum(field == name for field, _ in fields) > 1:
                raise MalformedHead(f"two fields {name}")
    return values


def is_keep_alive(values: dict[str, str], version: str) -> bool:
    """Return whether the connection is persistent."""
    options = values.get("connection", "").lower()
    if "close" in options:
        return False
    return version == VERSIONS[1] or "keep-alive" in options


def read_chunked(data: bytes) -> bytes | None:
    """Decode a chunked body; return `None` if it is incomplete."""
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


def parse_length(value: str | None) -> int | None:
    """Parse a Content-Length value: 0 if absent, `None` if invalid."""
    if value is None:
        return 0
    if not (value.isascii() and value.isdigit() and len(value) < 16):
        return None
    return int(value)


def response_head(status: int, fields: Fields, length: int, *, close: bool) -> bytes:
    """Serialize a response head; a negative length omits Content-Length."""
    lines = [f"HTTP/1.1 {status} {REASON_PHRASES.get(status, 'Status')}"]
    lines += [f"{name}: {sanitize_value(value)}" for name, value in fields]
    if status not in NO_BODY_STATUSES and length >= 0:
        lines.append(f"content-length: {length}")
    lines.append("connection: close\r\n\r\n" if close else "\r\n")
    return "\r\n".join(lines).encode("latin-1", "replace")


def request_head(
    method: str, path: str, host: str, fields: Fields, length: int
) -> bytes:
    """Serialize a request head."""
    lines = [f"{method} {path} HTTP/1.1", f"host: {host}"]
    lines += [f"{name}: {sanitize_value(value)}" for name, value in fields]
    lines.append(f"content-length: {length}\r\n\r\n")
    return "\r\n".join(lines).encode("latin-1", "replace")


def sanitize_value(value: str) -> str:
    """Replace CR and LF in a field value, to prevent header injection."""
    if "\r" in value or "\n" in value:
        return value.replace("\r", " ").replace("\n", " ")
    return value
