"""The sans-I/O core of a daemon: dispatches events to its parts, returns effects."""

from __future__ import annotations

import random
from typing import Any

import attrs

from ferrydeck.signed import settings, signing
from ferrydeck.signed.core import (
    attempts,
    context,
    correlation,
    effects,
    events,
    forwarding,
    intake,
    jobs,
    keys,
    membership,
    policies,
    retry_after,
    rollout,
    routing,
    runs,
    serving,
    shards,
    streaming,
)
from ferrydeck.signed.wire import codec, messages

MIN_PAUSE_S = 0.25
"""Gap between two events from which the process counts as having been paused."""
PAUSE_EFFECT_S = 0.1
"""Time after a pause during which messages are assumed to be delayed by it."""
HEARTBEAT_INTERVAL_S = 0.1
"""Interval of the timer that keeps events coming, so that pauses are detected."""
LEAVE_CHECK_INTERVAL_S = 0.05


@attrs.define(kw_only=True, frozen=True)
class HeartbeatTimer:
    """Fires regularly, so that a pause shows as a gap between events."""


@attrs.define(kw_only=True, frozen=True)
class LeaveTimer:
    """The next check whether a leaving box has finished its work."""


@attrs.define(kw_only=True)
class Core:
    """The decisions of one daemon; it reads no clock and performs no I/O."""

    identity: context.Identity
    rng: random.Random
    signers: tuple[settings.Signer, ...] = ()
    signatures_needed: int = 1
    seeds: tuple[str, ...] = ()
    policy: policies.Policy = policies.Policy()
    ctx: context.Context = attrs.field(init=False)
    members: membership.Membership = attrs.field(init=False)
    router: routing.Router = attrs.field(init=False)
    shard_owner: shards.ShardOwner = attrs.field(init=False)
    serving: serving.Serving = attrs.field(init=False)
    forwarder: forwarding.Forwarder = attrs.field(init=False)
    rollout: rollout.Rollout = attrs.field(init=False)
    _last_event: float = 0.0
    _pause_s: float = 0.0
    _pause_effect_until: float = 0.0
    _stop_when_idle: bool = False
    _stopped: bool = False

    def __attrs_post_init__(self) -> None:
        ctx = context.Context(identity=self.identity, rng=self.rng, policy=self.policy)
        table = keys.KeyTable()
        runs_by_token = correlation.Correlation()
        self.ctx = ctx
        self.members = membership.Membership(ctx=ctx, seeds=self.seeds)
        self.router = routing.Router(ctx=ctx, members=self.members)
        self.shard_owner = shards.ShardOwner(ctx=ctx, members=self.members, table=table)
        self.serving = serving.Serving(
            ctx=ctx,
            owner=self.shard_owner,
            table=table,
            correlation=runs_by_token,
        )
        self.forwarder = forwarding.Forwarder(
            ctx=ctx,
            router=self.router,
            intake=intake.Intake(ctx=ctx, correlation=runs_by_token),
        )
        self.rollout = rollout.Rollout(
            ctx=ctx,
            members=self.members,
            signers=self.signers,
            signatures_needed=self.signatures_needed,
        )

    def start(self, now: float) -> list[effects.Effect]:
        """Start all parts and return the resulting effects."""
        self._last_event = now
        self.members.start(now)
        self.rollout.start(now)
        self.shard_owner.start(now)
        self.serving.start(now)
        self.ctx.schedule(now + HEARTBEAT_INTERVAL_S, HeartbeatTimer())
        return self._run_due_timers(now)

    def activate(self, now: float, verified: signing.Verified) -> list[effects.Effect]:
        """Activate a verified bundle without the platform."""
        self.ctx.active = context.make_active_bundle(verified)
        self.rollout.bundle_changed = True
        return self._run_due_timers(now)

    def handle(self, now: float, event: events.Event) -> list[effects.Effect]:
        """Handle an event and all due timers, and return the resulting effects."""
        self._detect_pause(now)
        self._on_event(now, event)
        return self._run_due_timers(now)

    def next_wake(self) -> float | None:
        """Return the time of the next timer, or `None`."""
        return self.ctx.timers[0][0] if self.ctx.timers else None

    @property
    def ready(self) -> bool:
        """Whether this daemon has an active bundle and isn't leaving."""
        return self.ctx.active is not None and not self.ctx.leaving

    def _detect_pause(self, now: float) -> None:
        """Record a pause of the process, during which messages were delayed."""
        gap_s = now - self._last_event
        self._last_event = now
        if gap_s > MIN_PAUSE_S:
            self._pause_s = gap_s
            self._pause_effect_until = now + PAUSE_EFFECT_S
            self.ctx.count("pauses", "loop")

    def _run_due_timers(self, now: float) -> list[effects.Effect]:
        self._process_pending(now)
        while (timer := self.ctx.pop_due_timer(now)) is not None:
            self._on_timer(now, timer)
            self._process_pending(now)
        pending, self.ctx.pending_effects = self.ctx.pending_effects, []
        return pending

    def _process_pending(self, now: float) -> None:
        """Apply a newly activated bundle and handle messages to itself."""
        if self.rollout.bundle_changed:
            self.rollout.bundle_changed = False
            self.serving.target.apply_bundle(now)
            self.shard_owner.apply_bundle(now)
            self.forwarder.retry_policy.budgets.clear()
        while self.ctx.loopback:
            self._on_message(now, self._own_envelope(now), self.ctx.loopback.popleft())

    def _on_event(self, now: float, event: events.Event) -> None:
        match event:
            case events.PeerReceived(received=received):
                self._on_peer(now, received)
            case events.CallReceived():
                self.forwarder.handle_call(now, event)
            case events.TargetHead():
                self.serving.runs.handle_head(now, event)
            case events.Wake():
                pass
            case events.PartPassed(conn=conn):
                self.forwarder.request_next_part(conn)
            case events.TargetPart():
                self.serving.runs.handle_part(now, event)
            case events.TargetFailed():
                self.serving.runs.handle_failure(now, event)
            case events.CallerGone(conn=conn):
                self.forwarder.handle_caller_gone(now, conn)
            case events.PeerBlocked(box=box, message=message):
                self.ctx.count("peer_blocked", type(message).__name__)
                self.forwarder.handle_unsent(now, box, message)
            case events.PeerLost(address=address):
                self.ctx.count("links", "lost")
                self.forwarder.handle_lost_link(now, address)
            case events.PlatformAnswered(request=request, result=result):
                self._on_platform(now, request, result)
            case events.StopAsked():
                self._leave(now, event)

    def _on_peer(self, now: float, received: codec.Received) -> None:
        envelope = received.envelope
        delay_s = self.members.message_received(now, envelope)
        if now < self._pause_effect_until:
            delay_s = max(delay_s, self._pause_s)
        self.router.message_received(now, envelope.box)
        self.rollout.message_received(now, envelope)
        if envelope.receiver not in (0, self.identity.incarnation):
            self._refuse_misaddressed(envelope, received.message)
            return
        self._on_message(now, envelope, received.message, delay_s)

    def _refuse_misaddressed(
        self, envelope: messages.Envelope, message: messages.Message
    ) -> None:
        """Drop a message to an earlier incarnation; refuse it if it is an attempt."""
        self.ctx.count("peer_messages_dropped", "incarnation")
        if not isinstance(message, messages.Forward):
            return
        refused = messages.Refused(
            attempt=message.attempt,
            reason=messages.Reason.INCARNATION,
            retry_after_ms=self.ctx.jittered_ms(retry_after.TARGET_REJECTED_S),
            unused=message.allowance,
            load=messages.Load(),
        )
        self.ctx.send(envelope.box, envelope.address, envelope.incarnation, refused)

    def _on_message(
        self,
        now: float,
        envelope: messages.Envelope,
        message: messages.Message,
        delay_s: float = 0.0,
    ) -> None:
        match message:
            case messages.Forward():
                self.serving.handle_forward(
                    now, sender_from(envelope), message, delay_s
                )
            case messages.Answer():
                self.forwarder.handle_answer(now, envelope, message)
            case messages.Refused():
                self.forwarder.handle_refusal(now, envelope, message)
            case messages.Uncertain():
                self.forwarder.handle_uncertain(now, envelope, message)
            case messages.Cancel(attempt=attempt):
                self.serving.handle_cancel(now, sender_from(envelope), attempt)
            case messages.Part():
                self.forwarder.streaming.handle_part(now, envelope, message)
            case messages.Credit():
                self.serving.handle_credit(now, sender_from(envelope), message)
            case messages.Broken():
                self.forwarder.streaming.handle_broken(now, envelope, message)
            case _:
                self._on_control(now, envelope, message)

    def _on_control(
        self, now: float, envelope: messages.Envelope, message: messages.Message
    ) -> None:
        match message:
            case messages.Hello(member=member):
                self.members.handle_hello(now, message)
                self.shard_owner.check_claims(now, member)
            case messages.Digest():
                self.members.handle_digest(now, envelope, message)
            case messages.Members(members=members):
                self.members.handle_members(now, message)
                for known in members:
                    self.shard_owner.check_claims(now, known.member)
            case messages.ListedLeaving(box=box, incarnation=incarnation):
                self.members.mark_listed_leaving(box, incarnation)
            case messages.BundleAsk():
                self.rollout.send_bundle(envelope.box)
            case messages.BundleGive(raw=raw):
                self.rollout.offer(now, raw, envelope.box)
            case messages.ShardHand():
                self.shard_owner.handle_table_part(now, envelope.box, message)
            case messages.ShardTaken():
                self.shard_owner.handle_table_confirmed(now, envelope.box, message)
            case messages.ShardYours():
                self.shard_owner.handle_ownership_notice(now, message)

    def _on_platform(self, now: float, request: Any, result: Any) -> None:
        if self.rollout.handle_platform_result(now, request, result):
            return
        if not self.shard_owner.handle_result(now, request, result):
            self.ctx.count("platform_faults", "unasked")

    def _on_timer(self, now: float, timer: Any) -> None:
        match timer:
            case attempts.AttemptTimer(attempt=attempt):
                self.forwarder.check_attempt(now, attempt)
            case forwarding.DeadlineTimer(call=call):
                self.forwarder.handle_deadline(now, call)
            case forwarding.RetryTimer(call=call):
                self.forwarder.retry(now, call)
            case streaming.StreamStallTimer(call=call):
                self.forwarder.streaming.check_stall(now, call)
            case serving.ExpiryTimer():
                self.serving.expire_jobs(now)
            case runs.StallTimer(dispatch=dispatch):
                self.serving.runs.check_stall(now, dispatch)
            case membership.DigestTimer():
                self.members.run_digest_round(now)
            case shards.LeaseTimer():
                self.shard_owner.renew(now)
            case shards.RebalanceTimer():
                self.shard_owner.rebalance(now)
            case rollout.WatchTimer():
                self.rollout.watch(now)
            case rollout.PeerWaitTimer():
                self.rollout.end_peer_wait(now)
            case rollout.BoxListTimer():
                self.rollout.read_box_list(now)
            case HeartbeatTimer():
                self.ctx.schedule(now + HEARTBEAT_INTERVAL_S, HeartbeatTimer())
            case LeaveTimer():
                self._stop_if_idle(now)

    def _leave(self, now: float, event: events.StopAsked) -> None:
        """Start leaving: announce it to all peers and wait for the work to finish."""
        self._stop_when_idle |= event.end
        if not self.ctx.leaving:
            self.ctx.leaving = True
            self.ctx.audit("leaving", event.reason)
            self.members.update_own_record(now, state=messages.State.LEAVING)
            for peer in self.members.peers.values():
                self.members.send(peer, messages.Hello(member=self.members.own))
        self.ctx.schedule(now + LEAVE_CHECK_INTERVAL_S, LeaveTimer())

    def _stop_if_idle(self, now: float) -> None:
        idle = (
            self.forwarder.idle
            and self.serving.idle
            and self.shard_owner.can_leave(now)
        )
        if not idle:
            self.ctx.schedule(now + LEAVE_CHECK_INTERVAL_S, LeaveTimer())
            return
        if self._stop_when_idle and not self._stopped:
            self._stopped = True
            self.ctx.audit("left", "no requests in flight, no shards left to hand over")
            self.ctx.emit(effects.Ended())

    def _own_envelope(self, now: float) -> messages.Envelope:
        return messages.Envelope(
            protocol=messages.PROTOCOL,
            cluster=self.identity.cluster,
            kind="",
            box=self.identity.box,
            incarnation=self.identity.incarnation,
            address=self.identity.address,
            receiver=self.identity.incarnation,
            bundle=self.rollout.version,
            sent=now,
            body=codec.EMPTY_BODY,
        )


def sender_from(envelope: messages.Envelope) -> jobs.Sender:
    """Return the sender of a message from its envelope."""
    return jobs.Sender(
        box=envelope.box, incarnation=envelope.incarnation, address=envelope.address
    )
