"""Messages exchanged between daemons."""

from __future__ import annotations

import enum

import attrs
import msgspec

PROTOCOL = 1
TOP_LEVEL = 8 * 1024 - 1
"""The admission level that admits every call; see `core/priority.py`."""


class Reason(enum.StrEnum):
    """Why an attempt was refused before it ran, or why its outcome is unknown."""

    OVERLOAD = "overload"
    EXPIRED = "expired"
    LEAVING = "leaving"
    CANCELLED = "cancelled"
    NO_BUNDLE = "no-bundle"
    NO_ROUTE = "no-route"
    NO_TARGET = "no-target"
    NO_BOX = "no-box"
    NOT_OWNER = "not-owner"
    MOVING = "moving"
    NO_LEASE = "no-lease"
    QUARANTINE = "quarantine"
    KEYS_FULL = "keys-full"
    KEY_MISMATCH = "key-mismatch"
    STALE_SENDING = "stale-sending"
    INCARNATION = "incarnation"
    NOT_SENT = "not-sent"
    RETRIES_SPENT = "retries-spent"
    NO_ANSWER = "no-answer"
    BOX_LOST = "box-lost"
    TARGET_LOST = "target-lost"
    BAD_ANSWER = "bad-answer"
    SHED_EARLY = "shed-early"
    BODY_TOO_LARGE = "body-too-large"
    KEY_MISSING = "key-missing"
    BAD_REQUEST = "bad-request"


class State(enum.StrEnum):
    """State that a box announces in its member record."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.define(kw_only=True, frozen=True)
class Header:
    """An HTTP header field with a lower-case name."""

    name: str
    value: str


@attrs.define(kw_only=True, frozen=True)
class Load:
    """Load of a target, reported by its daemon with each answer."""

    running: int = 0
    queued: int = 0
    limit: int = 0
    service_ms: float = 0.0
    level: int = TOP_LEVEL
    """Admission level: calls with a higher priority number are refused."""
    path_level: int = TOP_LEVEL
    """Admission level of the call's path, learned from refusals of nested calls."""


@attrs.define(kw_only=True, frozen=True)
class ShardClaim:
    """A shard that a box owns, with the ownership epoch."""

    shard: int
    epoch: int


@attrs.define(kw_only=True, frozen=True)
class Member:
    """The member record of a box; a higher `sequence` replaces a lower one."""

    box: str
    incarnation: int
    sequence: int
    address: str
    call_address: str
    """Address for call messages; all other messages go to `address`."""
    data_centre: str
    region: str
    service: str
    state: State
    shards: tuple[ShardClaim, ...] = ()


@attrs.define(kw_only=True, frozen=True)
class Forward:
    """A call forwarded to the target of the receiving box."""

    attempt: int
    service: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    request_id: str
    priority: int
    depth: int
    allowance: int
    remaining_ms: float
    age_ms: float
    """Time since the entry daemon received the call from the caller."""
    once: bool = False
    key: str = ""
    caller: str = ""


@attrs.define(kw_only=True, frozen=True)
class Cancel:
    """Cancels an attempt that has not started yet."""

    attempt: int


@attrs.define(kw_only=True, frozen=True)
class Answer:
    """The target's answer: complete, or its head and the first part of the body."""

    attempt: int
    status: int
    headers: tuple[Header, ...]
    body: bytes
    total: int
    """Length of the complete body, bytes."""
    unused: int
    load: Load
    replayed: bool = False


@attrs.define(kw_only=True, frozen=True)
class Part:
    """A subsequent part of a streamed body."""

    attempt: int
    offset: int
    data: bytes


@attrs.define(kw_only=True, frozen=True)
class Credit:
    """Flow control: the receiver of a streamed body can accept more parts."""

    attempt: int
    parts: int = 1


@attrs.define(kw_only=True, frozen=True)
class Broken:
    """Aborts a streamed body before its end."""

    attempt: int


@attrs.define(kw_only=True, frozen=True)
class Refused:
    """The attempt was refused and will not run."""

    attempt: int
    reason: Reason
    retry_after_ms: int
    unused: int
    load: Load
    owner: str = ""


@attrs.define(kw_only=True, frozen=True)
class Uncertain:
    """The attempt, or an earlier one with the same key, may have run."""

    attempt: int
    reason: Reason
    retry_after_ms: int
    load: Load


@attrs.define(kw_only=True, frozen=True)
class Hello:
    """Announces a member record that changed or may be unknown to the receiver."""

    member: Member
    relay: bool = False
    """Whether a receiver that did not know the record relays it."""


@attrs.define(kw_only=True, frozen=True)
class Digest:
    """A digest of the sender's member records for anti-entropy."""

    members: int
    answer_wanted: bool = False


@attrs.define(kw_only=True, frozen=True)
class KnownMember:
    """A member record with the time since the sender last heard from the box."""

    member: Member
    silent_s: float
    listed_leaving: bool = False
    """Whether the platform lists this incarnation as leaving."""


@attrs.define(kw_only=True, frozen=True)
class Members:
    """All member records that the sender knows."""

    members: tuple[KnownMember, ...]


@attrs.define(kw_only=True, frozen=True)
class BundleAsk:
    """Requests the signed bundle that is active at the receiver."""


@attrs.define(kw_only=True, frozen=True)
class BundleGive:
    """Carries a signed bundle."""

    raw: bytes


@attrs.define(kw_only=True, frozen=True)
class KeyEntry:
    """The stored state of an idempotency key, transferred with its shard."""

    key: str
    caller: str
    fingerprint: int
    state: str
    kept_for_ms: float
    refused_ago_ms: float = 0.0
    status: int = 0
    headers: tuple[Header, ...] = ()
    body: bytes = b""


@attrs.define(kw_only=True, frozen=True)
class ShardHand:
    """A part of a shard's key table, sent to the next owner."""

    service: str
    shard: int
    epoch: int
    sending: int
    """Number of this transfer; parts of different transfers are not combined."""
    part: int
    parts: int
    entries: tuple[KeyEntry, ...]
    quarantine_ms: float = 0.0
    """Remaining quarantine of the sender."""


@attrs.define(kw_only=True, frozen=True)
class ShardTaken:
    """Confirms a complete transfer; `holder` is the receiver's name in records."""

    service: str
    shard: int
    epoch: int
    sending: int
    holder: str


@attrs.define(kw_only=True, frozen=True)
class ShardYours:
    """Tells the receiver that the shard's record names it as the owner."""

    service: str
    shard: int
    epoch: int
    sending: int


@attrs.define(kw_only=True, frozen=True)
class ListedLeaving:
    """The platform lists a box as leaving."""

    box: str
    incarnation: int


Message = (
    Forward
    | Cancel
    | Answer
    | Part
    | Credit
    | Broken
    | Refused
    | Uncertain
    | Hello
    | Digest
    | Members
    | BundleAsk
    | BundleGive
    | ShardHand
    | ShardTaken
    | ShardYours
    | ListedLeaving
)


@attrs.define(kw_only=True, frozen=True)
class Envelope:
    """The envelope of every message."""

    protocol: int
    cluster: str
    kind: str
    box: str
    incarnation: int
    address: str
    receiver: int
    """Incarnation of the addressed daemon; 0 if unknown to the sender."""
    bundle: int
    """Version of the sender's active bundle; 0 for none."""
    sent: float
    """Send time by the sender's monotonic clock, seconds."""
    body: msgspec.Raw
