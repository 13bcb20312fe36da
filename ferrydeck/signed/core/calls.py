"""A call in progress, and the responses to its caller."""

from __future__ import annotations

import attrs

from ferrydeck.signed import bundle as bundles
from ferrydeck.signed.core import effects, events, headers, levels, retry_limits
from ferrydeck.signed.wire import messages

MAX_HOP_MARGIN_S = 0.01
"""Time that a hop reserves for itself, at most a twentieth of the remaining time."""
MAX_CANCEL_GRACE_S = 0.05
"""Time reserved for the reply to a cancelled attempt, at most a tenth of the call's
timeout."""
MS_PER_S = 1000

STATUS_BY_REASON = {
    messages.Reason.BAD_REQUEST: 400,
    messages.Reason.KEY_MISSING: 400,
    messages.Reason.NO_ROUTE: 404,
    messages.Reason.BODY_TOO_LARGE: 413,
    messages.Reason.KEY_MISMATCH: 422,
}
STATUS_NOT_RUN = 503
STATUS_UNKNOWN = 504


@attrs.define(kw_only=True)
class Attempt:
    """One attempt to have a call served by a box."""

    number: int
    box: str
    incarnation: int
    address: str
    allowance: int
    head_received: bool = False
    """Whether the head of a streamed answer was received."""


@attrs.define(kw_only=True)
class Stream:
    """The state of a streamed answer."""

    status: int
    total: int
    offset: int
    etag: str
    last_progress: float
    attempt_offset: int = 0
    """Offset in the body at which the current attempt's answer starts."""
    resumed_offset: int = -1


@attrs.define(kw_only=True, eq=False)
class Call:
    """A caller's request while it is in progress."""

    conn: int
    number: int
    service: str
    route: bundles.Route
    request: events.CallReceived
    path: str
    """The path without the service prefix, including the query."""
    key: str
    caller: str
    request_id: str
    priority: int
    depth: int
    allowance: retry_limits.RetryAllowance
    parent_path_key: str
    """Path key of the request that this nested call belongs to; empty if none."""
    started: float
    deadline: float
    may_have_run: bool = False
    attempts: int = 0
    tried_boxes: list[str] = attrs.Factory(list)
    attempt: Attempt | None = None
    stream: Stream | None = None
    cancelling: bool = False
    charged_as_retry: bool = False
    """Whether the request itself was charged to the retry allowance."""
    owner_hint: str = ""

    @property
    def path_key(self) -> str:
        """The key of the route's admission level."""
        return levels.path_key(self.route.method, self.route.path)

    @property
    def cancel_grace_s(self) -> float:
        """Time reserved for the reply to a cancelled attempt."""
        return min(MAX_CANCEL_GRACE_S, 0.1 * (self.deadline - self.started))

    @property
    def cancel_at(self) -> float:
        """The time at which an unanswered attempt is cancelled."""
        return self.deadline - self.cancel_grace_s

    def remaining_s(self, now: float) -> float:
        """Return the time that an attempt may take from now on."""
        remaining_s = self.cancel_at - now
        return remaining_s - min(MAX_HOP_MARGIN_S, 0.05 * max(0.0, remaining_s))


def status_of(outcome: effects.Outcome, reason: messages.Reason) -> int:
    """Return the HTTP status of a call that no target answered."""
    if outcome is effects.Outcome.UNKNOWN:
        return STATUS_UNKNOWN
    return STATUS_BY_REASON.get(reason, STATUS_NOT_RUN)


def failure_response(
    conn: int,
    outcome: effects.Outcome,
    reason: messages.Reason,
    retry_after_ms: int,
    attempts: int,
) -> effects.AnswerCaller:
    """Return the response to a call that no target answered."""
    seconds = -(-retry_after_ms // MS_PER_S)
    body = f"{outcome}: {reason}\n".encode()
    return effects.AnswerCaller(
        conn=conn,
        status=status_of(outcome, reason),
        headers=(
            messages.Header(name=headers.OUTCOME, value=outcome),
            messages.Header(name=headers.REASON, value=reason),
            messages.Header(name=headers.RETRY_AFTER, value=str(seconds)),
            messages.Header(name=headers.RETRY_AFTER_MS, value=str(retry_after_ms)),
            messages.Header(name=headers.ATTEMPTS, value=str(attempts)),
            messages.Header(name="content-type", value="text/plain"),
        ),
        body=body,
        total=len(body),
    )


def response(call: Call, box: str, answer: messages.Answer) -> effects.AnswerCaller:
    """Return the response that relays a target's answer."""
    return effects.AnswerCaller(
        conn=call.conn,
        status=answer.status,
        headers=(
            *answer.headers,
            messages.Header(name=headers.OUTCOME, value=effects.Outcome.DONE),
            messages.Header(name=headers.BOX, value=box),
            messages.Header(name=headers.ATTEMPTS, value=str(call.attempts)),
        ),
        body=answer.body,
        total=answer.total,
    )


def forwarded_headers(call: Call) -> tuple[messages.Header, ...]:
    """Return the fields to forward; a resumed answer is requested as a range."""
    forwarded = headers.end_to_end(call.request.headers)
    if call.stream is None:
        return forwarded
    rest = messages.Header(name=headers.RANGE, value=f"bytes={call.stream.offset}-")
    return (*(field for field in forwarded if field.name != headers.RANGE), rest)
