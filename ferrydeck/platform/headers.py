"""Parsing and construction of the platform's header fields.

Called for each request and each answer; field names must be in lower case.
"""

from __future__ import annotations

import re

import attrs

from ferrydeck.mesh import effects, events, messages

REQUEST_ID = "x-attempt-id"
"""Id of one attempt: a client that retries sends a new id."""
DEADLINE = "x-deadline-ms"
"""Time remaining when the request is sent, milliseconds."""
SEAL = "x-response-seal"
"""Present if the answer is complete; the value is ignored."""
EXPECT = "x-expect-instance"
"""Id of the target that may run the request; others answer `MISDIRECTED`."""
LOAD = "x-server-load"
"""Running requests, waiting requests and slots, separated by commas."""
NOT_RUN = "x-not-executed"
"""Present if the target did not run the request."""
CALLER = "x-caller-service"
"""Service from which the request originates."""
INSTANCE = "x-instance-id"
"""Id of the responding target."""
RATE_LIMIT = "server-limit"
"""Requests a second that the target accepts from all boxes together."""
KEY = "x-api-key"
"""API key that identifies the caller's team; secret."""
TEAM = "x-tenant"
"""The team, set by ferrydeck for targets."""
RETRY_AFTER = "retry-after"
HOST = "host"
MISDIRECTED = 421
"""Status of a target that is not the expected one and did not run the request."""

LEAVING = "server-leaving"
"""Has the value 1 in all answers of a target that is leaving."""
DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")
"""A decimal number without sign and exponent."""
LOAD_VALUE = re.compile(r"\s*([0-9]{1,9})\s*,\s*([0-9]{1,9})\s*,\s*([0-9]{1,9})\s*")
"""Three whole numbers, separated by commas."""

REPLACED = frozenset({REQUEST_ID, DEADLINE, EXPECT, CALLER})
"""Fields of the caller that are replaced before forwarding."""
REPLACED_WITH_TEAMS = REPLACED | {KEY, TEAM}
"""Fields of the caller that are replaced if teams are configured."""
HOP_BY_HOP = frozenset(
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
"""Hop-by-hop fields, which are not forwarded."""


@attrs.define(kw_only=True, frozen=True)
class ParsedRequest:
    """Parsed fields of a request, and the fields to forward."""

    request_id: str
    """Empty if the caller sent none."""
    host: str
    deadline_s: float | None
    """Time until the caller's deadline, seconds; `None` if not stated."""
    invalid_deadline: bool
    """Whether the stated deadline is not a valid number of milliseconds."""
    fields: messages.Fields
    """Fields to forward to the target."""
    key: str = attrs.field(default="", repr=False)
    """The API key; empty if absent."""
    multiple_keys: bool = False
    """Whether the request has more than one API key."""


def read_request(fields: messages.Fields, *, teams: bool = False) -> ParsedRequest:
    """Parse the fields of a request.

    Without `teams` the API key is an ordinary field, which is forwarded.
    """
    values = dict(fields)
    stated_s, valid = _parse_deadline(values)
    return ParsedRequest(
        request_id=values.get(REQUEST_ID, "").strip(),
        host=values.get(HOST, ""),
        deadline_s=stated_s,
        invalid_deadline=not valid,
        fields=_forwarded(fields, values, REPLACED_WITH_TEAMS if teams else REPLACED),
        key=values.get(KEY, "") if teams else "",
        multiple_keys=teams and sum(name == KEY for name, _ in fields) > 1,
    )


def deadline_s(fields: messages.Fields) -> float | None:
    """Return the time until the caller's deadline, seconds; `None` if not stated."""
    return _parse_deadline(dict(fields))[0]


def run_id_of(request_id: str) -> str:
    """Return the id of the run that made a request, or an empty string.

    Targets use ids of the form `<run id>.<suffix>` for calls (not documented).
    """
    return request_id.rpartition(".")[0]


def target_fields(request: effects.Dispatch) -> messages.Fields:
    """Return the fields of a request to a target."""
    added = [
        (REQUEST_ID, request.request_id),
        (DEADLINE, str(max(1, int(request.left_s * 1000)))),
        (EXPECT, request.target_id),
        (CALLER, request.caller),
    ]
    if request.team:
        added.append((TEAM, request.team))
    return [*request.fields, *added]


def caller_fields(fields: messages.Fields) -> messages.Fields:
    """Return the fields of a target's answer to forward to the caller."""
    return _forwarded(fields, dict(fields), frozenset())


def read_answer(status: int, fields: messages.Fields) -> events.AnswerFacts:
    """Parse the status and the fields of a target's answer."""
    values = dict(fields)
    rate_limits, invalid = (), ""
    if RATE_LIMIT in values:
        rate_limits, invalid = _parse_rate_limits(fields)
    return events.AnswerFacts(
        not_run=NOT_RUN in values or status == MISDIRECTED,
        confirmed_complete=SEAL in values,
        target_id=values.get(INSTANCE, ""),
        load=_parse_load(values.get(LOAD, "")),
        rate_limits=rate_limits,
        invalid_rate_limit=invalid,
        leaving=values.get(LEAVING, "").strip() == "1",
    )


def matches_request(request_id: str, fields: messages.Fields) -> bool:
    """Return whether an answer belongs to a request, by the echoed request id.

    The id is empty for a request without one, whose answer echoes none.
    """
    return dict(fields).get(REQUEST_ID, "") == request_id


def rejection_fields(request_id: str, retry_after_s: float | None) -> messages.Fields:
    """Return the fields of an answer that ferrydeck generates itself."""
    fields = [(REQUEST_ID, request_id)] if request_id else []
    if retry_after_s is not None:
        fields.append((RETRY_AFTER, f"{retry_after_s:.3f}"))
    return fields


def _forwarded(
    fields: messages.Fields, values: dict[str, str], replaced: frozenset[str]
) -> messages.Fields:
    per_hop = {one.strip().lower() for one in values.get("connection", "").split(",")}
    excluded = HOP_BY_HOP | replaced | per_hop
    return [(name, value) for name, value in fields if name not in excluded]


def _parse_deadline(values: dict[str, str]) -> tuple[float | None, bool]:
    """Return the stated deadline in seconds, and false if it is invalid."""
    text = values.get(DEADLINE, "").strip()
    if text.isascii() and text.isdigit() and len(text) < 12:
        return int(text) / 1000, True
    return None, not text


def _parse_rate_limits(fields: messages.Fields) -> tuple[tuple[float, ...], str]:
    """Return the stated rate limits, and the first value that is invalid."""
    texts = [
        text.strip()
        for name, value in fields
        if name == RATE_LIMIT
        for text in value.split(",")
    ]
    rates = tuple(float(text) for text in texts if DECIMAL.fullmatch(text))
    invalid = (text or "empty" for text in texts if not DECIMAL.fullmatch(text))
    return rates, next(invalid, "")


def _parse_load(text: str) -> events.TargetLoad | None:
    """Parse a load report; return `None` if it is absent or invalid."""
    match = LOAD_VALUE.fullmatch(text)
    if match is None:
        return None
    running, waiting, slots = map(int, match.groups())
    return events.TargetLoad(running=running, waiting=waiting, slots=slots)
