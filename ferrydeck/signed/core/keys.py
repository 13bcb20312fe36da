"""The table of idempotency keys that the owner of a shard keeps."""

from __future__ import annotations

import collections
import enum
import heapq
from collections.abc import Iterable
from typing import Any

import attrs

from ferrydeck.signed import bundle as bundles
from ferrydeck.signed.core import hashes
from ferrydeck.signed.wire import messages

MAX_STORED_ANSWER_BYTES = 64 * 1024
"""Longer answers are not stored; retries of their keys get an uncertain outcome."""


class KeyState(enum.StrEnum):
    """State of the request with a key."""

    PENDING = "pending"
    RUNNING = "running"
    DONE = "done"
    UNCERTAIN = "uncertain"
    REFUSED = "refused"
    """Reported as not run; retries that were sent before that report are rejected."""


@attrs.define(kw_only=True)
class Record:
    """State and stored answer of one key."""

    key: str
    caller: str
    fingerprint: int
    state: KeyState
    expires_at: float
    jobs: list[Any] = attrs.Factory(list)
    status: int = 0
    headers: tuple[messages.Header, ...] = ()
    body: bytes = b""
    refused_at: float = 0.0

    @property
    def in_flight(self) -> bool:
        """Return whether the outcome of the key is still open."""
        return self.state in (KeyState.PENDING, KeyState.RUNNING)


def shard_of(key: str) -> int:
    """Return the shard of a key."""
    return hashes.hash64(key) % bundles.SHARD_COUNT


def fingerprint(method: str, path: str, body: bytes) -> int:
    """Return a hash that detects the reuse of a key for a different request."""
    return hashes.fingerprint(method, path, body)


@attrs.define(kw_only=True)
class KeyTable:
    """The keys of all shards that this daemon owns or is about to own."""

    shards: dict[int, dict[str, Record]] = attrs.Factory(
        lambda: collections.defaultdict(dict)
    )
    count: int = 0
    _expiry: list[tuple[float, int, str]] = attrs.Factory(list)

    def find(self, key: str) -> Record | None:
        """Return the record of a key, or `None`."""
        return self.shards[shard_of(key)].get(key)

    def add(self, record: Record) -> None:
        """Add a key, to be kept until it expires."""
        shard = shard_of(record.key)
        if record.key not in self.shards[shard]:
            self.count += 1
        self.shards[shard][record.key] = record
        heapq.heappush(self._expiry, (record.expires_at, shard, record.key))

    def mark_refused(self, record: Record, now: float, retention_s: float) -> None:
        """Record that the key was reported as not run."""
        record.state = KeyState.REFUSED
        record.refused_at = now
        record.expires_at = now + retention_s
        heapq.heappush(
            self._expiry, (record.expires_at, shard_of(record.key), record.key)
        )

    def has_in_flight(self, shard: int) -> bool:
        """Return whether the outcome of any key in the shard is still open."""
        return any(record.in_flight for record in self.shards[shard].values())

    def expire(self, now: float) -> None:
        """Remove expired keys."""
        while self._expiry and self._expiry[0][0] <= now:
            _, shard, key = heapq.heappop(self._expiry)
            record = self.shards[shard].get(key)
            if record is None or record.expires_at > now or record.in_flight:
                continue
            del self.shards[shard][key]
            self.count -= 1

    def drop_shard(self, shard: int) -> None:
        """Remove all keys of a shard."""
        self.count -= len(self.shards.pop(shard, {}))

    def export_shard(self, shard: int, now: float) -> tuple[messages.KeyEntry, ...]:
        """Return the shard's keys in the form that is sent to a new owner."""
        return tuple(
            messages.KeyEntry(
                key=record.key,
                caller=record.caller,
                fingerprint=record.fingerprint,
                state=record.state,
                kept_for_ms=(record.expires_at - now) * 1000,
                refused_ago_ms=(now - record.refused_at) * 1000,
                status=record.status,
                headers=record.headers,
                body=record.body,
            )
            for record in self.shards[shard].values()
        )

    def import_entries(self, entries: Iterable[messages.KeyEntry], now: float) -> None:
        """Add the keys that the previous owner handed over."""
        for entry in entries:
            state = KeyState(entry.state)
            self.add(
                Record(
                    key=entry.key,
                    caller=entry.caller,
                    fingerprint=entry.fingerprint,
                    state=state,
                    expires_at=now + entry.kept_for_ms / 1000,
                    status=entry.status,
                    headers=entry.headers,
                    body=entry.body,
                    refused_at=now - entry.refused_ago_ms / 1000,
                )
            )
