"""What a stand-in for the platform's store holds: items, leases, history."""

from __future__ import annotations

import copy

import attrs


@attrs.define(kw_only=True)
class Item:
    """A key as it was last written."""

    key: str
    value: str
    revision: int
    created: int
    lease: int


@attrs.define(kw_only=True, frozen=True)
class Change:
    """A change of one key; `value` is `None` where it went."""

    key: str
    value: str | None
    revision: int
    created: int = 0
    lease: int = 0


@attrs.define(kw_only=True)
class Lease:
    """A lease and when it ends."""

    ttl_s: float
    expires_at: float


@attrs.define(kw_only=True)
class KvState:
    """Items, leases and the history of changes, on a clock that is handed in."""

    era: int = 1
    """Rises by one when the state goes back to a copy of itself."""
    revision: int = 1
    items: dict[str, Item] = attrs.Factory(dict)
    leases: dict[int, Lease] = attrs.Factory(dict)
    history: list[Change] = attrs.Factory(list)
    discarded_up_to: int = 0
    """Changes up to this revision are not known any more."""
    _last_lease: int = 100

    def copy(self) -> KvState:
        """Return a copy of all that is held."""
        return copy.deepcopy(self)

    def restored_from(self, snapshot: KvState, kept_prefix: str) -> KvState:
        """Return what a copy holds, in a new era.

        Keys below the prefix `keep` are written again as they are now. Other changes
        since the copy are gone; their revisions and leases are given out again.
        """
        restored_from = snapshot.copy()
        restored_from.era = self.era + 1
        for item in self.items.values():
            held = restored_from.items.get(item.key)
            if item.key.startswith(kept_prefix) and (
                held is None or held.value != item.value
            ):
                restored_from.put(item.key, item.value)
        return restored_from

    def put(self, key: str, value: str, lease: int = 0) -> int:
        """Write a key; return the revision."""
        self.revision += 1
        self._put(key, value, lease)
        return self.revision

    def transact(
        self,
        expected: list[dict[str, object]],
        put: list[dict[str, object]],
        remove: list[str],
    ) -> int | list[Item | None]:
        """Carry out all changes, or return the items whose revision is another."""
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
        """Grant a lease; return its number."""
        self._last_lease += 1
        self.leases[self._last_lease] = Lease(ttl_s=ttl_s, expires_at=now + ttl_s)
        return self._last_lease

    def renew_lease(self, now: float, lease: int) -> float | None:
        """Renew a lease; return its life, seconds, or `None` where it is over."""
        held = self.leases.get(lease)
        if held is None:
            return None
        held.expires_at = now + held.ttl_s
        return held.ttl_s

    def end_lease(self, lease: int) -> bool:
        """End a lease and drop its keys; return whether there was one."""
        if self.leases.pop(lease, None) is None:
            return False
        self.revision += 1
        for key in [one.key for one in self.items.values() if one.lease == lease]:
            self._remove(key)
        return True

    def expire_leases(self, now: float) -> None:
        """End the leases whose time is over."""
        for lease in [
            one for one, held in self.leases.items() if now >= held.expires_at
        ]:
            self.end_lease(lease)

    def changes_since(self, prefix: str, after: int) -> list[Change] | None:
        """Return the changes below a prefix, `None` where some are not known."""
        if not self.discarded_up_to <= after <= self.revision:
            return None
        return [
            one
            for one in self.history
            if one.revision > after and one.key.startswith(prefix)
        ]

    def discard_history(self) -> None:
        """Forget all history."""
        self.discarded_up_to = self.revision
        self.history.clear()

    def _put(self, key: str, value: str, lease: int) -> None:
        old = self.items.get(key)
        created = old.created if old else self.revision
        self.items[key] = Item(
            key=key, value=value, revision=self.revision, created=created, lease=lease
        )
        self.history.append(
            Change(
                key=key,
                value=value,
                revision=self.revision,
                created=created,
                lease=lease,
            )
        )

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.history.append(Change(key=key, value=None, revision=self.revision))
