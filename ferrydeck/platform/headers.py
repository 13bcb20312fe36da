"""Header fields of the platform, read into and made from the project's types.

Called for each request and each answer; relies on names being in lower case.
"""

from __future__ import annotations

import attrs

from ferrydeck.mesh import effects, events, messages

REQUEST_ID = "x-attempt-id"
"""One for each client attempt: a client that tries again sends a new one."""
DEADLINE = "x-deadline-ms"
"""The time left when the request is sent, milliseconds; no time of day."""
SEAL = "x-response-seal"
"""Its presence confirms that the answer is whole; its value isn't read."""
EXPECT = "x-expect-instance"
"""Id of the target that may run the request; any other answers `MISDIRECTED`."""
LOAD = "x-server-load"
"""Three numbers with commas: requests that run, that wait, and slots."""
NOT_RUN = "x-not-executed"
"""Its presence says that the target has not run the request."""
CALLER = "x-caller-service"
"""Service on whose box the request began."""
INSTANCE = "x-instance-id"
"""Id of the target that answers."""
KEY = "x-api-key"
"""What shows the caller's team; a secret."""
TEAM = "x-tenant"
"""The team, set for targets by ferrydeck alone."""
RETRY_AFTER = "retry-after"
HOST = "host"
MISDIRECTED = 421
"""Status of a target other than the expected one, which has not run the request."""

SET_BY_US = frozenset({REQUEST_ID, DEADLINE, EXPECT, CALLER})
"""What no target gets as the caller sent it."""
SET_BY_US_WITH_TEAMS = SET_BY_US | {KEY, TEAM}
"""The same where there are teams."""
ONE_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
"""Fields that hold for one connection and are not passed on."""


@attrs.define(kw_only=True, frozen=True)
class RequestFacts:
    """What a request's fields say, and the fields to pass on."""

    request_id: str
    """Empty where the caller gave none."""
    host: str
    deadline_s: float | None
    """How long the caller waits, seconds; `None` where it did not say."""
    invalid_deadline: bool
    """Whether the stated deadline is no number of milliseconds."""
    fields: messages.Fields
    """The fields that go on to a target."""
    key: str = attrs.field(default="", repr=False)
    """The key that shows whose the request is; empty for none."""
    multiple_keys: bool = False
    """Whether it has more than one key."""


def read_request(fields: messages.Fields, *, teams: bool = False) -> RequestFacts:
    """Return what the fields of a request say; names are in lower case.

    `teams` says whether requests belong to teams; where none do, a key is a field
    like any other.
    """
    named = dict(fields)
    stated = named.get(DEADLINE, "").strip()
    usable = stated.isascii() and stated.isdigit() and len(stated) < 12
    return RequestFacts(
        request_id=named.get(REQUEST_ID, "").strip(),
        host=named.get(HOST, ""),
        deadline_s=int(stated) / 1000 if usable else None,
        invalid_deadline=bool(stated) and not usable,
        fields=_passed_on(fields, named, SET_BY_US_WITH_TEAMS if teams else SET_BY_US),
        key=named.get(KEY, "") if teams else "",
        multiple_keys=teams and sum(name == KEY for name, _ in fields) > 1,
    )


def run_id_of(request_id: str) -> str:
    """Return the id of the run that makes a request, empty where the id names none.

    Targets give each call an id of its own: that of its run, a dot and a suffix. The
    platform's pages do not say so; it is what its targets send.
    """
    return request_id.rpartition(".")[0]


def target_fields(request: effects.Dispatch) -> messages.Fields:
    """Return the fields with which a request is sent to a target."""
    own = [
        (REQUEST_ID, request.request_id),
        (DEADLINE, str(max(1, int(request.left_s * 1000)))),
        (EXPECT, request.target_id),
        (CALLER, request.caller),
    ]
    if request.team:
        own.append((TEAM, request.team))
    return [*request.fields, *own]


def caller_fields(fields: messages.Fields) -> messages.Fields:
    """Return the fields of a target's answer that a caller gets."""
    return _passed_on(fields, dict(fields), frozenset())


def read_answer(status: int, fields: messages.Fields) -> events.AnswerFacts:
    """Return what the status and the fields of a target's answer say."""
    named = dict(fields)
    return events.AnswerFacts(
        not_run=NOT_RUN in named or status == MISDIRECTED,
        confirmed_complete=SEAL in named,
        target_id=named.get(INSTANCE, ""),
        load=_load(named.get(LOAD, "")),
    )


def matches_request(request_id: str, fields: messages.Fields) -> bool:
    """Return whether an answer belongs to a request: targets echo its id."""
    return dict(fields).get(REQUEST_ID, request_id) == request_id


def rejection_fields(request_id: str, retry_after_s: float | None) -> messages.Fields:
    """Return the fields of an answer that ferrydeck gives itself; times in seconds."""
    fields = [(REQUEST_ID, request_id)] if request_id else []
    if retry_after_s is not None:
        fields.append((RETRY_AFTER, f"{retry_after_s:.3f}"))
    return fields


def _passed_on(
    fields: messages.Fields, named: dict[str, str], dropped: frozenset[str]
) -> messages.Fields:
    listed = {one.strip().lower() for one in named.get("connection", "").split(",")}
    drop = ONE_HOP | dropped | listed
    return [(name, value) for name, value in fields if name not in drop]


def _load(text: str) -> events.TargetLoad | None:
    """Return the stated load; `None` where there is none that can be read."""
    parts = text.split(",")
    if len(parts) != 3 or not all(one.strip().isdigit() for one in parts):
        return None
    running, waiting, slots = map(int, parts)
    return events.TargetLoad(running=running, waiting=waiting, slots=slots)
