"""Effects: the actions that the core of a daemon requests from its driver, in order.

Connection, link and dispatch numbers are the same as in `events`.
"""

from __future__ import annotations

import attrs

from ferrydeck.mesh import long_bodies, messages, store


@attrs.define(kw_only=True, frozen=True)
class Reply:
    """Send a caller the answer of a target: whole, or head and first part."""

    conn: int
    status: int
    fields: messages.Fields
    body: bytes
    more: bool
    """Whether a `ReplyPart` follows."""
    total: int
    """Length of the whole body, bytes; -1 if unknown."""


@attrs.define(kw_only=True, frozen=True)
class ReplyPart:
    """Send a caller a further part of a streamed answer."""

    conn: int
    data: bytes
    last: bool


@attrs.define(kw_only=True, frozen=True)
class AbortReply:
    """Reset a caller's connection in the middle of an answer."""

    conn: int


@attrs.define(kw_only=True, frozen=True)
class Reject:
    """Answer a caller without the answer of a target."""

    conn: int
    status: int
    reason: str
    retry_after_s: float | None = None
    """Retry-After delay, seconds; if set, the request is known not to have run."""


@attrs.define(kw_only=True, frozen=True)
class OpenLink:
    """Open an outgoing link to a daemon."""

    address: str


@attrs.define(kw_only=True, frozen=True)
class DeflateOutgoing:
    """Enable compression of what is sent on an outgoing link."""

    address: str


@attrs.define(kw_only=True, frozen=True)
class DeflateIncoming:
    """Enable compression of what is sent on an incoming link."""

    link: int


@attrs.define(kw_only=True, frozen=True)
class CloseLink:
    """Close an outgoing link."""

    address: str


@attrs.define(kw_only=True, frozen=True)
class SendOutgoing:
    """Send a message on an outgoing link."""

    address: str
    message: messages.AnyMessage


@attrs.define(kw_only=True, frozen=True)
class SendIncoming:
    """Send a message on an incoming link."""

    link: int
    message: messages.AnyMessage


@attrs.define(kw_only=True, frozen=True)
class SendBody:
    """Send the long body of a request on an outgoing link; `BodySent` follows."""

    address: str
    number: int
    """Number of the attempt."""
    body: long_bodies.LongBody


@attrs.define(kw_only=True, frozen=True)
class StopBody:
    """Send no more of a long body."""

    address: str
    number: int


@attrs.define(kw_only=True, frozen=True)
class Dispatch:
    """Forward a request to the target of this box."""

    dispatch: int
    method: str
    path: str
    fields: messages.Fields
    body: long_bodies.Body
    request_id: str
    target_id: str
    caller: str
    left_s: float
    """Time that the target has to answer, seconds."""
    team: str = ""
    """Team that the request belongs to; empty if none."""


@attrs.define(kw_only=True, frozen=True)
class CancelDispatch:
    """Cancel a request at the target by closing its connection."""

    dispatch: int


@attrs.define(kw_only=True, frozen=True)
class ReadAnswer:
    """Read further bytes of a streamed answer from the target."""

    dispatch: int
    size: int


@attrs.define(kw_only=True, frozen=True)
class DiscardAnswer:
    """Read a streamed answer to its end; only a last part without bytes follows."""

    dispatch: int


@attrs.define(kw_only=True, frozen=True)
class Probe:
    """Send the target a health check, which also reveals its incarnation."""

    path: str


@attrs.define(kw_only=True, frozen=True)
class AckHeartbeat:
    """Acknowledge or reject a target's heartbeat."""

    conn: int
    accepted: bool


@attrs.define(kw_only=True, frozen=True)
class CallStore:
    """Send a request to the platform's store."""

    request: store.Request


@attrs.define(kw_only=True, frozen=True)
class ReadPolicy:
    """Parse a policy from another daemon; `PolicyRead` follows if it is valid."""

    raw: bytes
    source: str


@attrs.define(kw_only=True, frozen=True)
class SetCallerLimits:
    """Apply changed limits on callers (`policy.CallerLimits`)."""

    head_bytes: int
    body_bytes: int
    head_s: float
    idle_s: float


@attrs.define(kw_only=True, frozen=True)
class Decision:
    """Log and count a decision."""

    kind: str
    request_id: str = ""
    """Empty if it concerns no request."""
    outcome: str = ""
    reason: str = ""
    inputs: dict[str, object] = attrs.Factory(dict)
    """Inputs of the decision, for the log."""


@attrs.define(kw_only=True, frozen=True)
class RequestFinished:
    """Record outcome and latency of a finished request."""

    route: str
    outcome: str
    seconds: float


@attrs.define(kw_only=True, frozen=True)
class DisableKeepAlive:
    """Disable keep-alive for callers, so that they reconnect elsewhere."""


@attrs.define(kw_only=True, frozen=True)
class Exit:
    """Exit the process once all answers are sent."""

    flush_s: float
    """Time after which it exits even if some are not, seconds."""


Effect = (
    Reply
    | ReplyPart
    | AbortReply
    | Reject
    | OpenLink
    | DeflateOutgoing
    | DeflateIncoming
    | CloseLink
    | SendOutgoing
    | SendIncoming
    | SendBody
    | StopBody
    | Dispatch
    | CancelDispatch
    | ReadAnswer
    | DiscardAnswer
    | Probe
    | AckHeartbeat
    | CallStore
    | ReadPolicy
    | SetCallerLimits
    | Decision
    | RequestFinished
    | DisableKeepAlive
    | Exit
)
