"""The priority of a request: its class, then a hash that all hops share."""

from __future__ import annotations

from ferrydeck.signed.core import hashes
from ferrydeck.signed.wire import messages

TOP_RANK = 0
BUCKETS_PER_CLASS = 1024
TOP_LEVEL = messages.TOP_LEVEL
"""The admission level that lets every call in."""


def for_request(rank: int, request_id: str) -> int:
    """Return the priority; a lower number is shed later."""
    return rank * BUCKETS_PER_CLASS + hashes.hash64(request_id) % BUCKETS_PER_CLASS


def rank_of(priority: int) -> int:
    """Return the class rank in a priority."""
    return priority // BUCKETS_PER_CLASS
