"""The events that the driver passes to the core."""

from __future__ import annotations

import attrs

from ferrydeck.signed.core import platform
from ferrydeck.signed.wire import codec, messages


@attrs.define(kw_only=True, frozen=True)
class CallReceived:
    """A complete request was received from a caller."""

    conn: int
    local: bool
    """Whether it came from a service on this box."""
    method: str
    path: str
    """The path as received, including the query."""
    headers: tuple[messages.Header, ...]
    body: bytes


@attrs.define(kw_only=True, frozen=True)
class CallerGone:
    """A caller disconnected before its answer was sent."""

    conn: int


@attrs.define(kw_only=True, frozen=True)
class PartPassed:
    """A part of a streamed body was sent to the caller."""

    conn: int


@attrs.define(kw_only=True, frozen=True)
class PeerReceived:
    """A message from another daemon was received."""

    received: codec.Received


@attrs.define(kw_only=True, frozen=True)
class PeerBlocked:
    """A message was not sent because the send buffer for the box is full."""

    box: str
    message: messages.Message


@attrs.define(kw_only=True, frozen=True)
class PeerLost:
    """The call connection to an address was lost; sent messages may have arrived."""

    address: str


@attrs.define(kw_only=True, frozen=True)
class TargetHead:
    """The head of the target's answer, with the whole body or its first part."""

    dispatch: int
    status: int
    headers: tuple[messages.Header, ...]
    body: bytes
    total: int


@attrs.define(kw_only=True, frozen=True)
class TargetPart:
    """A further part of a streamed body from the target."""

    dispatch: int
    data: bytes


@attrs.define(kw_only=True, frozen=True)
class TargetFailed:
    """The target returned no complete answer."""

    dispatch: int
    sent: bool
    """Whether any byte of the request may have reached the target."""
    reason: messages.Reason


@attrs.define(kw_only=True, frozen=True)
class PlatformAnswered:
    """A request to the platform's service succeeded or failed."""

    request: platform.Request
    result: platform.Result


@attrs.define(kw_only=True, frozen=True)
class Wake:
    """The time of the core's next timer has come."""


@attrs.define(kw_only=True, frozen=True)
class StopAsked:
    """The box shall leave; with `end` the process exits once its work is finished."""

    end: bool
    reason: str


Event = (
    CallReceived
    | CallerGone
    | PartPassed
    | PeerReceived
    | PeerBlocked
    | PeerLost
    | TargetHead
    | TargetPart
    | TargetFailed
    | PlatformAnswered
    | Wake
    | StopAsked
)
