"""The sans-I/O core of a daemon: takes events with a timestamp and returns effects.

Owns the components of the daemon and dispatches each event, timer and message to one of
them. The driver supplies the time and carries out the effects.
"""

from __future__ import annotations

import random
from typing import Any

import attrs

from ferrydeck.mesh import context, effects, events, messages, shutdown, switches
from ferrydeck.mesh.inbound import (
    body_assembly,
    heartbeats,
    inbound,
    inbound_request,
    rate_limit_exchange,
    request_queue,
    retry_exchange,
    streamed_answers,
    target_watch,
)
from ferrydeck.mesh.members import (
    failure_detector,
    incoming_links,
    peer_table,
    peers,
    policy_distribution,
    registry,
)
from ferrydeck.mesh.outbound import (
    attempt_results,
    balancing,
    outbound,
    request_builder,
)
from ferrydeck.mesh.poison import crash_detection, records, tracker
from ferrydeck.mesh.teams import access, policy_freshness, quota, quota_exchange

MAX_DISCOVERY_S = 0.7
"""Longest time that a starting daemon waits for links to all others before it reports
ready, seconds."""
MAX_LOOP_DELAY_S = failure_detector.SUSPECT_TIMEOUT_S
"""Longest time without any event after which this daemon still takes itself as having
run all the time, seconds; after a longer one, others may have acted in its place."""


