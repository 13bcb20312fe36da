"""The messages between daemons on a link.

They are arrays, since bytes between data centres are priced: the order of fields and
their types are the protocol, their names are not. A `Reason` and a `Phase` keep their
strings. Owns the encoding; relies on `price_reports` and `quota_reports` for types.
"""

from __future__ import annotations

import enum

import msgspec

from ferrydeck.mesh.inbound import price_reports
from ferrydeck.mesh.teams import quota_reports

PROTOCOL = 7
"""Version of the protocol, which `Hello` states."""
RETRY_PROTOCOL = 7
"""The first version whose daemons take `RetryCounts` and `Retry.REJECTED`."""
Fields = list[tuple[str, str]]
"""Header fields in the order in which they came."""


class Reason(enum.StrEnum):
    """Why a request was not run, or why it is not known whether it has."""

    NO_POLICY = "no-policy"
    NO_ROUTE = "no-route"
    NO_KEY = "no-key"
    """The route wants a key, and the request has none."""
    UNKNOWN_KEY = "unknown-key"
    """No team holds the request's key."""
    STALE_POLICY = "stale-policy"
    """Keys may have been taken away without this daemon's knowledge."""
    QUOTA = "allotment"
    """The request's team is beyond its quota."""
    STOPPING = "stopping"
    NO_TARGET = "no-server"
    CLOSED = "closed"
    """The inbound side takes no new requests: its daemon or its target is leaving."""
    WRONG_INCARNATION = "instance"
    """Another incarnation of the target answers there."""
    OVERLOAD = "overload"
    SHED = "pressure"
    """Too many runs of the route fail behind the target."""
    EXPIRED = "expired"
    CANCELLED = "cancelled"
    TARGET_REJECTED = "server-refused"
    """The target answered that it did not run the request."""
    NOT_SENT = "not-sent"
    LINK_LOST = "link-lost"
    TARGET_LOST = "server-lost"
    TARGET_CRASHED = "server-ended"
    BAD_ANSWER = "bad-answer"
    TIMEOUT = "timeout"
    RETRY_BUDGET = "budget"
    """It may have run, and the retry budget grants no further run."""
    SUSPECT = "suspect"
    """It ran on a target as it crashed, and its isolated run did not begin in time."""
    BLOCKED = "condemned"
    """Targets crashed under it as often as was agreed: it is run no more."""


class Phase(enum.StrEnum):
    """Whether the target of a box takes requests, as its daemon announces it."""

    UNKNOWN = "unknown"
    READY = "ready"
    LEAVING = "leaving"
    DOWN = "down"
    STOPPING = "stopping"
    """The daemon itself is stopping."""


class Retry(enum.IntEnum):
    """Whether a request that arrives at a target counts against the retry bound."""

    NO = 0
    CALL = 1
    """It is a call of a run that is a retry."""
    MAY_HAVE_RUN = 2
    """It may have run before: the inbound side decides whether it may run again."""
    REJECTED = 3
    """A target has rejected it before. Its arrival was granted there; the calls of its
    run are retries."""


