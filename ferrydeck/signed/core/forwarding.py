"""The callers' side: sends each call to a box, tries again, and answers.

`intake` makes a call of a request, `attempts` sends it, `retry_policy` decides what
follows an attempt that brought no answer, and `streaming` passes long answers on.
This module carries those decisions out and sends the callers' replies.
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
"""How much too early a timer may come by rounding, seconds."""
OVERLOAD_REASONS = frozenset(
    {
        messages.Reason.SHED_EARLY,
        messages.Reason.OVERLOAD,
        messages.Reason.EXPIRED,
        messages.Reason.NO_BOX,
    }
)
"""Reasons of load, by which requests on the parent's route would fail too."""


@attrs.define(kw_only=True, frozen=True)
class DeadlineTimer:
    """The caller has waited as long as it wanted."""

    call: int


@attrs.define(kw_only=True, frozen=True)
class RetryTimer:
    """Time to try a call again."""

    call: int


@attrs.define(kw_only=True)
class Forwarder:
    """Carries the calls that come in at this daemon to the boxes that serve them."""

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
        """Return whether no caller waits."""
        return not self.attempts.by_conn

    def handle_call(self, now: float, event: events.CallReceived) -> None:
        """Take a request of a caller."""
        made = self.intake.make_call(now, event)
        if isinstance(made, intake.Rejected):
            self._reject(event.conn, made)
            return
        if self.ctx.leaving and not event.local:
            self._reject_leaving(event.conn, made)
            return
        self.attempts.add(made)
        self.retry_policy.record_call(made.service)
        self.ctx.schedule(made.deadline, DeadlineTimer(call=made.number))
        self._start_attempt(now, made)

    def handle_answer(
        self, now: float, envelope: messages.Envelope, message: messages.Answer
    ) -> None:
        """Pass the answer of an attempt on to the caller."""
        call = self.attempts.match_reply(now, envelope, message, keep=True)
        if call is None:
            return
        call.allowance.refund(message.unused)
        if message.replayed and call.charged_as_retry and call.attempts == 1:
            # This sending cost one, and was answered from memory.
            call.allowance.refund(1)
        if call.stream is not None:
            self.streaming.handle_resumed(now, call, message)
            return
        self.ctx.emit(calls.target_response(call, envelope.box, message))
        if len(message.body) < message.total:
            self.streaming.start(now, call, message)
            return
        self.attempts.finish(now, call, effects.Outcome.DONE, "", message.status)

    def handle_refusal(
        self, now: float, envelope: messages.Envelope, message: messages.Refused
    ) -> None:
        """Act on an attempt that has not run and will not."""
        call = self.attempts.match_reply(now, envelope, message)
        if call is None:
            return
        call.allowance.refund(message.unused)
        self._after_rejection(now, call, envelope.box, message)

    def handle_uncertain(
        self, now: float, envelope: messages.Envelope, message: messages.Uncertain
    ) -> None:
        """Act on an attempt that may have run."""
        call = self.attempts.match_reply(now, envelope, message)
        if call is None:
            return
        call.may_have_run = True
        call.tried_boxes.append(envelope.box)
        decision = self.retry_policy.after_uncertain(now, call)
        self._apply_decision(
            now, call, decision, message.reason, message.retry_after_ms
        )

    def request_next_part(self, conn: int) -> None:
        """Have the next part sent, since the caller took one."""
        call = self.attempts.by_conn.get(conn)
        if call is None or call.attempt is None:
            return
        credit = messages.Credit(attempt=call.attempt.number)
        self.attempts.send(call.attempt, credit)

    def handle_unsent(self, now: float, box: str, message: messages.Message) -> None:
        """Act on a message that was not sent."""
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
        """Act on a lost connection: its attempts may have run, no answer will come."""
        hit = [
            call
            for call in self.attempts.by_attempt.values()
            if call.attempt is not None and call.attempt.address == address
        ]
        for call in hit:
            self.router.link_failed(now, call.attempt.box)
            if call.stream is not None:
                self.streaming.resume_elsewhere(now, call)
                continue
            self._after_lost_link(now, call)

    def handle_caller_gone(self, now: float, conn: int) -> None:
        """Drop the call of a caller that went away."""
        call = self.attempts.by_conn.get(conn)
        if call is None:
            return
        self.attempts.cancel(call)
        self.ctx.count("callers_gone", call.route.class_name)
        self.attempts.forget(call)

    def check_attempt(self, now: float, attempt: int) -> None:
        """Try elsewhere if the box is silent; cancel at the end of the time."""
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
        """Answer a caller whose time is over."""
        call = self.attempts.by_number.get(number)
        if call is None or call.stream is not None:
            return
        if call.attempt is not None or not call.route.repeatable:
            call.may_have_run = True
        self.attempts.cancel(call)
        self._give_up(now, call, messages.Reason.NO_ANSWER, self._retry_after_ms())

    def retry(self, now: float, number: int) -> None:
        """Try a call again whose pause is over."""
        call = self.attempts.by_number.get(number)
        if call is not None and call.attempt is None:
            self._start_attempt(now, call)

    def _start_attempt(self, now: float, call: calls.Call) -> None:
        """Send the call to a box, or give it up where there is none."""
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
        """Give up a call of which nothing was sent this time.

        An earlier sending of a key that must not run twice may have run.
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
        self._apply_decision(
            now, call, decision, message.reason, message.retry_after_ms
        )

    def _after_lost_link(self, now: float, call: calls.Call) -> None:
        box = call.attempt.box
        self.attempts.abandon(call)
        call.may_have_run = True
        call.tried_boxes.append(box)
        decision = self.retry_policy.after_lost_link(now, call)
        self._apply_decision(now, call, decision, messages.Reason.BOX_LOST)

    def _apply_decision(
        self,
        now: float,
        call: calls.Call,
        decision: retry_policy.Retry | retry_policy.GiveUp,
        reason: messages.Reason,
        retry_after_ms: int | None = None,
    ) -> None:
        """Try again or give up, as decided; without a time to return, draw one."""
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
        """Answer at once that the call was not run, or may have run."""
        outcome = effects.Outcome.NOT_RUN
        if call.may_have_run:
            outcome = effects.Outcome.UNKNOWN
        answer = calls.failure_response(
            call.conn, outcome, reason, retry_after_ms, call.attempts
        )
        self.ctx.emit(answer)
        self._lower_parent_level(now, call, reason)
        self.attempts.finish(now, call, outcome, reason, answer.status)

    def _lower_parent_level(
        self, now: float, call: calls.Call, reason: messages.Reason
    ) -> None:
        """Have the parent's route reject what would fail in this way too."""
        if not call.parent_path_key or reason not in OVERLOAD_REASONS:
            return
        level = self.router.admission_level(now, call.service, call.path_key)
        if level < call.priority:
            path_levels = self.intake.correlation.path_levels
            path_levels.record_nested_refusal(now, call.parent_path_key, level)

    def _reject(self, conn: int, rejected: intake.Rejected) -> None:
        """Answer a request that is no call."""
        outcome = effects.Outcome.NOT_RUN
        if rejected.may_have_run:
            outcome = effects.Outcome.UNKNOWN
        answer = calls.failure_response(
            conn, outcome, rejected.reason, self._retry_after_ms(), 0
        )
        self.ctx.emit(answer)
        self.ctx.emit(
            effects.CallFinished(
                conn=conn,
                class_name=rejected.class_name or "none",
                outcome=outcome,
                reason=rejected.reason,
                attempts=0,
                seconds=0.0,
                status=answer.status,
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
