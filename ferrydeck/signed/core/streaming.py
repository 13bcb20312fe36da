"""Streamed answers: forwards their parts and resumes a broken one at another box.

To resume, a range of the same body is requested; the entity tag proves it is the
same. A resumption spends from the retry budget that `retry_policy` manages.
"""

from __future__ import annotations

import re

import attrs

from ferrydeck.signed.core import (
    attempts,
    calls,
    context,
    effects,
    headers,
    retry_policy,
    routing,
)
from ferrydeck.signed.wire import messages

STALL_TIMEOUT_S = 2.0
"""Time without a part after which the rest is requested from another box."""


@attrs.define(kw_only=True, frozen=True)
class StreamStallTimer:
    """Fires when a streamed answer may have stalled."""

    call: int


@attrs.define(kw_only=True)
class Streaming:
    """Forwards streamed answers and never lets a truncated one look complete."""

    ctx: context.Context
    attempts: attempts.Attempts
    retry_policy: retry_policy.RetryPolicy

    def handle_part(
        self, now: float, envelope: messages.Envelope, message: messages.Part
    ) -> None:
        """Forward a part of a streamed answer if it is the next one."""
        call = self._call_for(envelope, message.attempt)
        if call is None:
            return
        if call.stream.attempt_offset + message.offset != call.stream.offset:
            self.resume_elsewhere(now, call)
            return
        call.stream.offset += len(message.data)
        call.stream.last_progress = now
        self.ctx.emit(effects.PassPart(conn=call.conn, data=message.data))
        if call.stream.offset >= call.stream.total:
            self.attempts.finish(
                now, call, effects.Outcome.DONE, "", call.stream.status
            )

    def handle_broken(
        self, now: float, envelope: messages.Envelope, message: messages.Broken
    ) -> None:
        """Resume a broken streamed answer at another box."""
        call = self._call_for(envelope, message.attempt)
        if call is not None:
            self.resume_elsewhere(now, call)

    def check_stall(self, now: float, number: int) -> None:
        """Resume a stalled streamed answer at another box."""
        call = self.attempts.by_number.get(number)
        if call is None or call.stream is None:
            return
        due = call.stream.last_progress + STALL_TIMEOUT_S
        if now < due:
            self.ctx.schedule(due, StreamStallTimer(call=number))
            return
        self.resume_elsewhere(now, call)

    def start(self, now: float, call: calls.Call, message: messages.Answer) -> None:
        """Start to forward a streamed answer, after its head and first part."""
        call.stream = calls.Stream(
            status=message.status,
            total=message.total,
            offset=len(message.body),
            etag=headers.get(message.headers, headers.ETAG),
            last_progress=now,
        )
        self.ctx.schedule(now + STALL_TIMEOUT_S, StreamStallTimer(call=call.number))

    def _call_for(self, envelope: messages.Envelope, attempt: int) -> calls.Call | None:
        call = self.attempts.by_attempt.get(attempt)
        if call is None or call.stream is None:
            self.ctx.count("late_answers", "part")
            return None
        if call.attempt.incarnation != envelope.incarnation:
            return None
        return call

    def resume_elsewhere(self, now: float, call: calls.Call) -> None:
        """Request the rest of an answer from another box, or abort the connection."""
        stream = call.stream
        if call.attempt is not None:
            # Boxes that failed earlier may be tried again, since the answer progressed.
            call.tried_boxes = [call.attempt.box]
            self.attempts.cancel(call)
        resume = stream.etag and stream.status == 200 and call.request.method == "GET"
        if not resume or stream.resumed_offset == stream.offset:
            self._abort(now, call)
            return
        call.deadline = max(call.deadline, now + STALL_TIMEOUT_S)
        if not self.retry_policy.try_spend(now, call):
            self._abort(now, call)
            return
        stream.resumed_offset = stream.offset
        stream.last_progress = now
        self.ctx.count("streams", "resumed")
        chosen = self.attempts.choose(now, call)
        if not isinstance(chosen, routing.Chosen):
            self._abort(now, call)
            return
        self.attempts.start(now, call, chosen.peer)

    def resume(self, now: float, call: calls.Call, message: messages.Answer) -> None:
        """Continue an answer with a range from another box, if the body is the same."""
        stream = call.stream
        received = headers.get(message.headers, headers.CONTENT_RANGE)
        expected = rf"bytes {stream.offset}-{stream.total - 1}/{stream.total}"
        same = headers.get(message.headers, headers.ETAG) == stream.etag
        if message.status != 206 or not same or not re.fullmatch(expected, received):
            self._abort(now, call)
            return
        stream.attempt_offset = stream.offset
        stream.offset += len(message.body)
        stream.last_progress = now
        self.ctx.emit(effects.PassPart(conn=call.conn, data=message.body))
        if stream.offset >= stream.total:
            self.attempts.finish(now, call, effects.Outcome.DONE, "", stream.status)

    def _abort(self, now: float, call: calls.Call) -> None:
        """Abort the connection of a caller whose answer can't be completed."""
        self.ctx.emit(effects.AbortCaller(conn=call.conn))
        self.ctx.count("streams", "aborted")
        if call.attempt is not None:
            self.attempts.cancel(call)
        reason = messages.Reason.TARGET_LOST
        self.attempts.finish(now, call, effects.Outcome.UNKNOWN, reason, 0)
