"""Request priorities: the class rank, then a hash that is the same at every hop."""

from __future__ import annotations

from ferrydeck.signed.core import hashes
from ferrydeck.signed.wire import messages

TOP_RANK = 0
BUCKETS = 1024
TOP_LEVEL = messages.TOP_LEVEL
"""The admission level that admits every call."""


def for_request(rank: int, request_id: str) -> int:
    """Return the priority of a request; lower numbers are shed later."""
    return rank * BUCKETS + hashes.hash64(request_id) % BUCKETS


def rank_of(priority: int) -> int:
    """Return the class rank that a priority contains."""
    return priority // BUCKETS
