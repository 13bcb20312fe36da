"""The callers' calls in hand, and their attempts at the boxes that serve them.

Owns the tables of calls by connection, number and attempt. Relies on `routing` for
the choice of box, which it keeps informed of each attempt's beginning and end, and
on `intake`, which remembers of a key whether it may have run.
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
"""How often an attempt that takes long is looked at, seconds."""


@attrs.define(kw_only=True, frozen=True)
class AttemptTimer:
    """Time to look at an attempt that was not answered."""

    attempt: int


@attrs.define(kw_only=True)
class Attempts:
    """Begins and ends attempts, and ends the calls that they belong to."""

    ctx: context.Context
    router: routing.Router
    intake: intake.Intake
    by_conn: dict[int, calls.Call] = attrs.Factory(dict)
    by_number: dict[int, calls.Call] = attrs.Factory(dict)
    by_attempt: dict[int, calls.Call] = attrs.Factory(dict)

    def add(self, call: calls.Call) -> None:
        """Take a call in hand."""
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
        """Send an attempt to a box."""
        number = self.ctx.next_number()
        member = peer.member
        call.attempts += 1
        call.attempt = calls.Attempt(
            number=number,
            box=member.box,
            incarnation=member.incarnation,
            address=member.call_address,
            allowance=self._allowance_for_attempt(call),
        )
        self.by_attempt[number] = call
        self.router.attempt_sent(now, peer, number)
        remaining = call.remaining_s(now)
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
            remaining_ms=remaining * 1000,
            age_ms=(now - call.started) * 1000,
            once=not call.route.repeatable,
            key=call.key,
            caller=call.caller,
        )
        self.send(call.attempt, forward)

    def next_check(self, now: float, call: calls.Call) -> float:
        """Return when to look at an attempt again."""
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
        """Return the call that a reply belongs to, if it still waits for it.

        With `keep`, the attempt stays in hand while parts of its answer are due.
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
        """Wait no longer for the attempt in hand, which its box can't answer."""
        self.by_attempt.pop(call.attempt.number, None)
        self.router.attempt_abandoned(call.attempt.box, call.attempt.number)
        call.attempt = None

    def cancel(self, call: calls.Call) -> None:
        """Give up the attempt in hand; what it was handed counts as spent."""
        attempt = call.attempt
        if attempt is None:
            return
        self.abandon(call)
        if not call.cancelling:
            self.send(attempt, messages.Cancel(attempt=attempt.number))

    def send(self, attempt: calls.Attempt, message: messages.Message) -> None:
        """Send a message to the daemon that an attempt was sent to."""
        self.ctx.send(attempt.box, attempt.address, attempt.incarnation, message)

    def finish(
        self,
        now: float,
        call: calls.Call,
        outcome: effects.Outcome,
        reason: str,
        status: int,
    ) -> None:
        """End a call whose answer is out, and count it."""
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
        """Remove a call and its attempt from the tables."""
        self.by_conn.pop(call.conn, None)
        self.by_number.pop(call.number, None)
        if call.attempt is not None:
            self.by_attempt.pop(call.attempt.number, None)
            self.router.attempt_abandoned(call.attempt.box, call.attempt.number)

    def _allowance_for_attempt(self, call: calls.Call) -> int:
        """Return the part of the call's allowance that goes with an attempt."""
        if not self.ctx.policy.share_retry_allowance:
            return self.ctx.active.bundle.retry.allowance
        return call.allowance.take_child_share()
