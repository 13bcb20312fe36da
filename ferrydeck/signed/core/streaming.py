"""Long answers: passes their parts on, and resumes elsewhere if one breaks off.

A resumed answer is a range of the same body, which the entity tag proves. Relies
on `attempts` for the call's attempt and on `retry_policy` for what a resumption costs.
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

STREAM_STALL_TIMEOUT_S = 2.0
"""Time without a part after which the rest is asked of another box, seconds."""


@attrs.define(kw_only=True, frozen=True)
class StreamStallTimer:
    """Time to see whether a long answer still moves."""

    call: int


@attrs.define(kw_only=True)
class Streaming:
    """Passes long answers on, whole or not as whole ones."""

    ctx: context.Context
    attempts: attempts.Attempts
    retry_policy: retry_policy.RetryPolicy

    def handle_part(
        self, now: float, envelope: messages.Envelope, message: messages.Part
    ) -> None:
        """Pass on a further part of a long answer, if it is the next one."""
        call = self._find_call(envelope, message.attempt)
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
        """Go on elsewhere with a long answer that broke off."""
        call = self._find_call(envelope, message.attempt)
        if call is not None:
            self.resume_elsewhere(now, call)

    def check_stall(self, now: float, number: int) -> None:
        """Go on elsewhere with a long answer that has stopped moving."""
        call = self.attempts.by_number.get(number)
        if call is None or call.stream is None:
            return
        due = call.stream.last_progress + STREAM_STALL_TIMEOUT_S
        if now < due:
            self.ctx.schedule(due, StreamStallTimer(call=number))
            return
        self.resume_elsewhere(now, call)

    def start(self, now: float, call: calls.Call, message: messages.Answer) -> None:
        """Begin to pass a long answer on, after its head and first part."""
        call.stream = calls.Stream(
            status=message.status,
            total=message.total,
            offset=len(message.body),
            etag=headers.get(message.headers, headers.ETAG),
            last_progress=now,
        )
        self.ctx.schedule(
            now + STREAM_STALL_TIMEOUT_S, StreamStallTimer(call=call.number)
        )

    def _find_call(
        self, envelope: messages.Envelope, attempt: int
    ) -> calls.Call | None:
        call = self.attempts.by_attempt.get(attempt)
        if call is None or call.stream is None:
            self.ctx.count("late_answers", "part")
            return None
        if call.attempt.incarnation != envelope.incarnation:
            return None
        return call

    def resume_elsewhere(self, now: float, call: calls.Call) -> None:
        """Ask another box for the rest of a long answer, or end the connection."""
        stream = call.stream
        if call.attempt is not None:
            # A box that broke off earlier may be asked again: the body has grown.
            call.tried_boxes = [call.attempt.box]
            self.attempts.cancel(call)
        again = stream.etag and stream.status == 200 and call.request.method == "GET"
        if not again or stream.resumed_offset == stream.offset:
            self._abort(now, call)
            return
        call.deadline = max(call.deadline, now + STREAM_STALL_TIMEOUT_S)
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

    def handle_resumed(
        self, now: float, call: calls.Call, message: messages.Answer
    ) -> None:
        """Go on with a long answer from another box, if it is the same body."""
        stream = call.stream
        ranges = headers.get(message.headers, headers.CONTENT_RANGE)
        wanted = rf"bytes {stream.offset}-{stream.total - 1}/{stream.total}"
        same = headers.get(message.headers, headers.ETAG) == stream.etag
        if message.status != 206 or not same or not re.fullmatch(wanted, ranges):
            self._abort(now, call)
            return
        stream.attempt_offset = stream.offset
        stream.offset += len(message.body)
        stream.last_progress = now
        self.ctx.emit(effects.PassPart(conn=call.conn, data=message.body))
        if stream.offset >= stream.total:
            self.attempts.finish(now, call, effects.Outcome.DONE, "", stream.status)

    def _abort(self, now: float, call: calls.Call) -> None:
        """End the connection of a caller whose long answer can't be completed."""
        self.ctx.emit(effects.AbortCaller(conn=call.conn))
        self.ctx.count("streams", "aborted")
        if call.attempt is not None:
            self.attempts.cancel(call)
        reason = messages.Reason.TARGET_LOST
        self.attempts.finish(now, call, effects.Outcome.UNKNOWN, reason, 0)
