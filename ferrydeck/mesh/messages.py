"""Wire messages between daemons, encoded with MessagePack.

Messages are encoded as arrays to save traffic between data centres: the order and types
of the fields are part of the protocol, their names are not. The string values of
`Reason` and `Phase` are sent as they are.
"""

from __future__ import annotations

import enum

import msgspec

from ferrydeck.mesh.inbound import price_reports
from ferrydeck.mesh.teams import quota_reports

PROTOCOL_VERSION = 10
"""Protocol version that `Hello` announces."""
MIN_RETRY_PROTOCOL = 7
"""The first protocol version that supports `RetryCounts` and `Retry.REJECTED`."""
MIN_RATE_LIMIT_PROTOCOL = 8
"""The first protocol version that supports `RateLimit`."""
MIN_WITHDRAW_PROTOCOL = 9
"""The first protocol version that supports `Withdraw`."""
MIN_BODY_PARTS_PROTOCOL = 10
"""The first protocol version that supports `LongForward`."""
Fields = list[tuple[str, str]]
"""Header fields in the order received."""


class Reason(enum.StrEnum):
    """Why a request was not run, or why it is unknown whether it ran."""

    NO_POLICY = "no-policy"
    NO_ROUTE = "no-route"
    NO_KEY = "no-key"
    """The route requires an API key and the request has none."""
    UNKNOWN_KEY = "unknown-key"
    """The API key of the request belongs to no team."""
    STALE_POLICY = "stale-policy"
    """The policy here may be outdated, so the key may have been revoked."""
    QUOTA = "allotment"
    """The team of the request has exceeded its quota."""
    STOPPING = "stopping"
    NO_TARGET = "no-server"
    CLOSED = "closed"
    """The inbound side is closed: its daemon or its target is shutting down."""
    WRONG_INCARNATION = "instance"
    """Another incarnation of the target is now at that address."""
    OVERLOAD = "overload"
    RATE_LIMIT = "rate-limit"
    """The target accepts no more requests a second."""
    SHED = "pressure"
    """Too many requests of the route fail at services that the target calls."""
    EXPIRED = "expired"
    CANCELLED = "cancelled"
    TARGET_REJECTED = "server-refused"
    """The target replied that it did not run the request."""
    NOT_SENT = "not-sent"
    LINK_LOST = "link-lost"
    TARGET_LOST = "server-lost"
    TARGET_CRASHED = "server-ended"
    BAD_ANSWER = "bad-answer"
    TIMEOUT = "timeout"
    RETRY_BUDGET = "budget"
    """The request may have run, and the retry budget is exhausted."""
    SUSPECT = "suspect"
    """A target crashed while running it; its isolated retry did not start in time."""
    BLOCKED = "condemned"
    """It has crashed as many targets as allowed and is not run again."""


class Phase(enum.StrEnum):
    """Lifecycle phase of a target, as announced by the daemon of its box."""

    UNKNOWN = "unknown"
    READY = "ready"
    LEAVING = "leaving"
    DOWN = "down"
    STOPPING = "stopping"
    """The daemon itself is stopping."""


class Retry(enum.IntEnum):
    """How a request that arrives at a target counts against the retry budget."""

    NO = 0
    CALL = 1
    """A call made by a run that is itself a retry."""
    MAY_HAVE_RUN = 2
    """It may have run before; the inbound side decides whether to run it again."""
    REJECTED = 3
    """A target rejected it before and the budget granted this attempt; calls made by
    its run are retries."""


