"""The caller side: forwards calls to boxes, retries them and answers the callers.

`intake` turns requests into calls, `attempts` sends them, `retry_policy` decides
about retries and `streaming` relays long response bodies. This module applies their
decisions.
"""

from __future__ import annotations

import attrs

from ferrydeck.signed.core import (
    attempts,
    calls,
    context,
    effects,
    events,
    intake,
    retry_after,
    retry_policy,
    routing,
    streaming,
)
from ferrydeck.signed.wire import messages

TIMER_TOLERANCE_S = 1e-6
"""How early a timer may fire because of rounding, in seconds."""
OVERLOAD_REASONS = frozenset(
    {
        messages.Reason.SHED_EARLY,
        messages.Reason.OVERLOAD,
        messages.Reason.EXPIRED,
        messages.Reason.NO_BOX,
    }
)
"""Reasons that other requests on the parent's route would fail with too."""


@attrs.define(kw_only=True, frozen=True)
class DeadlineTimer:
    """The deadline of a call has passed."""

    call: int


@attrs.define(kw_only=True, frozen=True)
class RetryTimer:
    """The delay before a retry has passed."""

    call: int


@attrs.define(kw_only=True)
class Forwarder:
    """Forwards the calls received by this daemon to the boxes that serve them."""

    ctx: context.Context
    router: routing.Router
    intake: intake.Intake
    attempts: attempts.Attempts = attrs.field(init=False)
    retry_policy: retry_policy.RetryPolicy = attrs.field(init=False)
    streaming: streaming.Streaming = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.attempts = attempts.Attempts(
            ctx=self.ctx, router=self.router, intake=self.intake
        )
        self.retry_policy = retry_policy.RetryPolicy(ctx=self.ctx, router=self.router)
        self.streaming = streaming.Streaming(
            ctx=self.ctx, attempts=self.attempts, retry_policy=self.retry_policy
        )

    @property
    def idle(self) -> bool:
        """Whether no calls are in progress."""
        return not self.attempts.by_conn

    def handle_call(self, now: float, event: events.CallReceived) -> None:
        """Accept or reject a caller's request."""
        call = self.intake.admit(now, event)
        if isinstance(call, intake.Rejected):
            self._reject(event.conn, call)
            return
        if self.ctx.leaving and not event.local:
            self._reject_leaving(event.conn, call)
            return
        self.attempts.add(call)
        self.retry_policy.record_call(call.service)
        self.ctx.schedule(call.deadline, DeadlineTimer(call=call.number))
        self._start_attempt(now, call)

    def handle_answer(
        self, now: float, envelope: messages.Envelope, message: messages.Answer
    ) -> None:
        """Return the answer to an attempt to the caller."""
        call = self.attempts.match_reply(now, envelope, message, keep=True)
        if call is None:
            return
        call.allowance.refund(message.unused)
        if message.replayed and call.charged_as_retry and call.attempts == 1:
            # The resend was charged as a retry but did not run again.
            call.allowance.refund(1)
        if call.stream is not None:
            self.streaming.resume(now, call, message)
            return
        self.ctx.emit(calls.response(call, envelope.box, message))
        if len(message.body) < message.total:
            self.streaming.start(now, call, message)
            return
        self.attempts.finish(now, call, effects.Outcome.DONE, "", message.status)

    def handle_refusal(
        self, now: float, envelope: messages.Envelope, message: messages.Refused
    ) -> None:
        """Retry or give up after an attempt that has not run and never will."""
        call = self.attempts.match_reply(now, envelope, message)
        if call is None:
            return
        call.allowance.refund(message.unused)
        self._after_rejection(now, call, envelope.box, message)

    def handle_uncertain(
        self, now: float, envelope: messages.Envelope, message: messages.Uncertain
    ) -> None:
        """Retry or give up after an attempt that may have run."""
        call = self.attempts.match_reply(now, envelope, message)
        if call is None:
            return
        call.may_have_run = True
        call.tried_boxes.append(envelope.box)
        decision = self.retry_policy.after_uncertain(now, call)
        self._apply(now, call, decision, message.reason, message.retry_after_ms)

    def request_next_part(self, conn: int) -> None:
        """Grant credit for the next part after one was sent to the caller."""
        call = self.attempts.by_conn.get(conn)
        if call is None or call.attempt is None:
            return
        credit = messages.Credit(attempt=call.attempt.number)
        self.attempts.send(call.attempt, credit)

    def handle_unsent(self, now: float, box: str, message: messages.Message) -> None:
        """Retry or give up after an attempt that could not be sent."""
        if not isinstance(message, messages.Forward):
            return
        self.router.link_failed(now, box)
        call = self.attempts.by_attempt.get(message.attempt)
        if call is None:
            return
        self.attempts.abandon(call)
        call.allowance.refund(message.allowance)
        rejected = messages.Refused(
            attempt=message.attempt,
            reason=messages.Reason.NOT_SENT,
            retry_after_ms=self._retry_after_ms(),
            unused=0,
            load=messages.Load(),
        )
        self._after_rejection(now, call, box, rejected)

    def handle_lost_link(self, now: float, address: str) -> None:
        """Fail the attempts on a lost connection, which may have run."""
        affected = [
            call
            for call in self.attempts.by_attempt.values()
            if call.attempt is not None and call.attempt.address == address
        ]
        for call in affected:
            self.router.link_failed(now, call.attempt.box)
            if call.stream is not None:
                self.streaming.resume_elsewhere(now, call)
                continue
            self._after_lost_link(now, call)

    def handle_caller_gone(self, now: float, conn: int) -> None:
        """Cancel the call of a caller that disconnected."""
        call = self.attempts.by_conn.get(conn)
        if call is None:
            return
        self.attempts.cancel(call)
        self.ctx.count("callers_gone", call.route.class_name)
        self.attempts.forget(call)

    def check_attempt(self, now: float, attempt: int) -> None:
        """Cancel an overdue attempt, or retry elsewhere if its box is unresponsive."""
        call = self.attempts.by_attempt.get(attempt)
        if call is None or call.stream is not None or call.cancelling:
            return
        if now >= call.cancel_at - TIMER_TOLERANCE_S:
            call.cancelling = True
            self.attempts.send(call.attempt, messages.Cancel(attempt=attempt))
            return
        if self.retry_policy.leaves_unresponsive_box(now, call):
            call.may_have_run = True
            call.tried_boxes.append(call.attempt.box)
            self.attempts.cancel(call)
            self._start_attempt(now, call)
            return
        timer = attempts.AttemptTimer(attempt=attempt)
        self.ctx.schedule(self.attempts.next_check(now, call), timer)

    def handle_deadline(self, now: float, number: int) -> None:
        """Answer a caller whose deadline has passed."""
        call = self.attempts.by_number.get(number)
        if call is None or call.stream is not None:
            return
        if call.attempt is not None or not call.route.repeatable:
            call.may_have_run = True
        self.attempts.cancel(call)
        self._give_up(now, call, messages.Reason.NO_ANSWER, self._retry_after_ms())

    def retry(self, now: float, number: int) -> None:
        """Start the next attempt after the retry delay."""
        call = self.attempts.by_number.get(number)
        if call is not None and call.attempt is None:
            self._start_attempt(now, call)

    def _start_attempt(self, now: float, call: calls.Call) -> None:
        """Send the call to a box, or give up if none is available."""
        if call.remaining_s(now) <= 0:
            self._give_up_unsent(now, call, messages.Reason.EXPIRED)
            return
        match self.attempts.choose(now, call):
            case routing.Chosen(peer=peer):
                self.attempts.start(now, call, peer)
            case routing.Shed():
                self._give_up_unsent(now, call, messages.Reason.SHED_EARLY)
            case routing.NoBox():
                self._give_up_unsent(now, call, messages.Reason.NO_BOX)

    def _give_up_unsent(
        self, now: float, call: calls.Call, reason: messages.Reason
    ) -> None:
        """Give up a call before an attempt is sent.

        An earlier request with the key of a non-repeatable call may have run.
        """
        call.may_have_run |= not call.route.repeatable
        self._give_up(now, call, reason, self._retry_after_ms())

    def _after_rejection(
        self, now: float, call: calls.Call, box: str, message: messages.Refused
    ) -> None:
        if call.stream is not None:
            self.streaming.resume_elsewhere(now, call)
            return
        if message.reason not in retry_policy.OWNER_CHANGE_REASONS:
            call.tried_boxes.append(box)
        call.owner_hint = message.owner
        decision = self.retry_policy.after_rejection(now, call, box, message.reason)
        self._apply(now, call, decision, message.reason, message.retry_after_ms)

    def _after_lost_link(self, now: float, call: calls.Call) -> None:
        box = call.attempt.box
        self.attempts.abandon(call)
        call.may_have_run = True
        call.tried_boxes.append(box)
        decision = self.retry_policy.after_lost_link(now, call)
        self._apply(now, call, decision, messages.Reason.BOX_LOST)

    def _apply(
        self,
        now: float,
        call: calls.Call,
        decision: retry_policy.Retry | retry_policy.GiveUp,
        reason: messages.Reason,
        retry_after_ms: int | None = None,
    ) -> None:
        """Retry or give up; a missing `retry_after_ms` is drawn at random."""
        match decision:
            case retry_policy.Retry(delay_s=0.0):
                self._start_attempt(now, call)
            case retry_policy.Retry(delay_s=delay_s):
                self.ctx.schedule(now + delay_s, RetryTimer(call=call.number))
            case retry_policy.GiveUp(may_have_run=may_have_run):
                call.may_have_run |= may_have_run
                if retry_after_ms is None:
                    retry_after_ms = self._retry_after_ms()
                self._give_up(now, call, reason, retry_after_ms)

    def _give_up(
        self,
        now: float,
        call: calls.Call,
        reason: messages.Reason,
        retry_after_ms: int,
    ) -> None:
        """Answer that the call was not run, or that its outcome is unknown."""
        outcome = effects.Outcome.NOT_RUN
        if call.may_have_run:
            outcome = effects.Outcome.UNKNOWN
        response = calls.failure_response(
            call.conn, outcome, reason, retry_after_ms, call.attempts
        )
        self.ctx.emit(response)
        self._lower_parent_level(now, call, reason)
        self.attempts.finish(now, call, outcome, reason, response.status)

    def _lower_parent_level(
        self, now: float, call: calls.Call, reason: messages.Reason
    ) -> None:
        """Make the parent's route reject requests whose nested calls would be shed."""
        if not call.parent_path_key or reason not in OVERLOAD_REASONS:
            return
        level = self.router.admission_level(now, call.service, call.path_key)
        if level < call.priority:
            path_levels = self.intake.correlation.path_levels
            path_levels.record_nested_refusal(now, call.parent_path_key, level)

    def _reject(self, conn: int, rejected: intake.Rejected) -> None:
        """Answer a request that was rejected before it became a call."""
        outcome = effects.Outcome.NOT_RUN
        if rejected.may_have_run:
            outcome = effects.Outcome.UNKNOWN
        response = calls.failure_response(
            conn, outcome, rejected.reason, self._retry_after_ms(), 0
        )
        self.ctx.emit(response)
        self.ctx.emit(
            effects.CallFinished(
                conn=conn,
                class_name=rejected.class_name or "none",
                outcome=outcome,
                reason=rejected.reason,
                attempts=0,
                seconds=0.0,
                status=response.status,
            )
        )

    def _reject_leaving(self, conn: int, call: calls.Call) -> None:
        self._reject(
            conn,
            intake.Rejected(
                reason=messages.Reason.LEAVING,
                class_name=call.route.class_name,
                may_have_run=not call.route.repeatable,
            ),
        )

    def _retry_after_ms(self) -> int:
        return self.ctx.jittered_ms(retry_after.ENTRY_REJECTED_S)
