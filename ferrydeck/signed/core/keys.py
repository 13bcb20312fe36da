"""What the owner of a shard remembers of the keys in it."""

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
"""The longest answer that is remembered, bytes; a longer one is reported as unknown."""


class KeyState(enum.StrEnum):
    """How far the work of a key has come."""

    PENDING = "pending"
    RUNNING = "running"
    DONE = "done"
    UNCERTAIN = "uncertain"
    REFUSED = "refused"
    """Reported as not run; a sending that began before that is rejected too."""


@attrs.define(kw_only=True)
class KeyRecord:
    """One key."""

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
        """Return whether the fate of the key is still open."""
        return self.state in (KeyState.PENDING, KeyState.RUNNING)


def shard_of(key: str) -> int:
    """Return the shard of a key."""
    return hashes.hash64(key) % bundles.SHARDS


def fingerprint(method: str, path: str, body: bytes) -> int:
    """Return a number that differs for another request under the same key."""
    return hashes.fingerprint(method, path, body)


@attrs.define(kw_only=True)
class KeyTable:
    """The keys of all shards that this daemon owns or is about to own."""

    shards: dict[int, dict[str, KeyRecord]] = attrs.Factory(
        lambda: collections.defaultdict(dict)
    )
    count: int = 0
    _expiry_heap: list[tuple[float, int, str]] = attrs.Factory(list)

    def find(self, key: str) -> KeyRecord | None:
        """Return the entry of a key, or `None`."""
        return self.shards[shard_of(key)].get(key)

    def add(self, entry: KeyRecord) -> None:
        """Remember a key until its time is over."""
        shard = shard_of(entry.key)
        if entry.key not in self.shards[shard]:
            self.count += 1
        self.shards[shard][entry.key] = entry
        heapq.heappush(self._expiry_heap, (entry.expires_at, shard, entry.key))

    def mark_refused(self, entry: KeyRecord, now: float, retention_s: float) -> None:
        """Note that the key was reported as not run."""
        entry.state = KeyState.REFUSED
        entry.refused_at = now
        entry.expires_at = now + retention_s
        heapq.heappush(
            self._expiry_heap, (entry.expires_at, shard_of(entry.key), entry.key)
        )

    def has_in_flight(self, shard: int) -> bool:
        """Return whether the fate of any key in the shard is still open."""
        return any(entry.in_flight for entry in self.shards[shard].values())

    def expire(self, now: float) -> None:
        """Forget the keys whose time is over."""
        while self._expiry_heap and self._expiry_heap[0][0] <= now:
            _, shard, key = heapq.heappop(self._expiry_heap)
            entry = self.shards[shard].get(key)
            if entry is None or entry.expires_at > now or entry.in_flight:
                continue
            del self.shards[shard][key]
            self.count -= 1

    def drop_shard(self, shard: int) -> None:
        """Forget a whole shard."""
        self.count -= len(self.shards.pop(shard, {}))

    def export_shard(self, shard: int, now: float) -> tuple[messages.KeyEntry, ...]:
        """Return the shard's keys as they are handed to a successor."""
        return tuple(
            messages.KeyEntry(
                key=entry.key,
                caller=entry.caller,
                fingerprint=entry.fingerprint,
                state=entry.state,
                kept_for_ms=(entry.expires_at - now) * 1000,
                refused_ago_ms=(now - entry.refused_at) * 1000,
                status=entry.status,
                headers=entry.headers,
                body=entry.body,
            )
            for entry in self.shards[shard].values()
        )

    def import_entries(self, entries: Iterable[messages.KeyEntry], now: float) -> None:
        """Remember the keys that a predecessor handed over."""
        for given in entries:
            state = KeyState(given.state)
            self.add(
                KeyRecord(
                    key=given.key,
                    caller=given.caller,
                    fingerprint=given.fingerprint,
                    state=state,
                    expires_at=now + given.kept_for_ms / 1000,
                    status=given.status,
                    headers=given.headers,
                    body=given.body,
                    refused_at=now - given.refused_ago_ms / 1000,
                )
            )
