"""The effects that the core of a daemon asks its driver to carry out, in order.

Owns nothing; the numbers are those of the events.
"""

from __future__ import annotations

import attrs

from ferrydeck.mesh import messages, store


@attrs.define(kw_only=True, frozen=True)
class Reply:
    """Answer a caller with a target's answer, or the head and first part of it."""

    conn: int
    status: int
    fields: messages.Fields
    body: bytes
    more: bool
    """Whether parts follow."""
    total: int
    """Length of the body, bytes; -1 where it isn't known."""


@attrs.define(kw_only=True, frozen=True)
class ReplyPart:
    """Pass a further part of a long answer on."""

    conn: int
    data: bytes
    last: bool


@attrs.define(kw_only=True, frozen=True)
class AbortReply:
    """End a caller's connection in the middle of an answer."""

    conn: int


@attrs.define(kw_only=True, frozen=True)
class Reject:
    """Answer a caller in ferrydeck's own name."""

    conn: int
    status: int
    reason: str
    retry_after_s: float | None = None
    """When to come back, seconds; with a promise that the request did not run."""


@attrs.define(kw_only=True, frozen=True)
class Dial:
    """Make a link to a daemon."""

    address: str


@attrs.define(kw_only=True, frozen=True)
class DeflateOutgoing:
    """Compress what is sent on the link to a daemon."""

    address: str


@attrs.define(kw_only=True, frozen=True)
class DeflateIncoming:
    """Compress what is sent on a link that another daemon dialled."""

    link: int


@attrs.define(kw_only=True, frozen=True)
class CloseLink:
    """Close the link to a daemon."""

    address: str


@attrs.define(kw_only=True, frozen=True)
class SendOutgoing:
    """Send a message on a link that was dialled from here."""

    address: str
    message: messages.AnyMessage


@attrs.define(kw_only=True, frozen=True)
class SendIncoming:
    """Send a message on a link that another daemon dialled."""

    link: int
    message: messages.AnyMessage


@attrs.define(kw_only=True, frozen=True)
class Dispatch:
    """Send a request to the target of this box."""

    dispatch: int
    method: str
    path: str
    fields: messages.Fields
    body: bytes
    request_id: str
    target_id: str
    caller: str
    left_s: float
    """Time that the target is given, seconds."""
    team: str = ""
    """The team whose request it is; empty for none."""


@attrs.define(kw_only=True, frozen=True)
class CancelDispatch:
    """Close the connection on which the target runs a request."""

    dispatch: int


@attrs.define(kw_only=True, frozen=True)
class ReadAnswer:
    """Read further bytes of a long answer from the target."""

    dispatch: int
    size: int


@attrs.define(kw_only=True, frozen=True)
class Probe:
    """Check the health of the target, and which incarnation it is."""

    path: str


@attrs.define(kw_only=True, frozen=True)
class AckHeartbeat:
    """Acknowledge a target's heartbeat, or reject it."""

    conn: int
    accepted: bool


@attrs.define(kw_only=True, frozen=True)
class CallStore:
    """Send a request to the platform's store."""

    request: store.Request


@attrs.define(kw_only=True, frozen=True)
class ReadPolicy:
    """Read a policy that another daemon sent, and return it as an event."""

    raw: bytes
    source: str


@attrs.define(kw_only=True, frozen=True)
class SetCallerLimits:
    """Apply changed limits on what callers may send (`policy.CallerLimits`)."""

    head_bytes: int
    body_bytes: int
    head_s: float
    idle_s: float


@attrs.define(kw_only=True, frozen=True)
class Decision:
    """A decision, for logs and counters."""

    kind: str
    request_id: str = ""
    """Empty where it is about no request."""
    outcome: str = ""
    reason: str = ""
    inputs: dict[str, object] = attrs.Factory(dict)
    """What it was decided on, for the log."""


@attrs.define(kw_only=True, frozen=True)
class RequestFinished:
    """Count a request that has its final answer, and its time."""

    route: str
    outcome: str
    seconds: float


@attrs.define(kw_only=True, frozen=True)
class StopAccepting:
    """Accept no new connection of callers; ask those there to close theirs."""


@attrs.define(kw_only=True, frozen=True)
class Exit:
    """End the process."""


Effect = (
    Reply
    | ReplyPart
    | AbortReply
    | Reject
    | Dial
    | DeflateOutgoing
    | DeflateIncoming
    | CloseLink
    | SendOutgoing
    | SendIncoming
    | Dispatch
    | CancelDispatch
    | ReadAnswer
    | Probe
    | AckHeartbeat
    | CallStore
    | ReadPolicy
    | SetCallerLimits
    | Decision
    | RequestFinished
    | StopAccepting
    | Exit
)