@attrs.define(kw_only=True)
class Core:
    """Decision logic of one daemon; reads no clock and performs no I/O."""

    identity: context.Identity
    rng: random.Random
    limits: context.Limits = context.Limits()
    switches: switches.Switches = switches.Switches()
    seeds: tuple[str, ...] = ()
    ctx: context.Context = attrs.field(init=False)
    peers: peer_table.PeerTable = attrs.field(init=False)
    inbound: inbound.Inbound = attrs.field(init=False)
    body_assembly: body_assembly.BodyAssembly = attrs.field(init=False)
    outbound: outbound.Outbound = attrs.field(init=False)
    registry: registry.Registry = attrs.field(init=False)
    policy_freshness: policy_freshness.PolicyFreshness = attrs.field(init=False)
    quota_exchange: quota_exchange.QuotaExchange = attrs.field(init=False)
    heartbeats: heartbeats.Heartbeats = attrs.field(init=False)
    incoming_links: incoming_links.IncomingLinks = attrs.field(init=False)
    policies: policy_distribution.PolicyDistribution = attrs.field(init=False)
    retry_exchange: retry_exchange.RetryExchange = attrs.field(init=False)
    rate_limit_exchange: rate_limit_exchange.RateLimitExchange = attrs.field(init=False)
    shutdown: shutdown.Shutdown = attrs.field(init=False)
    _started: float = 0.0
    _handled_at: float = float("inf")
    """When the last event was handled; at least one timer is due every 0.1 s."""

    def __attrs_post_init__(self) -> None:
        ctx = context.Context(
            identity=self.identity,
            rng=self.rng,
            limits=self.limits,
            switches=self.switches,
        )
        self.ctx = ctx
        self.peers = peer_table.PeerTable(ctx=ctx)
        self.incoming_links = incoming_links.IncomingLinks(ctx=ctx)
        suspects = tracker.PoisonTracker(
            ctx=ctx, records=records.SuspectRecords(), send_reports=self._send_suspects
        )
        self.inbound = inbound.Inbound(
            ctx=ctx,
            reply=self._reply,
            announce=self._send_state,
            announce_rate_limit=self._send_rate_limit,
            suspects=suspects,
        )
        self.body_assembly = body_assembly.BodyAssembly(
            ctx=ctx, inbound=self.inbound, send=self.incoming_links.send
        )
        self.policy_freshness = policy_freshness.PolicyFreshness(
            ttl_s=self.limits.revoke_s
        )
        quota_enforcer = quota.QuotaEnforcer(rng=self.rng)
        self.quota_exchange = quota_exchange.QuotaExchange(
            ctx=ctx, peers=self.peers, quota_enforcer=quota_enforcer
        )
        self.outbound = outbound.Outbound(
            ctx=ctx,
            builder=request_builder.RequestBuilder(ctx=ctx, inbound=self.inbound),
            peers=self.peers,
            picker=balancing.Picker(ctx=ctx, peers=self.peers, inbound=self.inbound),
            inbound=self.inbound,
            access=access.AccessControl(
                ctx=ctx,
                policy_freshness=self.policy_freshness,
                quota_enforcer=quota_enforcer,
            ),
        )
        self.heartbeats = heartbeats.Heartbeats(
            ctx=ctx, peers=self.peers, inbound=self.inbound
        )
        self.policies = policy_distribution.PolicyDistribution(
            ctx=ctx,
            peers=self.peers,
            incoming_links=self.incoming_links,
            inbound=self.inbound,
            splits=self.outbound.builder.splits,
            policy_freshness=self.policy_freshness,
            quota_exchange=self.quota_exchange,
        )
        self.retry_exchange = retry_exchange.RetryExchange(
            ctx=ctx,
            peers=self.peers,
            budget=self.inbound.retry_budget,
        )
        self.rate_limit_exchange = rate_limit_exchange.RateLimitExchange(
            ctx=ctx,
            peers=self.peers,
            incoming_links=self.incoming_links,
            limit=self.inbound.rate_limit,
        )
        self.shutdown = shutdown.Shutdown(
            ctx=ctx,
            inbound=self.inbound,
            outbound=self.outbound,
            body_assembly=self.body_assembly,
        )
        self.registry = registry.Registry(
            ctx=ctx,
            on_policy=self.policies.apply,
            on_records=self.peers.replace_records,
            data_centre_rank=self.peers.data_centre_rank,
            any_link_up=self.peers.any_link_up,
            is_partitioned=self.peers.is_partitioned,
            policy_freshness=self.policy_freshness,
        )

    def start(self, now: float) -> list[effects.Effect]:
        """Start the components; return the resulting effects."""
        self._started = now
        self.quota_exchange.quota_enforcer.started_at = now
        self.inbound.target.start(now)
        self.add_seeds(now, self.seeds)
        self.peers.start(now)
        self.outbound.start(now)
        self.registry.start(now)
        return self._take_effects(now)

    def add_seeds(self, now: float, seeds: tuple[str, ...]) -> None:
        """Add the daemons at the addresses that the settings list as seeds."""
        for seed in seeds:
            self.peers.add_address(now, seed)

    def handle(self, now: float, event: events.Event) -> list[effects.Effect]:
        """Process an event and all due timers; return the resulting effects."""
        self._notice_pause(now)
        self._on_event(now, event)
        if self.body_assembly.memory.freed:
            self.body_assembly.request_bodies()
        return self._take_effects(now)

    def next_wake(self) -> float | None:
        """Return the time of the next timer, or `None` if there is none."""
        return self.ctx.next_wake()

    def ready(self, now: float) -> bool:
        """Return whether this daemon is ready for requests from callers."""
        if self.ctx.policy is None or self.ctx.stopping:
            return False
        if self.ctx.policy.teams and not self.policy_freshness.is_fresh(now):
            # Without a fresh policy, requests with API keys would be rejected here.
            return False
        if now - self._started >= MAX_DISCOVERY_S:
            return True
        return self.registry.records_read and self._all_linked()

    def _notice_pause(self, now: float) -> None:
        """Notice that this process did not run for some time.

        What others sent meanwhile is not read yet, so nothing follows from not having
        received it: state that is inferred from silence is as old as before the pause.
        """
        pause_s, self._handled_at = now - self._handled_at, now
        if pause_s <= MAX_LOOP_DELAY_S:
            return
        self.ctx.note("resumed", pause_ms=round(1000 * pause_s))
        self.peers.resumed(pause_s)
        self.quota_exchange.resumed(now, pause_s - MAX_LOOP_DELAY_S)
        self.inbound.resumed(now, pause_s)

    def _all_linked(self) -> bool:
        known = self.peers.by_address.values()
        return all(peer.link is peers.LinkState.UP for peer in known)

    def _take_effects(self, now: float) -> list[effects.Effect]:
        while (timer := self.ctx.pop_due_timer(now)) is not None:
            self._on_timer(now, timer)
        out, self.ctx.pending_effects = self.ctx.pending_effects, []
        return out

    def _on_event(self, now: float, event: events.Event) -> None:
        match event:
            case events.RequestReceived():
                self.outbound.request_received(now, event)
            case events.OutgoingLinkMessage(address=address, message=message):
                self._on_outgoing(now, address, message)
            case events.IncomingLinkMessage(link=link, message=message):
                self._on_incoming(now, link, message)
            case events.BodySent(address=address, number=number):
                self.outbound.attempts.body_sent(address, number)
            case events.TargetAnswered():
                self.inbound.target_answered(now, event)
            case events.TargetAnswerPart():
                self.inbound.target_answer_part(now, event)
            case events.TargetFailed():
                self.inbound.crashes.request_failed(now, event)
            case events.CallerDisconnected(conn=conn):
                self.outbound.caller_disconnected(now, conn)
            case events.AnswerBytesSent(conn=conn, size=size):
                self.outbound.caller_read(now, conn, size)
            case events.OutgoingLinkUp(address=address):
                self.peers.link_up(now, address)
            case events.OutgoingLinkDown(address=address):
                self._outgoing_link_down(now, address)
            case events.IncomingLinkDown(link=link):
                self.incoming_links.remove(link)
                self.body_assembly.link_down(link)
                self.inbound.control.link_down(now, link)
            case events.ProbeAnswered():
                self.inbound.crashes.probe_answered(now, event)
            case events.Heartbeat():
                self.heartbeats.on_heartbeat(now, event)
            case events.StoreAnswered(request=request, result=result, era=era):
                self.registry.answer_received(now, request, result, era)
            case events.PolicyRead(policy=new, source=source):
                self.policies.apply(now, new, source)
            case events.StopRequested():
                self.shutdown.begin(now)
            case events.TimersDue():
                pass

    def _on_timer(self, now: float, timer: Any) -> None:
        match timer:
            case outbound.DeadlineTimer(number=number):
                self.outbound.deadline_reached(now, number)
            case outbound.TargetSearchTimer(number=number):
                self.outbound.retry_search(now, number)
            case outbound.SilenceCheckTimer():
                self.outbound.check_silent_boxes(now)
            case request_queue.QueueTimer() | streamed_answers.StallTimer():
                self.inbound.timer_due(now, timer)
            case crash_detection.VerdictTimer():
                self.inbound.crashes.resolve_lost_runs(now)
            case tracker.ClearedReportTimer():
                self.inbound.suspects.report_cleared()
            case target_watch.ProbeTimer():
                self.inbound.target.probe(now)
            case peer_table.LinkCheckTimer():
                self._check_links(now)
                self.registry.step(now)
            case quota_exchange.QuotaReportTimer():
                self.quota_exchange.send_reports(now)
            case heartbeats.RelayTimer(number=number):
                self.heartbeats.end_relay(number, accepted=False)
            case shutdown.ShutdownTimer():
                self.shutdown.check(now)

    def _check_links(self, now: float) -> None:
        # Until then, the number of targets may be too low.
        if self.registry.records_read and now - self._started >= MAX_DISCOVERY_S:
            restarted_at = self._started if self.registry.has_restarted else None
            self.retry_exchange.update_target_count(restarted_at)
        self.body_assembly.check(now)
        self.rate_limit_exchange.tick()
        self.retry_exchange.tick(now)
        linked = [peer for peer in self.peers.by_address.values() if peer.in_flight]
        self.peers.check_links(now)
        self.policies.refresh_confirmation(now)
        for peer in linked:
            if peer.link is peers.LinkState.DOWN:
                self.outbound.link_down(now, peer)

    def _outgoing_link_down(self, now: float, address: str) -> None:
        peer = self.peers.link_down(now, address)
        if peer is not None:
            self.outbound.link_down(now, peer)

    def _on_outgoing(
        self, now: float, address: str, message: messages.AnyMessage
    ) -> None:
        """Process a message that arrived on an outgoing link."""
        peer = self.peers.message_received(now, address)
        if peer is None:
            return
        match message:
            case (
                messages.Answer()
                | messages.AnswerPart()
                | messages.Rejected()
                | messages.AttemptFailed()
            ):
                attempt_results.deliver(self.outbound, now, peer, message)
            case messages.Credit(number=number):
                self.outbound.attempts.send_body(peer, number)
            case messages.Pong(version=version, load=load):
                self.policies.pong_received(message)
                peer.update_load(now, load)
                self.outbound.reports.apply_prices(now, peer, load)
                self.policies.request_newer_policy(now, peer, version)
            case messages.TargetState():
                self.peers.update_target_state(now, peer, message)
                self.policies.request_newer_policy(now, peer, message.version)
            case messages.Welcome():
                self.peers.handshake_done(now, peer, message)
                self.inbound.target.receive_peer_report(now, message.departed)
                self.policies.request_newer_policy(
                    now, peer, message.target_state.version
                )
            case messages.PolicyRequest():
                if (reply := self.policies.policy_reply()) is not None:
                    self.peers.send(now, peer, reply)
            case messages.PolicyReply(raw=raw):
                self.policies.policy_received(raw, peer.box)
            case messages.HeartbeatAck(number=number, accepted=accepted):
                self.heartbeats.end_relay(number, accepted=accepted)
            case messages.TeamGrants():
                self.quota_exchange.grants_received(now, address, message)
            case messages.RateLimit():
                self.rate_limit_exchange.announced(peer, message)
            case messages.SuspectReports(suspects=reports):
                changed = self.inbound.suspects.records.merge(now, reports)
                self.inbound.crashes.suspects_changed(now, changed)

    def _on_incoming(self, now: float, link: int, message: messages.AnyMessage) -> None:
        """Process a message that arrived on an incoming link."""
        if isinstance(message, messages.Hello):
            self._hello_received(now, link, message)
            return
        incoming = self.incoming_links.by_id.get(link)
        if incoming is None:
            return
        match message:
            case messages.Forward():
                delay_s = incoming.excess_delay_s(now, message.sent_s)
                self.inbound.submit(now, link, message, delay_s)
            case messages.LongForward():
                delay_s = incoming.excess_delay_s(now, message.forward.sent_s)
                self.body_assembly.announce(now, link, message, delay_s)
            case messages.BodyPart():
                self.body_assembly.part_received(now, link, message)
            case messages.Cancel() | messages.Withdraw() | messages.Credit():
                if not self.body_assembly.control(now, link, message):
                    self.inbound.control.handle(now, link, message)
            case messages.Ping():
                incoming.excess_delay_s(now, message.sent_s)
                self.incoming_links.send(link, self.policies.make_pong(now, message))
                self.policies.request_newer_policy_back(now, link, message.version)
            case messages.PolicyRequest():
                if (reply := self.policies.policy_reply()) is not None:
                    self.incoming_links.send(link, reply)
            case messages.PolicyReply(raw=raw):
                self.policies.policy_received(raw, incoming.box)
            case messages.HeartbeatRelay():
                self.heartbeats.on_relay(now, link, message)
            case messages.RetryCounts():
                self.retry_exchange.received(now, incoming.address, message)
            case messages.RateLimit():
                self.rate_limit_exchange.returned(now, link, message)
            case messages.TeamUsages():
                self.quota_exchange.usages_received(now, link, message)
            case messages.TeamGrants():
                self.quota_exchange.grants_received(now, incoming.address, message)

    def _hello_received(self, now: float, link: int, hello: messages.Hello) -> None:
        self.incoming_links.add(now, link, hello)
        self.peers.add_address(now, hello.address)
        self.peers.set_protocol_version(hello.address, hello.protocol)
        self.inbound.target.receive_peer_report(now, hello.departed)
        welcome = messages.Welcome(
            box=self.identity.box,
            incarnation=self.identity.incarnation,
            data_centre=self.identity.data_centre,
            target_state=self.inbound.state(now),
            departed=self.peers.departed_incarnations(hello.box),
            sent_s=now,
        )
        self.incoming_links.send(link, welcome)
        self.rate_limit_exchange.hello_received(link, hello)
        if known := self.inbound.suspects.records.reports(now):
            self.incoming_links.send(link, messages.SuspectReports(suspects=known))
        if (
            hello.data_centre != self.identity.data_centre
            and self.switches.compress_far
        ):
            self.ctx.emit(effects.DeflateIncoming(link=link))
        self.policies.request_newer_policy_back(now, link, hello.version)

    def _reply(
        self,
        now: float,
        req: inbound_request.InboundRequest,
        message: attempt_results.Result,
    ) -> None:
        """Send a reply of the inbound side to where the request came from."""
        if req.link != inbound.LOCAL_LINK:
            self.incoming_links.send(req.link, message)
            return
        attempt_results.deliver(self.outbound, now, None, message)

    def _send_state(self, now: float) -> None:
        """Broadcast the target state of this box to all linked daemons."""
        self.policies.broadcast_state(now)

    def _send_rate_limit(self, now: float) -> None:
        """Broadcast the rate limit of this box's target, and its state."""
        self.rate_limit_exchange.broadcast()
        self._send_state(now)

    def _send_suspects(self, reports: list[messages.SuspectReport]) -> None:
        """Broadcast reports of requests suspected of crashing targets."""
        self.incoming_links.broadcast(messages.SuspectReports(suspects=reports))
