"""The state of the store stand-in: items, leases and the history of changes."""

from __future__ import annotations

import copy

import attrs


@attrs.define(kw_only=True)
class Item:
    """The current value of a key."""

    key: str
    value: str
    revision: int
    made: int
    lease: int


@attrs.define(kw_only=True, frozen=True)
class Change:
    """A change of one key; `value` is `None` if it was removed."""

    key: str
    value: str | None
    revision: int
    made: int = 0
    lease: int = 0


@attrs.define(kw_only=True)
class Lease:
    """A lease and its expiry time."""

    ttl_s: float
    expiry: float


@attrs.define(kw_only=True)
class KvState:
    """Items, leases and the history of changes; callers pass the time."""

    era: int = 1
    """Incremented when the state is restored from a snapshot."""
    revision: int = 1
    items: dict[str, Item] = attrs.Factory(dict)
    leases: dict[int, Lease] = attrs.Factory(dict)
    history: list[Change] = attrs.Factory(list)
    discarded_up_to: int = 0
    """The last revision whose history was discarded."""
    _last_lease: int = 100

    def copy(self) -> KvState:
        """Return a deep copy of the state."""
        return copy.deepcopy(self)

    def restored_from(self, snapshot: KvState, kept: str) -> KvState:
        """Return the state of a snapshot in a new era.

        Keys with the kept prefix are rewritten with their current values. Other later
        changes are lost, and their revisions and lease numbers are reused.
        """
        restored = snapshot.copy()
        restored.era = self.era + 1
        for item in self.items.values():
            old = restored.items.get(item.key)
            if item.key.startswith(kept) and (old is None or old.value != item.value):
                restored.put(item.key, item.value)
        return restored

    def put(self, key: str, value: str, lease: int = 0) -> int:
        """Write a key and return the revision."""
        self.revision += 1
        self._put(key, value, lease)
        return self.revision

    def transact(
        self,
        expected: list[dict[str, object]],
        put: list[dict[str, object]],
        remove: list[str],
    ) -> int | list[Item | None]:
        """Apply all changes, or return the items if a revision doesn't match."""
        found = [self.items.get(one["tls_key"]) for one in expected]
        expected_revisions = [one["revision"] for one in expected]
        if [one.revision if one else 0 for one in found] != expected_revisions:
            return found
        if put or remove:
            self.revision += 1
        for one in put:
            self._put(one["tls_key"], one["value"], one.get("lease", 0))
        for key in remove:
            self._remove(key)
        return self.revision

    def grant_lease(self, now: float, ttl_s: float) -> int:
        """Grant a lease and return its number."""
        self._last_lease += 1
        self.leases[self._last_lease] = Lease(ttl_s=ttl_s, expiry=now + ttl_s)
        return self._last_lease

    def renew_lease(self, now: float, lease: int) -> float | None:
        """Renew a lease and return its TTL, or `None` if it has expired."""
        old = self.leases.get(lease)
        if old is None:
            return None
        old.expiry = now + old.ttl_s
        return old.ttl_s

    def end_lease(self, lease: int) -> bool:
        """End a lease and remove its keys; return whether it existed."""
        if self.leases.pop(lease, None) is None:
            return False
        self.revision += 1
        for key in [one.key for one in self.items.values() if one.lease == lease]:
            self._remove(key)
        return True

    def expire_leases(self, now: float) -> None:
        """End the leases whose TTL has passed."""
        for lease in [one for one, old in self.leases.items() if now >= old.expiry]:
            self.end_lease(lease)

    def changes_since(self, prefix: str, after: int) -> list[Change] | None:
        """Return later changes of a prefix, or `None` if the history is incomplete."""
        if not self.discarded_up_to <= after <= self.revision:
            return None
        return [
            one
            for one in self.history
            if one.revision > after and one.key.startswith(prefix)
        ]

    def discard_history(self) -> None:
        """Discard the history of changes."""
        self.discarded_up_to = self.revision
        self.history.clear()

    def _put(self, key: str, value: str, lease: int) -> None:
        old = self.items.get(key)
        made = old.made if old else self.revision
        self.items[key] = Item(
            key=key, value=value, revision=self.revision, made=made, lease=lease
        )
        self.history.append(
            Change(key=key, value=value, revision=self.revision, made=made, lease=lease)
        )

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.history.append(Change(key=key, value=None, revision=self.revision))
