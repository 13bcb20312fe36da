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
    made: int
    lease: int


@attrs.define(kw_only=True, frozen=True)
class Change:
    """A change of one key; `value` is `None` where it went."""

    key: str
    value: str | None
    revision: int
    made: int = 0
    lease: int = 0


@attrs.define(kw_only=True)
class Lease:
    """A lease and when it ends."""

    ttl_s: float
    ends: float


@attrs.define(kw_only=True)
class KvState:
    """Items, leases and the history of changes, on a clock that is handed in."""

    era: int = 1
    """Rises by one when the state goes back to a copy of itself."""
    revision: int = 1
    items: dict[str, Item] = attrs.Factory(dict)
    leases: dict[int, Lease] = attrs.Factory(dict)
    history: list[Change] = attrs.Factory(list)
    forgotten: int = 0
    """Changes up to this revision are not known any more."""
    _last_lease: int = 100

    def copy(self) -> KvState:
        """Return a copy of all that is held."""
        return copy.deepcopy(self)

    def restored(self, older: KvState, keep: str) -> KvState:
        """Return what a copy holds, in a new era.

        Keys below the prefix `keep` are written again as they are now. Other changes
        since the copy are gone; their revisions and leases are given out again.
        """
        back = older.copy()
        back.era = self.era + 1
        for item in self.items.values():
            held = back.items.get(item.key)
            if item.key.startswith(keep) and (held is None or held.value != item.value):
                back.put(item.key, item.value)
        return back

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
        wanted = [one["revision"] for one in expected]
        if [one.revision if one else 0 for one in found] != wanted:
            return found
        if put or remove:
            self.revision += 1
        for one in put:
            self._put(one["tls_key"], one["value"], one.get("lease", 0))
        for key in remove:
            self._drop(key)
        return self.revision

    def grant(self, now: float, ttl_s: float) -> int:
        """Grant a lease; return its number."""
        self._last_lease += 1
        self.leases[self._last_lease] = Lease(ttl_s=ttl_s, ends=now + ttl_s)
        return self._last_lease

    def keep(self, now: float, lease: int) -> float | None:
        """Renew a lease; return its life, seconds, or `None` where it is over."""
        held = self.leases.get(lease)
        if held is None:
            return None
        held.ends = now + held.ttl_s
        return held.ttl_s

    def end_lease(self, lease: int) -> bool:
        """End a lease and drop its keys; return whether there was one."""
        if self.leases.pop(lease, None) is None:
            return False
        self.revision += 1
        for key in [one.key for one in self.items.values() if one.lease == lease]:
            self._drop(key)
        return True

    def expire(self, now: float) -> None:
        """End the leases whose time is over."""
        for lease in [one for one, held in self.leases.items() if now >= held.ends]:
            self.end_lease(lease)

    def since(self, prefix: str, after: int) -> list[Change] | None:
        """Return the changes below a prefix, `None` where some are not known."""
        if not self.forgotten <= after <= self.revision:
            return None
        return [
            one
            for one in self.history
            if one.revision > after and one.key.startswith(prefix)
        ]

    def forget(self) -> None:
        """Forget all history."""
        self.forgotten = self.revision
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

    def _drop(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.history.append(Change(key=key, value=None, revision=self.revision))
