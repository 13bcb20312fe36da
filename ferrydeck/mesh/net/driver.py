"""I/O driver of `ferrydeck-meshd`: sockets, timers and signals around the core.

Owns the endpoints, the links, the clients for target and store, the metrics and the
decision log; the core makes all decisions about requests.
"""

from __future__ import annotations

import attrs
import circuits

from ferrydeck import clock
from ferrydeck.config import findings
from ferrydeck.mesh import core, decision_log, effects, events, metrics, settings, store
from ferrydeck.mesh.net import endpoints, links, store_client, target
from ferrydeck.net import core_driver, poller
from ferrydeck.platform import manifest

SWEEP_INTERVAL_S = 0.1
"""Interval at which connection timeouts are checked, seconds."""
MIN_EXIT_DELAY_S = 0.1
"""Minimum time from the decision to exit until the exit, seconds."""


class Driver(core_driver.CoreDriver):
    """Event loop of a daemon: feeds events to the core and carries out its effects."""

    channel = "driver"
    gc_freeze_delay_s = 2.0

    def __init__(
        self,
        *,
        cfg: settings.Settings,
        core: core.Core,
        poller: poller.Poller,
        output: decision_log.NonBlockingHandler,
        path: str,
    ) -> None:
        super().__init__(core=core)
        self.cfg = cfg
        self.path = path
        """Settings file, read again at a reload."""
        self.output = output
        self.metrics = metrics.Metrics()
        self.decisions = decision_log.DecisionLog(
            box=cfg.box,
            incarnation=core.identity.incarnation,
            failed_per_s=cfg.log.failed_per_s,
            served_per_s=cfg.log.served_per_s,
        )
        self._reload_due = False
        self._sweep_at = 0.0
        self._flush_until = 0.0
        """When the process exits even if answers are unsent; time of `clock.now`."""
        self._open(poller)
        poller.run_due = self.run_due_work

    def log_decision(self, kind: str, outcome: str = "", **inputs: object) -> None:
        """Log and count a decision of the driver itself."""
        self._log_decision(effects.Decision(kind=kind, outcome=outcome, inputs=inputs))

    @circuits.handler("generate_events")
    def _on_generate_events(self, event: circuits.Event) -> None:
        event.reduce_time_left(self.run_due_work())

    def run_due_work(self) -> float:
        """Run due work; return the seconds until more work is due."""
        now = clock.now()
        if self._reload_due:
            self._reload()
        wake = self.core.next_wake()
        if wake is not None and wake <= now:
            self.feed(events.TimersDue())
            wake = self.core.next_wake()
        if self.endpoints.requests.body_queue.memory.freed:
            self.endpoints.requests.memory_freed()
        if now >= self._sweep_at:
            self._sweep(now)
        until = self._sweep_at if wake is None else min(wake, self._sweep_at)
        return max(0.0, until - clock.now())

    def stop_signalled(self, signo: int) -> None:
        """Tell the core to shut down; it requests the exit of the process."""
        self.feed(events.StopRequested())

    def reload_signalled(self, signo: int, stack: object) -> None:
        """Schedule a reload of the settings for the next loop iteration."""
        self._reload_due = True

    def exception_raised(self, name: str, value: object, trace: str) -> None:
        """Log and count an exception in a handler."""
        self.log_decision("exception", name, detail=repr(value), trace=trace)

    def execute(self, effect: effects.Effect) -> None:
        """Carry out an effect of the core."""
        match effect:
            case effects.Decision():
                self._log_decision(effect)
            case effects.SendOutgoing(address=address, message=message):
                self.links.send_outgoing(address, message)
            case effects.SendIncoming(link=link, message=message):
                self.links.send_incoming(link, message)
            case effects.RequestFinished():
                self.metrics.observe_request(effect)
            case effects.Reply():
                self.endpoints.reply(effect)
            case effects.Dispatch():
                self.target.dispatch(effect)
            case effects.Reject():
                self.endpoints.reject(effect)
            case effects.ReplyPart(conn=conn, data=data, last=last):
                self.endpoints.requests.reply_part(conn, data, last=last)
            case effects.AbortReply(conn=conn):
                self.endpoints.abort(conn)
            case effects.CancelDispatch(dispatch=dispatch):
                self.target.client.cancel(dispatch)
            case effects.ReadAnswer(dispatch=dispatch, size=size):
                self.target.client.read_more(dispatch, size)
            case effects.DiscardAnswer(dispatch=dispatch):
                self.target.client.discard(dispatch)
            case _:
                self._carry_out_control(effect)

    def _carry_out_control(self, effect: effects.Effect) -> None:
        """Carry out an effect that concerns no single request."""
        match effect:
            case effects.OpenLink(address=address):
                self.links.open_link(address)
            case effects.DeflateOutgoing(address=address):
                self.links.deflate_outgoing(address)
            case effects.DeflateIncoming(link=link):
                self.links.deflate_incoming(link)
            case effects.CloseLink(address=address):
                self.links.close_link(address)
            case effects.SendBody(address=address, number=number, body=body):
                self.links.send_body(address, number, body)
            case effects.StopBody(address=address, number=number):
                self.links.stop_body(address, number)
            case effects.Probe(path=path):
                self.target.check_health(path)
            case effects.AckHeartbeat(conn=conn, accepted=accepted):
                self.endpoints.acknowledge_heartbeat(conn, accepted)
            case effects.CallStore(request=request):
                self.store.ask(request)
            case effects.ReadPolicy(raw=raw, source=source):
                self._read_policy(raw, source)
            case effects.SetCallerLimits():
                self.endpoints.use_limits(effect)
            case effects.DisableKeepAlive():
                self.endpoints.requests.stop_keep_alive()
            case effects.Exit(flush_s=flush_s):
                now = clock.now()
                self.exit_at = now + MIN_EXIT_DELAY_S
                self._flush_until = now + flush_s

    def _open(self, poller: poller.Poller) -> None:
        cfg = self.cfg
        self.links = links.Links(
            poller=poller, ip=cfg.ip, port=cfg.link_port, feed=self.feed
        )
        self.links.register(self)
        self.target = target.Target(poller=poller, address=cfg.target, feed=self.feed)
        self.target.client.register(self)
        self.store = store_client.StoreClient(
            poller=poller, address=cfg.store, answered=self._store_answered
        )
        self.store.api.http.register(self)
        self.endpoints = endpoints.Endpoints(
            cfg=cfg,
            core=self.core,
            poller=poller,
            feed=self.feed,
            log_decision=self.log_decision,
            render_metrics=self._render_metrics,
        )
        self.endpoints.register(self)

    def _log_decision(self, decision: effects.Decision) -> None:
        self.metrics.count_decision(decision)
        self.decisions.write(clock.now(), decision)

    def _store_answered(
        self, request: store.Request, result: store.Result, era: int
    ) -> None:
        self.metrics.count_store_call(type(request).__name__, type(result).__name__)
        self.feed(events.StoreAnswered(request=request, result=result, era=era))

    def _read_policy(self, raw: bytes, source: str) -> None:
        policy = manifest.read(raw, source)
        if isinstance(policy, findings.Rejected):
            self.log_decision("policy-rejected", reason=str(policy), source=source)
            return
        self.feed(events.PolicyRead(policy=policy, source=source))

    def _render_metrics(self) -> bytes:
        return self.metrics.render(
            self.core,
            clock.now(),
            link_bytes_in=self.links.bytes_in,
            link_bytes_out=self.links.bytes_out,
            server_connections_opened=self.target.client.opened,
            server_answers_discarded=self.target.client.discarded_answers,
            request_body_bytes=self.endpoints.requests.body_queue.memory.held_bytes,
            request_bodies_waiting=len(self.endpoints.requests.body_queue.waiting),
            lines_left_out=self.decisions.dropped_lines + self.output.dropped_lines,
        )

    def _reload(self) -> None:
        """Read the settings again and apply those that can change at run time."""
        self._reload_due = False
        cfg = settings.load(self.path)
        if isinstance(cfg, findings.Rejected):
            self.log_decision("reload", "rejected", reason=str(cfg))
            return
        self.decisions.failed_per_s = cfg.log.failed_per_s
        self.decisions.served_per_s = cfg.log.served_per_s
        self.core.add_seeds(clock.now(), cfg.seed_links)
        kept = attrs.evolve(cfg, log=self.cfg.log, seeds=self.cfg.seeds)
        outcome = "taken" if kept == self.cfg else "needs-restart"
        self.log_decision("reload", outcome)

    def _sweep(self, now: float) -> None:
        self._sweep_at = now + SWEEP_INTERVAL_S
        self.store.api.expire(now)
        self.target.client.expire(now)
        self.endpoints.sweep(now)
        self.output.flush()
        self.freeze_startup_objects(now)
        if self.exit_at is not None and now >= self.exit_at:
            self._exit_when_sent(now)

    def _exit_when_sent(self, now: float) -> None:
        """End the loop if all answers are sent, or the time for that is over."""
        callers = self.endpoints.requests
        callers.enlarge_send_buffers()
        self.links.enlarge_send_buffers()
        unsent = callers.by_number or callers.unsent_bytes or self.links.unsent_bytes
        if unsent and now < self._flush_until:
            return
        self.log_decision(
            "stop",
            "exit",
            unsent_to_callers=callers.unsent_bytes,
            unsent_on_links=self.links.unsent_bytes,
            open_requests=len(callers.by_number),
        )
        self.links.close()
        self.root.stop()
