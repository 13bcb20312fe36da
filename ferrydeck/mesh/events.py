"""Events that the driver feeds to the core of a daemon.

The driver numbers connections and links; the core numbers dispatches.
"""

from __future__ import annotations

import attrs

from ferrydeck.mesh import incarnations, long_bodies, messages, policy, store


@attrs.define(kw_only=True, frozen=True)
class RequestReceived:
    """A complete request arrived from a client or from the target of this box."""

    conn: int
    method: str
    path: str
    host: str
    request_id: str
    deadline_s: float | None
    """Timeout stated by the caller, seconds; `None` if it stated none."""
    fields: messages.Fields
    """Header fields to forward."""
    body: long_bodies.Body
    age_s: float = 0.0
    """Time since its head was received, seconds."""
    run_id: str = ""
    """Id of the run that made the call, by its request id; empty if none."""
    key: str = attrs.field(default="", repr=False)
    """API key of its team, empty if none; neither logged nor forwarded."""


@attrs.define(kw_only=True, frozen=True)
class CallerDisconnected:
    """A caller closed its connection before it had its answer."""

    conn: int


@attrs.define(kw_only=True, frozen=True)
class AnswerBytesSent:
    """`size` bytes of a streamed answer were sent to a caller."""

    conn: int
    size: int


@attrs.define(kw_only=True, frozen=True)
class OutgoingLinkUp:
    """An outgoing link is up."""

    address: str


@attrs.define(kw_only=True, frozen=True)
class OutgoingLinkDown:
    """An outgoing link was lost, or could not be opened."""

    address: str
    was_up: bool
    """Whether the link had been up."""


@attrs.define(kw_only=True, frozen=True)
class OutgoingLinkMessage:
    """A message arrived on an outgoing link."""

    address: str
    message: messages.AnyMessage


@attrs.define(kw_only=True, frozen=True)
class BodySent:
    """The last part of a long body was passed to an outgoing link."""

    address: str
    number: int
    """Number of the attempt."""


@attrs.define(kw_only=True, frozen=True)
class IncomingLinkMessage:
    """A message arrived on an incoming link."""

    link: int
    message: messages.AnyMessage


@attrs.define(kw_only=True, frozen=True)
class IncomingLinkDown:
    """An incoming link was closed."""

    link: int


@attrs.define(kw_only=True, frozen=True)
class TargetAnswered:
    """The target sent the head of its answer and all or the first part of the body."""

    dispatch: int
    status: int
    fields: messages.Fields
    body: bytes
    more: bool
    """Whether a `TargetAnswerPart` follows."""
    total: int
    """Length of the whole body, bytes; -1 if unknown."""
    facts: AnswerFacts
    conn: int = 0
    """Number of the connection to the target; 0 if unknown."""
    ended_by_close: bool = False
    """Whether only the end of the connection tells that the answer is complete."""


@attrs.define(kw_only=True, frozen=True)
class AnswerFacts:
    """Facts that the header fields of an answer carry for the inbound side."""

    not_run: bool = False
    """Whether the target states that it did not run the request."""
    confirmed_complete: bool = False
    """Whether the target confirms that the answer is complete."""
    target_id: str = ""
    load: TargetLoad | None = None
    rate_limits: tuple[float, ...] = ()
    """Requests a second that the target states to accept; usually one value or none."""
    invalid_rate_limit: str = ""
    """A stated limit that is not a decimal number."""
    leaving: bool = False
    """Whether the target states that it is leaving."""


@attrs.define(kw_only=True, frozen=True)
class TargetLoad:
    """Load as reported by a target, in requests."""

    running: int
    waiting: int
    slots: int


@attrs.define(kw_only=True, frozen=True)
class TargetAnswerPart:
    """A further part of a streamed answer."""

    dispatch: int
    data: bytes
    last: bool
    ended_by_close: bool = False
    """Whether only the end of the connection tells that it is the last part."""


@attrs.define(kw_only=True, frozen=True)
class TargetFailed:
    """The target will not deliver a complete answer."""

    dispatch: int
    sent: bool
    """Whether any byte of the request may have reached the target."""
    refused: bool
    """Whether the target refused the connection."""
    detail: str


@attrs.define(kw_only=True, frozen=True)
class ProbeAnswered:
    """A health check of the target was answered or failed."""

    healthy: bool
    """Whether the answer reports the target as healthy."""
    target_id: str
    slots: int
    refused: bool = False
    """Whether the target refused the connection."""
    answered: bool = True
    """Whether there was an answer; a lost connection says nothing about the health of
    the target."""
    leaving: bool = False
    """Whether the target states that it is leaving."""


@attrs.define(kw_only=True, frozen=True)
class Heartbeat:
    """Periodic state report of a target."""

    conn: int
    target_id: str
    service: str
    address: str
    slots: int
    sequence: int
    """Increases with each heartbeat of an incarnation."""
    ready: bool
    terminating: bool
    """Whether the target deregisters for good."""
    warmup_s: float
    """Remaining warm-up time, seconds."""
    started_ms: int = incarnations.UNKNOWN
    """Start of its incarnation, milliseconds since 1970."""

    @property
    def incarnation(self) -> str:
        """Name of its incarnation."""
        return incarnations.name(self.target_id, self.started_ms)


@attrs.define(kw_only=True, frozen=True)
class StoreAnswered:
    """A request to the store was answered or failed."""

    request: store.Request
    result: store.Result
    era: int = 0
    """Era that the store stated in the answer; 0 if none."""


@attrs.define(kw_only=True, frozen=True)
class PolicyRead:
    """A policy from another daemon was parsed."""

    policy: policy.Policy
    source: str


@attrs.define(kw_only=True, frozen=True)
class StopRequested:
    """The process was asked to shut down."""


@attrs.define(kw_only=True, frozen=True)
class TimersDue:
    """Timers are due."""


Event = (
    RequestReceived
    | CallerDisconnected
    | AnswerBytesSent
    | OutgoingLinkUp
    | OutgoingLinkDown
    | OutgoingLinkMessage
    | BodySent
    | IncomingLinkMessage
    | IncomingLinkDown
    | TargetAnswered
    | TargetAnswerPart
    | TargetFailed
    | ProbeAnswered
    | Heartbeat
    | StoreAnswered
    | PolicyRead
    | StopRequested
    | TimersDue
)
