"""The events that a driver feeds to the core of a daemon.

Owns nothing. The driver numbers connections and links, the core numbers dispatches.
"""

from __future__ import annotations

import attrs

from ferrydeck.mesh import incarnations, messages, policy, store


@attrs.define(kw_only=True, frozen=True)
class RequestReceived:
    """A whole request came in from a client or from the target of this box."""

    conn: int
    method: str
    path: str
    host: str
    request_id: str
    deadline_s: float | None
    """How long the caller waits, seconds; `None` where it did not state it."""
    fields: messages.Fields
    """Header fields to be passed on."""
    body: bytes
    run_id: str = ""
    """The id of the run that may make it, by its own id; empty for none."""
    key: str = attrs.field(default="", repr=False)
    """The key that shows its team, empty for none; never logged, never passed on."""


@attrs.define(kw_only=True, frozen=True)
class CallerDisconnected:
    """A caller closed its connection before its answer was out."""

    conn: int


@attrs.define(kw_only=True, frozen=True)
class CallerRead:
    """A caller has read `size` bytes of a long answer."""

    conn: int
    size: int


@attrs.define(kw_only=True, frozen=True)
class OutgoingLinkUp:
    """A link that was dialled is up."""

    address: str


@attrs.define(kw_only=True, frozen=True)
class OutgoingLinkDown:
    """A link that was dialled ended, or could not be made."""

    address: str
    was_up: bool
    """Whether it had been up."""


@attrs.define(kw_only=True, frozen=True)
class OutgoingLinkMessage:
    """A message on a link that was dialled from here."""

    address: str
    message: messages.AnyMessage


@attrs.define(kw_only=True, frozen=True)
class IncomingLinkMessage:
    """A message on a link that another daemon dialled."""

    link: int
    message: messages.AnyMessage


@attrs.define(kw_only=True, frozen=True)
class IncomingLinkDown:
    """A link that another daemon dialled ended."""

    link: int


@attrs.define(kw_only=True, frozen=True)
class TargetAnswered:
    """The head of the target's answer, with all of its body or the first part."""

    dispatch: int
    status: int
    fields: messages.Fields
    body: bytes
    more: bool
    """Whether parts follow."""
    total: int
    """Length of the body, bytes; -1 where it isn't known."""
    facts: AnswerFacts


@attrs.define(kw_only=True, frozen=True)
class AnswerFacts:
    """What the header fields of an answer state to the inbound side."""

    not_run: bool = False
    """The target states that it did not run the request."""
    confirmed_complete: bool = False
    """The answer carries the target's confirmation that it is whole."""
    target_id: str = ""
    load: TargetLoad | None = None


@attrs.define(kw_only=True, frozen=True)
class TargetLoad:
    """Load as a target states it, in requests."""

    running: int
    waiting: int
    slots: int


@attrs.define(kw_only=True, frozen=True)
class TargetAnswerPart:
    """A further part of a long answer."""

    dispatch: int
    data: bytes
    last: bool


@attrs.define(kw_only=True, frozen=True)
class TargetFailed:
    """No whole answer of the target will come."""

    dispatch: int
    sent: bool
    """Whether any byte of the request may have reached it."""
    refused: bool
    """Whether it took no connection at all."""
    detail: str


@attrs.define(kw_only=True, frozen=True)
class ProbeAnswered:
    """The health check of the target was answered, or failed."""

    healthy: bool
    """Whether the answer states good health."""
    target_id: str
    slots: int
    refused: bool = False
    """Whether the target took no connection at all."""
    answered: bool = True
    """Whether there was an answer; a connection that was lost on the way, as one that
    was idle may be, shows nothing of the target."""


@attrs.define(kw_only=True, frozen=True)
class Heartbeat:
    """A target reports its state."""

    conn: int
    target_id: str
    service: str
    address: str
    slots: int
    sequence: int
    """Grows with each heartbeat of an incarnation."""
    ready: bool
    terminating: bool
    """Whether it leaves for good."""
    warmup_s: float
    """How long it will still be slow after its start, seconds."""
    started_ms: int = incarnations.UNKNOWN
    """When its incarnation began, milliseconds since 1970."""

    @property
    def incarnation(self) -> str:
        """The name of its incarnation."""
        return incarnations.name(self.target_id, self.started_ms)


@attrs.define(kw_only=True, frozen=True)
class StoreAnswered:
    """The store answered a request, or did not."""

    request: store.Request
    result: store.Result
    era: int = 0
    """The store's era by the answer; 0 where none is stated."""


@attrs.define(kw_only=True, frozen=True)
class PolicyRead:
    """A policy that another daemon sent was read."""

    policy: policy.Policy
    source: str


@attrs.define(kw_only=True, frozen=True)
class StopRequested:
    """The process is to end."""


@attrs.define(kw_only=True, frozen=True)
class TimersDue:
    """Timers are due."""


Event = (
    RequestReceived
    | CallerDisconnected
    | CallerRead
    | OutgoingLinkUp
    | OutgoingLinkDown
    | OutgoingLinkMessage
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
