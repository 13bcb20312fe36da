"""Requests to the platform's key-value service, and their results."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True, frozen=True)
class Read:
    """Read one key."""

    key: str


@attrs.define(kw_only=True, frozen=True)
class List:
    """Read all keys below a prefix."""

    prefix: str


@attrs.define(kw_only=True, frozen=True)
class Write:
    """Write a key if its version is `expected_version`; 0 means it must be absent."""

    key: str
    value: str
    expected_version: int
    ttl_s: float = 0.0
    """Time to live, which each write restarts; 0 for no expiry."""


@attrs.define(kw_only=True, frozen=True)
class Watch:
    """Wait up to `wait_s` until the version of a key differs from `after_version`."""

    key: str
    after_version: int
    wait_s: float


@attrs.define(kw_only=True, frozen=True)
class ListBoxes:
    """Read the platform's list of boxes, which may be out of date."""


Request = Read | List | Write | Watch | ListBoxes


@attrs.define(kw_only=True, frozen=True)
class Entry:
    """A key with its value and version."""

    key: str
    value: str
    version: int


@attrs.define(kw_only=True, frozen=True)
class ListedBox:
    """A box in the platform's list."""

    box: str
    address: str
    data_centre: str
    state: str


@attrs.define(kw_only=True, frozen=True)
class Found:
    """The key exists."""

    entry: Entry


@attrs.define(kw_only=True, frozen=True)
class Absent:
    """The key does not exist."""


@attrs.define(kw_only=True, frozen=True)
class Listed:
    """The keys below the prefix."""

    entries: tuple[Entry, ...]


@attrs.define(kw_only=True, frozen=True)
class Written:
    """The write took effect; `version` is the key's new one."""

    version: int


@attrs.define(kw_only=True, frozen=True)
class Conflict:
    """The write did not take effect: the key had another version."""

    version: int


@attrs.define(kw_only=True, frozen=True)
class BoxList:
    """The platform's list of boxes."""

    boxes: tuple[ListedBox, ...]


@attrs.define(kw_only=True, frozen=True)
class NoAnswer:
    """No valid response arrived; a write may have taken effect."""

    detail: str


Result = Found | Absent | Listed | Written | Conflict | BoxList | NoAnswer
