"""The calls in progress and their attempts.

Keeps calls by connection, number and attempt. Reports the start and end of each
attempt to `routing`, and the outcome of each call to `intake`.
"""

from __future__ import annotations

import attrs

from ferrydeck.signed.core import (
    calls,
    context,
    effects,
    intake,
    keys,
    membership,
    routing,
)
from ferrydeck.signed.wire import messages

CHECK_INTERVAL_S = 0.25
"""Interval of the checks whether an attempt's box is unresponsive."""


@attrs.define(kw_only=True, frozen=True)
class AttemptTimer:
    """An unanswered attempt is due for a check."""

    attempt: int


@attrs.define(kw_only=True)
class Attempts:
    """Starts and ends attempts and finishes calls."""

    ctx: context.Context
    router: routing.Router
    intake: intake.Intake
    by_conn: dict[int, calls.Call] = attrs.Factory(dict)
    by_number: dict[int, calls.Call] = attrs.Factory(dict)
    by_attempt: dict[int, calls.Call] = attrs.Factory(dict)

    def add(self, call: calls.Call) -> None:
        """Add a new call."""
        self.by_conn[call.conn] = call
        self.by_number[call.number] = call

    def choose(
        self, now: float, call: calls.Call
    ) -> routing.Chosen | routing.Shed | routing.NoBox:
        """Choose the box for the next attempt."""
        if call.route.repeatable:
            return self.router.choose(
                now,
                call.service,
                call_priority=call.priority,
                path_key=call.path_key,
                tried=call.tried_boxes,
            )
        hint, call.owner_hint = call.owner_hint, ""
        return self.router.choose_owner(
            call.service,
            keys.shard_of(call.key),
            hint=hint,
            tried=call.tried_boxes,
        )

    def start(self, now: float, call: calls.Call, peer: membership.Peer) -> None:
        """Start an attempt at a box."""
        number = self.ctx.next_number()
        member = peer.member
        call.attempts += 1
        call.attempt = calls.Attempt(
            number=number,
            box=member.box,
            incarnation=member.incarnation,
            address=member.call_address,
            allowance=self._take_allowance(call),
        )
        self.by_attempt[number] = call
        self.router.attempt_sent(now, peer, number)
        remaining_s = call.remaining_s(now)
        self.ctx.schedule(self.next_check(now, call), AttemptTimer(attempt=number))
        forward = messages.Forward(
            attempt=number,
            service=call.service,
            method=call.request.method,
            path=call.path,
            headers=calls.forwarded_headers(call),
            body=call.request.body,
            request_id=call.request_id,
            priority=call.priority,
            depth=call.depth,
            allowance=call.attempt.allowance,
            remaining_ms=remaining_s * 1000,
            age_ms=(now - call.started) * 1000,
            once=not call.route.repeatable,
            key=call.key,
            caller=call.caller,
        )
        self.send(call.attempt, forward)

    def next_check(self, now: float, call: calls.Call) -> float:
        """Return when to check an attempt again."""
        if not call.route.repeatable:
            return call.cancel_at
        return min(call.cancel_at, now + CHECK_INTERVAL_S)

    def match_reply(
        self,
        now: float,
        envelope: messages.Envelope,
        message: messages.Answer | messages.Refused | messages.Uncertain,
        *,
        keep: bool = False,
    ) -> calls.Call | None:
        """End an attempt and return its call, or `None` for a late reply.

        With `keep`, the attempt stays open while parts of its answer are outstanding.
        """
        call = self.by_attempt.get(message.attempt)
        attempt = call.attempt if call is not None else None
        if attempt is None or attempt.head_received:
            self.ctx.count("late_answers", "peer")
            return None
        if (attempt.box, attempt.incarnation) != (envelope.box, envelope.incarnation):
            self.ctx.count("late_answers", "foreign")
            return None
        self.router.attempt_ended(
            now, envelope.box, message.attempt, message.load, call.path_key
        )
        attempt.head_received = keep and len(message.body) < message.total
        if not attempt.head_received:
            del self.by_attempt[message.attempt]
            call.attempt = None
        return call

    def abandon(self, call: calls.Call) -> None:
        """End the current attempt without a reply."""
        self.by_attempt.pop(call.attempt.number, None)
        self.router.attempt_abandoned(call.attempt.box, call.attempt.number)
        call.attempt = None

    def cancel(self, call: calls.Call) -> None:
        """Cancel the current attempt; the allowance passed with it counts as spent."""
        attempt = call.attempt
        if attempt is None:
            return
        self.abandon(call)
        if not call.cancelling:
            self.send(attempt, messages.Cancel(attempt=attempt.number))

    def send(self, attempt: calls.Attempt, message: messages.Message) -> None:
        """Send a message to the box of an attempt."""
        self.ctx.send(attempt.box, attempt.address, attempt.incarnation, message)

    def finish(
        self,
        now: float,
        call: calls.Call,
        outcome: effects.Outcome,
        reason: str,
        status: int,
    ) -> None:
        """Remove a call that was answered and report its outcome."""
        if outcome is not effects.Outcome.NOT_RUN:
            self.intake.record_outcome(call, True)
        self.forget(call)
        self.ctx.emit(
            effects.CallFinished(
                conn=call.conn,
                class_name=call.route.class_name,
                outcome=outcome,
                reason=reason,
                attempts=call.attempts,
                seconds=now - call.started,
                status=status,
            )
        )

    def forget(self, call: calls.Call) -> None:
        """Remove a call and its current attempt."""
        self.by_conn.pop(call.conn, None)
        self.by_number.pop(call.number, None)
        if call.attempt is not None:
            self.by_attempt.pop(call.attempt.number, None)
            self.router.attempt_abandoned(call.attempt.box, call.attempt.number)

    def _take_allowance(self, call: calls.Call) -> int:
        """Take the share of the call's allowance that is passed with an attempt."""
        if not self.ctx.policy.share_retry_allowance:
            return self.ctx.active.bundle.retry.allowance
        return call.allowance.take_child_share()
