"""The in-memory key-value store of the platform stand-ins."""

from __future__ import annotations

import copy

import attrs

from ferrydeck.signed.core import platform


@attrs.define(kw_only=True)
class Value:
    """A versioned value with an optional expiry time."""

    text: str
    version: int
    expires_at: float = float("inf")


@attrs.define(kw_only=True)
class Store:
    """A key-value store with compare-and-swap, expiry and optional stale reads."""

    values: dict[str, Value] = attrs.Factory(dict)
    boxes: tuple[platform.ListedBox, ...] = ()
    snapshot: dict[str, Value] | None = None
    """Values that stale reads return."""
    first_snapshot: dict[str, Value] | None = None
    revision: int = 0
    reads: int = 0
    writes: int = 0

    def make_stale(self) -> None:
        """Make reads return the values as of the first call of this method."""
        if self.first_snapshot is None:
            self.first_snapshot = copy.deepcopy(self.values)
        self.snapshot = self.first_snapshot

    def apply(self, now: float, request: platform.Request) -> platform.Result:
        """Execute a request; a watch is answered like a read."""
        self._expire(now)
        if isinstance(request, platform.Write):
            return self._write(now, request)
        self.reads += 1
        match request:
            case platform.List(prefix=prefix):
                return platform.Listed(entries=self._list(prefix))
            case platform.ListBoxes():
                return platform.BoxList(boxes=self.boxes)
            case _:
                return self._read(request.key)

    def version(self, key: str) -> int:
        """Return the version of a key as reads see it, 0 if it is absent."""
        value = self._visible().get(key)
        return value.version if value else 0

    def _write(
        self, now: float, request: platform.Write
    ) -> platform.Written | platform.Conflict:
        self.writes += 1
        current = self.values.get(request.key)
        version = current.version if current else 0
        if request.expected_version != version:
            return platform.Conflict(version=version)
        self.revision += 1
        expires_at = now + request.ttl_s if request.ttl_s else float("inf")
        self.values[request.key] = Value(
            text=request.value, version=self.revision, expires_at=expires_at
        )
        return platform.Written(version=self.revision)

    def _read(self, key: str) -> platform.Found | platform.Absent:
        value = self._visible().get(key)
        if value is None:
            return platform.Absent()
        return platform.Found(entry=to_entry(key, value))

    def _list(self, prefix: str) -> tuple[platform.Entry, ...]:
        return tuple(
            to_entry(key, value)
            for key, value in sorted(self._visible().items())
            if key.startswith(prefix)
        )

    def _visible(self) -> dict[str, Value]:
        return self.values if self.snapshot is None else self.snapshot

    def _expire(self, now: float) -> None:
        for key in [key for key, one in self.values.items() if one.expires_at <= now]:
            del self.values[key]


def to_entry(key: str, value: Value) -> platform.Entry:
    """Return the platform's entry for a key and its value."""
    return platform.Entry(key=key, value=value.text, version=value.version)
