"""The driver of `ferrydeckd`: connects the core to sockets and timers.

Owns the endpoints, the links, the clients of the target and of the platform, and the
metrics; the core makes all decisions.
"""

from __future__ import annotations

import circuits
import logbook

from ferrydeck import clock
from ferrydeck.net import core_driver, http_client, poller, request_client
from ferrydeck.signed import audit, metrics, settings
from ferrydeck.signed.core import daemon_core, effects, events
from ferrydeck.signed.net import fields, http_server, links, peers, platform_client
from ferrydeck.signed.wire import messages

log = logbook.Logger(__name__)

EXIT_DELAY_S = 0.25
"""Time to send the last messages before the process exits, seconds."""
MAX_FLUSH_S = 5.0
"""Longest time for answers that are still unsent when the process exits, seconds."""
SWEEP_INTERVAL_S = 1.0
"""Time between checks for idle links and updates of fault counters, seconds."""
MAX_TARGET_CONNECTIONS = 4096
"""Maximum of connections to the target; the admission limit is usually lower."""
REASONS_BY_DETAIL = {
    "no answer in time": messages.Reason.NO_ANSWER,
}
"""Reasons by detail of a failed request; `TARGET_LOST` for any other."""


class Driver(core_driver.CoreDriver):
    """Runs a `daemon_core.Core` on the event loop."""

    channel = "driver"
    gc_freeze_delay_s = 3.0

    def __init__(
        self,
        *,
        cfg: settings.Settings,
        core: daemon_core.Core,
        poller: poller.Poller,
        audit_trail: audit.Trail,
    ) -> None:
        super().__init__(core=core)
        self.cfg = cfg
        self.audit_trail = audit_trail
        self.metrics = metrics.Metrics()
        self.stop_deadline: float | None = None
        """When a stop no longer waits for running requests; time of `clock.now`."""
        self._sweep_at = 0.0
        self._servers: list[http_server.HttpServer] = []
        self._open(poller)

    @circuits.handler("generate_events")
    def _on_generate_events(self, event: circuits.Event) -> None:
        now = clock.now()
        wake = self.core.next_wake()
        if wake is not None and wake <= now:
            self.feed(events.Wake())
            self._housekeeping(now)
            wake = self.core.next_wake()
        if self.peers.waiting:
            self.peers.retry()
            event.reduce_time_left(peers.RETRY_INTERVAL_S)
        if wake is not None:
            event.reduce_time_left(max(0.0, wake - clock.now()))

    def stop_signalled(self, signo: int) -> None:
        """Leave the cluster and exit when all requests are done."""
        self.leave(end=True, reason=f"signal {signo}")

    def exception_raised(self, name: str, value: object, trace: str) -> None:
        """Count and log an exception raised by a handler."""
        self.metrics.count("exceptions", name)
        log.error("a handler raised {!r}: {}", value, trace)

    def leave(self, *, end: bool, reason: str) -> None:
        """Start to leave the cluster; `end` exits when all requests are done."""
        if end and self.stop_deadline is None:
            self.stop_deadline = clock.now() + self.cfg.stop_limit_s
        self.feed(events.StopAsked(end=end, reason=reason))
        if not end:
            return
        for server in self._servers:
            if not server.local:
                server.stop_listening()

    def _open(self, poller: poller.Poller) -> None:
        cfg = self.cfg
        identity = self.core.identity
        self.peers = peers.Peers(
            poller=poller,
            cluster=cfg.cluster,
            box=cfg.box,
            incarnation=identity.incarnation,
            ip=cfg.ip,
            port=cfg.peer.port,
            version=lambda: self.core.rollout.version,
            feed=self.feed,
        )
        self.peers.register(self)
        self.links = links.Links(
            poller=poller,
            cluster=cfg.cluster,
            ip=cfg.ip,
            port=cfg.peer.call_port,
            encode=self.peers.encode,
            feed=self.feed,
        )
        self.links.register(self)
        self.platform = platform_client.PlatformClient(
            poller=poller,
            address=cfg.platform.address,
            timeout_s=cfg.platform.timeout_s,
            feed=self.feed,
        )
        self.platform.api.http.register(self)
        self.target: http_client.HttpClient | None = None
        if cfg.target is not None:
            self.target = http_client.HttpClient(
                poller=poller,
                channel="target",
                address=cfg.target.address,
                max_connections=MAX_TARGET_CONNECTIONS,
                listener=self._target_answered,
            )
            self.target.register(self)
        for name in ("entry", "local"):
            self._open_server(poller, name, getattr(cfg, name))

    def _open_server(
        self,
        poller: poller.Poller,
        name: str,
        endpoint: settings.Endpoint | None,
    ) -> None:
        if endpoint is None:
            return
        server = http_server.HttpServer(
            poller=poller,
            channel=name,
            ip=self.cfg.ip,
            port=endpoint.port,
            local=name == "local",
            feed=self.feed,
        )
        server.register(self)
        self._servers.append(server)

    def execute(self, effect: effects.Effect) -> None:
        """Execute an effect that the core requested."""
        match effect:
            case effects.SendPeer():
                self._send_peer(effect)
            case effects.AnswerCaller():
                self._answer_caller(effect)
            case effects.CallFinished():
                self.metrics.finished(effect)
            case effects.DispatchTarget():
                self._dispatch(effect)
            case effects.Count(name=name, label=label):
                self.metrics.count(name, label)
            case effects.PassPart():
                self._pass_part(effect)
            case effects.ReadTarget(dispatch=dispatch):
                self.target.read_more(dispatch)
            case effects.CancelTarget(dispatch=dispatch):
                self.target.cancel(dispatch)
            case _:
                self._execute_other(effect)

    def _execute_other(self, effect: effects.Effect) -> None:
        """Execute the less frequent effects."""
        match effect:
            case effects.AbortCaller(conn=call):
                for server in self._servers:
                    server.abort(call)
            case effects.AskPlatform(request=request):
                self.platform.ask(request)
            case effects.ForgetPeer(box=box):
                self.peers.forget(box)
            case effects.Audit(action=action, detail=detail):
                self.audit_trail.add(action, detail)
            case effects.Ended():
                self.exit_at = clock.now() + EXIT_DELAY_S

    def _send_peer(self, effect: effects.SendPeer) -> None:
        if isinstance(effect.message, links.CALL_MESSAGES):
            self.links.send_peer(effect)
        else:
            self.peers.send(effect)

    def _answer_caller(self, effect: effects.AnswerCaller) -> None:
        for server in self._servers:
            if effect.conn in server.by_call:
                server.answer(effect)

    def _pass_part(self, effect: effects.PassPart) -> None:
        for server in self._servers:
            if effect.conn in server.by_call:
                server.pass_part(effect)

    def _dispatch(self, effect: effects.DispatchTarget) -> None:
        self.target.request(
            effect.dispatch,
            method=effect.method,
            path=effect.path,
            fields=fields.to_fields(effect.headers),
            body=effect.body,
            deadline=clock.now() + effect.timeout_s,
        )

    def _target_answered(self, event: http_client.Event) -> None:
        match event:
            case http_client.Answer():
                self.feed(
                    events.TargetHead(
                        dispatch=event.ticket,
                        status=event.status,
                        headers=fields.to_headers(event.fields),
                        body=event.body,
                        total=event.total,
                    )
                )
            case http_client.BodyPart(ticket=ticket, data=data):
                self.feed(events.TargetPart(dispatch=ticket, data=data))
            case request_client.RequestFailed(ticket=ticket, sent=sent, detail=detail):
                reason = REASONS_BY_DETAIL.get(detail, messages.Reason.TARGET_LOST)
                self.feed(
                    events.TargetFailed(dispatch=ticket, sent=sent, reason=reason)
                )

    def _housekeeping(self, now: float) -> None:
        self.platform.api.expire(now)
        if self.target is not None:
            self.target.expire(now)
        if now >= self._sweep_at:
            self._sweep_at = now + SWEEP_INTERVAL_S
            self.peers.sweep(now)
            self.links.sweep(now)
            self._count_peer_faults()
        self.freeze_startup_objects(now)
        self._end_if_done(now)

    def _count_peer_faults(self) -> None:
        faults = self.peers.faults + self.links.faults
        self.peers.faults.clear()
        self.links.faults.clear()
        for fault, number in faults.items():
            for _ in range(number):
                self.metrics.count("peer_messages_dropped", fault)

    def _end_if_done(self, now: float) -> None:
        past_limit = self.stop_deadline is not None and now >= self.stop_deadline
        if self.exit_at is not None and now >= self.exit_at:
            past_flush = now >= self.exit_at + MAX_FLUSH_S
            if past_limit or past_flush or not self._send_rest():
                self._end()
        elif past_limit:
            in_flight = len(self.core.forwarder.attempts.by_conn) + len(
                self.core.serving.jobs
            )
            detail = (
                f"stop limit of {self.cfg.stop_limit_s:g} s: {in_flight} calls lost, "
                f"{len(self.core.shard_owner.owned)} shards not handed over"
            )
            self.audit_trail.add("cut-off", detail)
            self.metrics.count("cut_off", "stop-limit")
            self._end()

    def _send_rest(self) -> bool:
        """Hand unsent answers to the kernel; return whether some are left."""
        senders = (*self._servers, self.links)
        for sender in senders:
            sender.enlarge_send_buffers()
        return any(sender.unsent_bytes for sender in senders)

    def _end(self) -> None:
        self.peers.close()
        self.links.close()
        self.root.stop()
