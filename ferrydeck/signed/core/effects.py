"""The effects that the core requests from its driver."""

from __future__ import annotations

import enum

import attrs

from ferrydeck.signed.core import platform
from ferrydeck.signed.wire import messages


class Outcome(enum.StrEnum):
    """The outcome of a call for its caller."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@attrs.define(kw_only=True, frozen=True)
class AnswerCaller:
    """Send the caller its answer; more parts follow if `total` exceeds `body`."""

    conn: int
    status: int
    headers: tuple[messages.Header, ...]
    body: bytes
    total: int


@attrs.define(kw_only=True, frozen=True)
class PassPart:
    """Send the caller a further part of a streamed body."""

    conn: int
    data: bytes


@attrs.define(kw_only=True, frozen=True)
class AbortCaller:
    """Close the caller's connection because its answer can't be completed."""

    conn: int


@attrs.define(kw_only=True, frozen=True)
class SendPeer:
    """Send a message to another daemon."""

    box: str
    address: str
    incarnation: int
    message: messages.Message


@attrs.define(kw_only=True, frozen=True)
class ForgetPeer:
    """Close the connections to a box."""

    box: str


@attrs.define(kw_only=True, frozen=True)
class DispatchTarget:
    """Send a request to the local target."""

    dispatch: int
    method: str
    path: str
    headers: tuple[messages.Header, ...]
    body: bytes
    timeout_s: float


@attrs.define(kw_only=True, frozen=True)
class ReadTarget:
    """Read a further part of a streamed body from the target."""

    dispatch: int


@attrs.define(kw_only=True, frozen=True)
class CancelTarget:
    """Cancel a dispatch whose answer is no longer needed."""

    dispatch: int


@attrs.define(kw_only=True, frozen=True)
class AskPlatform:
    """Send a request to the platform's service."""

    request: platform.Request


@attrs.define(kw_only=True, frozen=True)
class CallFinished:
    """A call was finished; reported to metrics and replays."""

    conn: int
    class_name: str
    outcome: Outcome
    reason: str
    attempts: int
    seconds: float
    status: int


@attrs.define(kw_only=True, frozen=True)
class Count:
    """Increment a counter."""

    name: str
    label: str


@attrs.define(kw_only=True, frozen=True)
class Audit:
    """A state change for the log and the audit trail."""

    action: str
    detail: str


@attrs.define(kw_only=True, frozen=True)
class Ended:
    """The box has left: no work is in flight and all shards are handed over."""


Effect = (
    AnswerCaller
    | PassPart
    | AbortCaller
    | SendPeer
    | ForgetPeer
    | DispatchTarget
    | ReadTarget
    | CancelTarget
    | AskPlatform
    | CallFinished
    | Count
    | Audit
    | Ended
)