class Message(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Base class of all messages."""


class Load(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Load of a target, as measured by the daemon of its box."""

    busy: int
    """Requests in flight at the target plus those queued for it."""
    service_time_ms: int
    """Moving average of the service time; 0 if unknown."""
    failed_pct: int
    """Recent percentage of requests that it failed or rejected."""
    prices: list[price_reports.PriceReport]
    """Prices of services known to the sender; empty while no capacity is scarce."""


class TargetState(Message, tag=1):
    """State of a target, as announced by the daemon of its box."""

    phase: str
    incarnation: str
    """Incarnation of the target (`incarnations`)."""
    service: str
    slots: int
    """Number of requests that it runs concurrently."""
    warmup_s: float
    """Remaining warm-up time of the target, seconds."""
    version: int
    """Version of the active policy at the sender; 0 if none."""


class Hello(Message, tag=2):
    """The first message on a link, sent by the daemon that opened it."""

    protocol: int
    box: str
    incarnation: int
    """Incarnation of the sending daemon; increases with each start."""
    address: str
    """Address at which the sender accepts links."""
    data_centre: str
    version: int
    """Version of the active policy at the sender; 0 if none."""
    sent_s: float
    """Send time on the sender's clock, seconds."""
    departed: list[str]
    """Incarnations of the receiver's target that the sender knows to have left."""


class Welcome(Message, tag=3):
    """Reply to a `Hello`."""

    box: str
    incarnation: int
    data_centre: str
    target_state: TargetState
    departed: list[str]
    """Incarnations of the receiver's target that the sender knows to have left."""
    sent_s: float


class Ping(Message, tag=4):
    """Keepalive probe; carries the version of the active policy."""

    version: int
    sent_s: float


class Pong(Message, tag=5):
    """Reply to a `Ping`, with the load of the target."""

    version: int
    load: Load


class ConfirmedPong(Pong, tag=18):
    """A `Pong` where API keys are accepted only under a recently confirmed policy."""

    asked_s: float
    """Send time of the `Ping` on the clock of its sender, seconds."""
    confirmation_age_s: float
    """Age of the confirmation that `version` is the latest policy, seconds."""


class PolicyRequest(Message, tag=6):
    """Requests the active policy of the receiver."""


class PolicyReply(Message, tag=7):
    """The active policy, in the encoding of the store."""

    version: int
    raw: bytes


class Forward(Message, tag=8):
    """A request for the target on the receiver's box."""

    number: int
    """Number of the attempt, repeated in all messages about it."""
    request_id: str
    """Request id from the caller."""
    incarnation: str
    """Incarnation of the target that it is addressed to (`incarnations`)."""
    service: str
    """Service that the target must belong to."""
    caller: str
    """Service of the box at which the request entered."""
    method: str
    path: str
    fields: Fields
    body: bytes
    """Empty in a `LongForward`; the receiver puts the whole long body in its place."""
    sent_s: float
    """Send time on the sender's clock, seconds."""
    left_s: float
    """Time left until the deadline at `sent_s`, seconds."""
    wait_s: float
    """Time in which its answer is still useful, seconds; bounds the queueing time,
    less the expected service time."""
    objective_s: float
    """Time left until the latency objective of the route is missed, seconds."""
    route: str
    priority: int
    """Shedding priority; 0 is shed last."""
    is_first_call: bool
    """Whether it is the first call of a run, so that a failure wastes no work yet."""
    sheddable: bool
    """Whether it is a request from outside with the priority that is shed first."""
    retryable: bool
    """Whether it may run more than once."""
    caller_retry: bool
    """Whether the caller retries it after a rejection."""
    first_attempt: bool
    """Whether this is the first attempt to send it to a daemon."""
    retry: Retry

    @property
    def team_name(self) -> str:
        """Team that the request belongs to; empty if none."""
        return ""


class TeamForward(Forward, tag=17, kw_only=True):
    """A `Forward` of a request that belongs to a team."""

    team: str

    @property
    def team_name(self) -> str:
        """Team that the request belongs to."""
        return self.team


class LongForward(Message, tag=25):
    """A request whose body follows in parts once the receiver has memory for it.

    The receiver asks for the body with a `Credit` of its length.
    """

    forward: Forward | TeamForward
    size: int
    """Length of the body, bytes."""

    @property
    def number(self) -> int:
        """Number of the attempt."""
        return self.forward.number


class BodyPart(Message, tag=26):
    """A further part of a long body."""

    number: int
    data: bytes


class Cancel(Message, tag=9):
    """Cancels an attempt whose caller no longer waits for it."""

    number: int


class Withdraw(Message, tag=24):
    """Rejects an attempt if it still waits in the queue; a running one goes on."""

    number: int


class Credit(Message, tag=10):
    """Grants flow-control credit, in bytes, for a streamed answer or a long body."""

    number: int
    size: int


class Answer(Message, tag=11):
    """The answer of the target: whole, or head and first part of a streamed one."""

    number: int
    status: int
    fields: Fields
    body: bytes
    more: bool
    """Whether an `AnswerPart` follows."""
    total: int
    """Length of the whole body, bytes; -1 if unknown."""
    load: Load
    demand: list[tuple[str, int]]
    """Capacity that a run of the route uses per service, its own included (`pricing`),
    in percent of a mean run there."""
    called_by_targets: bool
    """Whether requests of this route also come from targets (`correlation`)."""


class AnswerPart(Message, tag=12):
    """A further part of a streamed answer."""

    number: int
    data: bytes
    last: bool


class AttemptFailed(Message, tag=13):
    """The answer will not be completed; the request may have run."""

    number: int
    reason: str
    load: Load


class Rejected(Message, tag=14):
    """The attempt was rejected; the request has not run here."""

    number: int
    reason: str
    retry_after_s: float
    """Delay after which the caller may retry, seconds."""
    rejected_by_target: bool
    """Whether the target itself rejected it, not the daemon."""
    retry_granted: bool
    """Whether the retry budget allows another attempt, if the target rejected it."""
    load: Load
    called_by_targets: bool
    """Whether requests of this route also come from targets (`correlation`)."""


class HeartbeatRelay(Message, tag=15):
    """A target's heartbeat that arrived at another box, relayed to its own daemon."""

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
    """Start of its incarnation, milliseconds since 1970; 0 if unknown."""


class HeartbeatAck(Message, tag=16):
    """Reply to a `HeartbeatRelay` from the daemon of the target's box."""

    number: int
    accepted: bool


class TeamUsages(Message, tag=19):
    """Usage of the teams whose quota the receiver coordinates."""

    usages: list[quota_reports.TeamUsage]


class TeamGrants(Message, tag=20):
    """Grants for the teams whose quota the sender coordinates."""

    grants: list[quota_reports.TeamGrant]


class SuspectReport(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A request during which targets crashed."""

    fingerprint: bytes
    crashes: list[int]
    """Random ids of the crashes, assigned by the daemons that observed them."""
    cleared: list[int]
    """Ids of crashes that a later success of the request has cleared it of."""
    isolated: list[int]
    """Ids of crashes that occurred while it ran in isolation."""
    age_s: float
    """Time since the last crash, seconds."""


class SuspectReports(Message, tag=21):
    """Requests that the sender suspects of crashing targets."""

    suspects: list[SuspectReport]


class RetryCounts(Message, tag=22):
    """Requests and retries at the sender's target, per half-second bucket.

    The latest complete bucket comes first; the lists start no earlier than the sender.
    """

    requests: list[int]
    retries: list[int]


class RateLimit(Message, tag=23):
    """The rate that a target accepts.

    A daemon sends that of its target on the links that others dialled. On a link that
    it dialled, it sends what the receiver had announced before, which a restarted
    receiver no longer knows.
    """

    target_id: str
    rate_per_s: float
    """Requests a second; negative without a limit."""


AnyMessage = (
    TargetState
    | Hello
    | Welcome
    | Ping
    | Pong
    | PolicyRequest
    | PolicyReply
    | Forward
    | LongForward
    | BodyPart
    | Cancel
    | Withdraw
    | Credit
    | Answer
    | AnswerPart
    | AttemptFailed
    | Rejected
    | HeartbeatRelay
    | HeartbeatAck
    | TeamForward
    | ConfirmedPong
    | TeamUsages
    | TeamGrants
    | SuspectReports
    | RetryCounts
    | RateLimit
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(AnyMessage)


def encode(message: AnyMessage) -> bytes:
    """Return the encoded message."""
    return _encoder.encode(message)


def decode(data: bytes) -> AnyMessage:
    """Return the decoded message; raises `msgspec.DecodeError`."""
    return _decoder.decode(data)
