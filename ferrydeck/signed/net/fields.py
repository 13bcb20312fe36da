"""Conversion between HTTP header fields and the headers of messages."""

from __future__ import annotations

from collections.abc import Iterable

from ferrydeck.net import http
from ferrydeck.signed.wire import messages


def to_headers(fields: http.Fields) -> tuple[messages.Header, ...]:
    """Convert header fields to message headers."""
    return tuple(messages.Header(name=name, value=value) for name, value in fields)


def to_fields(headers: Iterable[messages.Header]) -> http.Fields:
    """Convert message headers to header fields."""
    return [(header.name, header.value) for header in headers]
