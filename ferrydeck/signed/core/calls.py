"""A caller's call, and the replies that this daemon makes for it."""

from __future__ import annotations

import attrs

from ferrydeck.signed import bundle as bundles
from ferrydeck.signed.core import effects, events, headers, levels, retry_limits
from ferrydeck.signed.wire import messages

MAX_HOP_MARGIN_S = 0.01
"""What a hop keeps of the time left, seconds; at most a twentieth of it."""
MAX_CANCEL_GRACE_S = 0.05
"""Time to learn whether a cancelled attempt had started, seconds; at most a tenth
of the whole time."""
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
    """One forwarding of a call to one box."""

    number: int
    box: str
    incarnation: int
    address: str
    allowance: int
    head_received: bool = False
    """Whether the head of its answer has come."""


@attrs.define(kw_only=True)
class Stream:
    """A long answer on its way to the caller."""

    status: int
    total: int
    offset: int
    etag: str
    last_progress: float
    attempt_offset: int = 0
    """Offset in the body at which the answer of the present attempt begins."""
    resumed_offset: int = -1


@attrs.define(kw_only=True, eq=False)
class Call:
    """One call of one caller."""

    conn: int
    number: int
    service: str
    route: bundles.Route
    request: events.CallReceived
    path: str
    """The path below the service, with the query."""
    key: str
    caller: str
    request_id: str
    priority: int
    depth: int
    allowance: retry_limits.RetryAllowance
    parent_path_key: str
    """The route of the request that this call is made for; empty for none."""
    started: float
    deadline: float
    may_have_run: bool = False
    attempts: int = 0
    tried_boxes: list[str] = attrs.Factory(list)
    attempt: Attempt | None = None
    stream: Stream | None = None
    cancelling: bool = False
    charged_as_retry: bool = False
    """Whether this sending itself was taken from the allowance."""
    owner_hint: str = ""

    @property
    def path_key(self) -> str:
        """The name under which the level of the call's route is kept."""
        return levels.path_key(self.route.method, self.route.path)

    @property
    def cancel_grace_s(self) -> float:
        """Time kept at the end for the reply to a cancelled attempt, seconds."""
        return min(MAX_CANCEL_GRACE_S, 0.1 * (self.deadline - self.started))

    @property
    def cancel_at(self) -> float:
        """When an attempt that was not answered is cancelled."""
        return self.deadline - self.cancel_grace_s

    def remaining_s(self, now: float) -> float:
        """Return the time that an attempt may take from now on, seconds."""
        left = self.cancel_at - now
        return left - min(MAX_HOP_MARGIN_S, 0.05 * max(0.0, left))


def status_of(outcome: effects.Outcome, reason: messages.Reason) -> int:
    """Return the HTTP status of an answer that no target gave."""
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
    """Return the final answer of a call that no target answered."""
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


def response(call: Call, box: str, received: messages.Answer) -> effects.AnswerCaller:
    """Return the target's answer for the caller."""
    return effects.AnswerCaller(
        conn=call.conn,
        status=received.status,
        headers=(
            *received.headers,
            messages.Header(name=headers.OUTCOME, value=effects.Outcome.DONE),
            messages.Header(name=headers.BOX, value=box),
            messages.Header(name=headers.ATTEMPTS, value=str(call.attempts)),
        ),
        body=received.body,
        total=received.total,
    )


def forwarded_headers(call: Call) -> tuple[messages.Header, ...]:
    """Return the fields for the target; the rest of a broken answer is a range."""
    passed = headers.end_to_end(call.request.headers)
    if call.stream is None:
        return passed
    rest = messages.Header(name=headers.RANGE, value=f"bytes={call.stream.offset}-")
    return (*(one for one in passed if one.name != headers.RANGE), rest)