class Message(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """What all messages have in common."""


class Load(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The load of a target, as the daemon of its box measures it."""

    busy: int
    """Requests at the target and waiting for it."""
    service_time_ms: int
    """Service time, running mean; 0 while not known."""
    failed_pct: int
    """Recent share of requests that it failed or rejected, 0 to 100."""
    prices: list[price_reports.PriceReport]
    """Prices of services that the sender knows; empty while nothing is short."""


class TargetState(Message, tag=1):
    """The target of a box, as its daemon announces it."""

    phase: str
    incarnation: str
    """The incarnation of the target (`incarnations`)."""
    service: str
    slots: int
    """Requests that it runs at a time."""
    warmup_s: float
    """How long the target will still be slow after its start, seconds."""
    version: int
    """Version of the policy in force there; 0 for none."""


class Hello(Message, tag=2):
    """The first message on a link, from the daemon that dialled."""

    protocol: int
    box: str
    incarnation: int
    """Of the sending daemon; grows with each start."""
    address: str
    """Where the sender takes links."""
    data_centre: str
    version: int
    """Version of the policy in force at the sender; 0 for none."""
    sent_s: float
    """When it was sent, by the sender's clock, seconds."""
    departed_incarnations: list[str]
    """Incarnations of the receiver's target that the sender knows to have left."""


class Welcome(Message, tag=3):
    """The answer to a `Hello`."""

    box: str
    incarnation: int
    data_centre: str
    target_state: TargetState
    departed_incarnations: list[str]
    """Incarnations of the receiver's target that the sender knows to have left."""
    sent_s: float


class Ping(Message, tag=4):
    """Asks for a sign of life, and states the version of the policy in force."""

    version: int
    sent_s: float


class Pong(Message, tag=5):
    """The answer to a `Ping`, with the load of the target."""

    version: int
    load: Load


class ConfirmedPong(Pong, tag=18):
    """The answer to a `Ping` where keys depend on the age of the policy."""

    asked_s: float
    """When the `Ping` was sent, by its sender's clock."""
    confirmation_age_s: float
    """Age of the confirmation that nothing newer than `version` was accepted,
    seconds."""


class PolicyRequest(Message, tag=6):
    """Asks for the policy in force at the other side."""


class PolicyReply(Message, tag=7):
    """The policy in force, as the store holds it."""

    version: int
    raw: bytes


class Forward(Message, tag=8):
    """A request for the target of the receiver's box."""

    number: int
    """Of this attempt; each message about it states it."""
    request_id: str
    """The id that the caller gave."""
    incarnation: str
    """The incarnation of the target that it is meant for (`incarnations`)."""
    service: str
    """The service that the target is to belong to."""
    caller: str
    """The service on whose box the request began."""
    method: str
    path: str
    fields: Fields
    body: bytes
    sent_s: float
    """When it was sent, by the sender's clock, seconds."""
    left_s: float
    """Time left when this was sent, seconds."""
    wait_s: float
    """How long its answer is of use, seconds; it waits no longer for a slot than
    leaves time for its run."""
    objective_s: float
    """Time left until its answer is late, seconds."""
    route: str
    priority: int
    """Place in the order of shedding; 0 is shed last."""
    is_first_call: bool
    """Whether it is the first call of a run: nothing is lost yet if it fails."""
    sheddable: bool
    """Whether it is a caller's own request of the priority that is shed first."""
    retryable: bool
    """Whether it may run more than once."""
    caller_retry: bool
    """Whether its caller was rejected before and came back later."""
    first_attempt: bool
    """Whether it was sent to no daemon before."""
    retry: Retry

    @property
    def team_name(self) -> str:
        """The team whose request it is; empty for none."""
        return ""


class TeamForward(Forward, tag=17, kw_only=True):
    """A request of a team for the target of the receiver's box."""

    team: str

    @property
    def team_name(self) -> str:
        """The team whose request it is."""
        return self.team


class Cancel(Message, tag=9):
    """The caller does not wait for a request any more."""

    number: int


class Credit(Message, tag=10):
    """Asks for further bytes of a long answer."""

    number: int
    size: int


class Answer(Message, tag=11):
    """The target's answer: all of it, or the head and first part of a long one."""

    number: int
    status: int
    fields: Fields
    body: bytes
    more: bool
    """Whether parts follow."""
    total: int
    """Length of the body, bytes; -1 where the target did not state it."""
    load: Load
    demand: list[tuple[str, int]]
    """What a run of the route uses of each service, its own included (`pricing`), in
    hundredths of a mean run there."""
    called: bool
    """Whether targets send requests of this route (`correlation`)."""


class AnswerPart(Message, tag=12):
    """A further part of a long answer."""

    number: int
    data: bytes
    last: bool


class Broken(Message, tag=13):
    """No whole answer will come; the request may have run."""

    number: int
    reason: str
    load: Load


class Rejected(Message, tag=14):
    """The request was not run here and will not be."""

    number: int
    reason: str
    retry_after_s: float
    """When the caller may come back, seconds."""
    rejected_by_target: bool
    """Whether the target itself was asked and rejected it."""
    retry_granted: bool
    """Whether a target may be asked again (`retry_budget`); only where one was."""
    load: Load
    called: bool
    """Whether targets send requests of this route (`correlation`)."""


class HeartbeatRelay(Message, tag=15):
    """The heartbeat of a target that was sent to a daemon of another box."""

    number: int
    target_id: str
    service: str
    address: str
    slots: int
    sequence: int
    ready: bool
    terminating: bool
    warmup_s: float
    started_ms: int
    """When its incarnation began, milliseconds since 1970; 0 if not stated."""


class HeartbeatAck(Message, tag=16):
    """The daemon of the target's box has acted on a `HeartbeatRelay`."""

    number: int
    accepted: bool


class TeamUsages(Message, tag=19):
    """The usage of teams that the receiver coordinates."""

    usages: list[quota_reports.TeamUsage]


class TeamGrants(Message, tag=20):
    """The grants of teams that the sender coordinates."""

    grants: list[quota_reports.TeamGrant]


class SuspectReport(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A request that ran on targets as they crashed."""

    fingerprint: bytes
    crashes: list[int]
    """Numbers of the crashes, drawn at random by the daemons that saw them."""
    cleared: list[int]
    """Those of them for which a later success clears the request."""
    isolated: list[int]
    """Those of them that came in an isolated run of it."""
    age_s: float
    """Time since the last crash, seconds."""


class SuspectReports(Message, tag=21):
    """What the sender knows of requests under which targets crashed."""

    suspects: list[SuspectReport]


class RetryCounts(Message, tag=22):
    """Requests and retries at the sender's target, by steps of half a second.

    The newest whole step comes first; the lists go back no further than the sender's
    start.
    """

    requests: list[int]
    retries: list[int]


AnyMessage = (
    TargetState
    | Hello
    | Welcome
    | Ping
    | Pong
    | PolicyRequest
    | PolicyReply
    | Forward
    | Cancel
    | Credit
    | Answer
    | AnswerPart
    | Broken
    | Rejected
    | HeartbeatRelay
    | HeartbeatAck
    | TeamForward
    | ConfirmedPong
    | TeamUsages
    | TeamGrants
    | SuspectReports
    | RetryCounts
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(AnyMessage)


def encode(message: AnyMessage) -> bytes:
    """Return the bytes of a message."""
    return _encoder.encode(message)


def decode(data: bytes) -> AnyMessage:
    """Return the message in `data`; raises `msgspec.DecodeError`."""
    return _decoder.decode(data)
