"""The HTTP header fields that the daemon reads, adds or removes."""

from __future__ import annotations

from collections.abc import Iterable

from ferrydeck.signed.wire import messages

IDEMPOTENCY_KEY = "idempotency-key"
DEADLINE_MS = "ferrydeck-deadline-ms"
CONTEXT = "ferrydeck-context"
OUTCOME = "ferrydeck-outcome"
REASON = "ferrydeck-reason"
BOX = "ferrydeck-box"
ATTEMPTS = "ferrydeck-attempts"
RETRY_AFTER = "retry-after"
RETRY_AFTER_MS = "ferrydeck-retry-after-ms"
AUTHORIZATION = "authorization"
RANGE = "range"
CONTENT_RANGE = "content-range"
ETAG = "etag"

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
        "expect",
        DEADLINE_MS,
        CONTEXT,
        OUTCOME,
        REASON,
        BOX,
        ATTEMPTS,
        RETRY_AFTER_MS,
    }
)
"""Fields that are not forwarded: hop-by-hop fields and the daemon's own."""


def get(headers: Iterable[messages.Header], name: str) -> str:
    """Return the value of the first field with a name, or an empty string."""
    for header in headers:
        if header.name == name:
            return header.value
    return ""


def end_to_end(
    headers: Iterable[messages.Header],
) -> tuple[messages.Header, ...]:
    """Return the fields that are forwarded to the next hop."""
    return tuple(header for header in headers if header.name not in HOP_BY_HOP)
