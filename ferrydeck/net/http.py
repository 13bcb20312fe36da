"""HTTP/1.1 heads: reading them with the parser of `circuits.web`, writing them."""

from __future__ import annotations

import dataclasses
import http
import re

from circuits.web.parsers import http as parsers

from ferrydeck.wire import messages

END_OF_HEAD = b"\r\n\r\n"
MAX_HEAD = 32 * 1024
"""The longest head that is read, bytes."""
MAX_BODY = 16 * 1024 * 1024
"""The longest request body that is read, bytes."""
REQUEST = 0
RESPONSE = 1
NO_BODY_STATUSES = frozenset({204, 304})
UNCLEAR_LINES = re.compile(rb"(?<!\r)\n|\r(?!\n)|\r\n[ \t]")
"""Line ends that hops read differently: a bare one, or a line that is folded."""
CHUNKED = -1
"""The length of a body in chunks."""
UNTIL_CLOSE = -2
"""The length of a body that ends with its connection."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestHead:
    """The head of a request; `length` is `CHUNKED` for a body in chunks."""

    method: str
    path: str
    headers: tuple[messages.Header, ...]
    length: int
    keep_alive: bool
    expects_continue: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class ResponseHead:
    """The head of a response; `length` may be `CHUNKED` or `UNTIL_CLOSE`."""

    status: int
    headers: tuple[messages.Header, ...]
    length: int
    keep_alive: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Malformed:
    """Bytes that are no HTTP that is served here, and the status to tell."""

    status: int
    detail: str


def read_request(
    head: bytes, *, chunks: bool = False, most: int = MAX_BODY
) -> RequestHead | Malformed:
    """Read the head of a request, its end included.

    `chunks` takes bodies in chunks, `most` is the longest body taken, bytes.
    """
    parser = parse(head, REQUEST)
    if isinstance(parser, Malformed):
        return parser
    fields = parser.get_headers()
    coding = fields.get("transfer-encoding")
    if coding is not None and not chunks:
        return Malformed(status=411, detail="a body needs a length")
    length = length_of(fields.get("content-length"))
    if length is None:
        return Malformed(status=400, detail="bad content-length")
    if coding is not None:
        if coding.lower() != "chunked" or "content-length" in fields:
            return Malformed(status=400, detail="a body of unclear length")
        length = CHUNKED
    if length > most:
        return Malformed(status=413, detail="body too large")
    path = parser.get_url()
    if not path.startswith("/") or path.startswith("//"):
        return Malformed(status=400, detail="the target of a request is a path")
    return RequestHead(
        method=parser.get_method(),
        path=path,
        headers=headers_of(fields),
        length=length,
        keep_alive=parser.should_keep_alive(),
        expects_continue=fields.get("expect", "").lower() == "100-continue",
    )


def read_response(
    head: bytes, *, until_close: bool = False
) -> ResponseHead | Malformed:
    """Read the head of a response, its end included.

    `until_close` takes a body without a length, which ends with its connection.
    """
    parser = parse(head, RESPONSE)
    if isinstance(parser, Malformed):
        return parser
    fields = parser.get_headers()
    status = parser.get_status_code()
    coding = fields.get("transfer-encoding")
    stated = fields.get("content-length")
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
        headers=headers_of(fields),
        length=length,
        keep_alive=parser.should_keep_alive(),
    )


def parse(head: bytes, kind: int) -> parsers.HttpParser | Malformed:
    """Parse a head; the library reads escapes in it, so backslashes are doubled."""
    status = 400 if kind == REQUEST else 502
    if UNCLEAR_LINES.search(head):
        return Malformed(status=status, detail="a bare line end or a folded line")
    data = head.replace(b"\\", b"\\\\")
    parser = parsers.HttpParser(kind)
    try:
        parser.execute(data, len(data))
    except (ValueError, parsers.InvalidRequestLine, parsers.InvalidHeader) as exc:
        return Malformed(status=status, detail=str(exc))
    if parser.errno is not None or not parser.is_headers_complete():
        return Malformed(status=status, detail=parser.errstr or "no whole head")
    if parser.get_version() not in ((1, 0), (1, 1)):
        return Malformed(status=status, detail="not HTTP/1.0 or HTTP/1.1")
    if b"\0" in head:
        return Malformed(status=status, detail="a zero byte in the head")
    return parser


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


def headers_of(fields: object) -> tuple[messages.Header, ...]:
    """Return the fields with their names in lower case."""
    return tuple(
        messages.Header(name=name.lower(), value=value)
        for name, value in fields.items()
    )


def response_head(
    status: int, headers: tuple[messages.Header, ...], length: int, *, close: bool
) -> bytes:
    """Return the bytes of a response head; no length is stated below 0."""
    try:
        phrase = http.HTTPStatus(status).phrase
    except ValueError:
        phrase = "Status"
    lines = [f"HTTP/1.1 {status} {phrase}"]
    lines += [f"{one.name}: {clean(one.value)}" for one in headers]
    if status not in NO_BODY_STATUSES and length >= 0:
        lines.append(f"content-length: {length}")
    lines.append("connection: close\r\n\r\n" if close else "\r\n")
    return "\r\n".join(lines).encode("latin-1", "replace")


def request_head(
    method: str,
    path: str,
    host: str,
    headers: tuple[messages.Header, ...],
    length: int,
) -> bytes:
    """Return the bytes of a request head."""
    lines = [f"{method} {path} HTTP/1.1", f"host: {host}"]
    lines += [f"{one.name}: {clean(one.value)}" for one in headers]
    lines.append(f"content-length: {length}\r\n\r\n")
    return "\r\n".join(lines).encode("latin-1", "replace")


def clean(value: str) -> str:
    """Return a field value without line ends."""
    if "\r" in value or "\n" in value:
        return value.replace("\r", " ").replace("\n", " ")
    return value
