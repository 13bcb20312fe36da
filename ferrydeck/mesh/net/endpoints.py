"""HTTP endpoints of `ferrydeck-meshd`: requests, heartbeats, readiness and metrics.

Owns the four listeners and the ids of open requests; translates HTTP requests into
events of the core and its effects into HTTP answers, in the formats of `platform`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import circuits

from ferrydeck import clock
from ferrydeck.mesh import core, effects, events, long_bodies, settings
from ferrydeck.mesh.net import ingress
from ferrydeck.net import http, poller, sockets
from ferrydeck.platform import headers, heartbeats

METRICS_PATH = "/metrics"
METRICS_FIELDS = [("content-type", "text/plain; version=0.0.4")]


class Endpoints:
    """Serves the four HTTP endpoints of the daemon."""

    def __init__(
        self,
        *,
        cfg: settings.Settings,
        core: core.Core,
        poller: poller.Poller,
        feed: Callable[[events.Event], None],
        log_decision: Callable[..., None],
        render_metrics: Callable[[], bytes],
    ) -> None:
        self.core = core
        self.poller = poller
        self.feed = feed
        self.log_decision = log_decision
        self.render_metrics = render_metrics
        self.limits = ingress.Limits()
        """Limits on callers, set by the policy; other endpoints keep the defaults."""
        self._request_ids: dict[int, str] = {}
        """Ids of open requests, by connection number."""
        default_limits = ingress.Limits(body_bytes=long_bodies.MAX_SHORT_BODY_BYTES)
        metrics = f"{cfg.ip}:{cfg.metrics_port}"
        self.requests = self._open("calls", cfg.calls, self.limits, self._request)
        self.heartbeats = self._open(
            "reports", cfg.reports, default_limits, self._heartbeat
        )
        self.ready = self._open("ready", cfg.ready, default_limits, self._ready)
        self.metrics = self._open("metrics", metrics, default_limits, self._scrape)
        self.all = (self.requests, self.heartbeats, self.ready, self.metrics)

    def register(self, parent: circuits.BaseComponent) -> None:
        """Register all endpoints with the event loop of `parent`."""
        for endpoint in self.all:
            endpoint.register(parent)

    def reply(self, effect: effects.Reply) -> None:
        """Write an answer, or the head and first part of a streamed one."""
        self._request_ids.pop(effect.conn, None)
        self.requests.reply(
            effect.conn,
            effect.status,
            effect.fields,
            effect.body,
            more=effect.more,
            total=effect.total,
        )

    def reject(self, effect: effects.Reject) -> None:
        """Answer a request that did not run, or for which this is unknown."""
        request_id = self._request_ids.pop(effect.conn, "")
        fields = headers.rejection_fields(request_id, effect.retry_after_s)
        outcome = "not-run" if effect.retry_after_s is not None else "unknown"
        body = f"{outcome}: {effect.reason}\n".encode()
        self.requests.reply(effect.conn, effect.status, fields, body)

    def abort(self, conn: int) -> None:
        """Reset the connection of a request whose answer can't be completed."""
        self._request_ids.pop(conn, None)
        self.requests.abort(conn)

    def acknowledge_heartbeat(self, conn: int, accepted: bool) -> None:
        """Answer a heartbeat: 200 if it was accepted, else 503."""
        self.heartbeats.reply(conn, 200 if accepted else 503, [], b"")

    def use_limits(self, effect: effects.SetCallerLimits) -> None:
        """Apply the limits of the active policy to callers."""
        self.limits.head_bytes = effect.head_bytes
        self.limits.body_bytes = effect.body_bytes
        self.limits.head_s = effect.head_s
        self.limits.idle_s = effect.idle_s

    def sweep(self, now: float) -> None:
        """Enforce the connection timeouts of all endpoints."""
        for endpoint in self.all:
            endpoint.sweep(now)

    def _open(
        self, channel: str, address: str, limits: ingress.Limits, on_request: Any
    ) -> ingress.Ingress:
        ip, port = sockets.split_address(address)
        return ingress.Ingress(
            poller=self.poller,
            channel=channel,
            ip=ip,
            port=port,
            limits=limits,
            on_request=on_request,
            on_disconnect=self._caller_disconnected,
            on_sent=self._answer_sent,
            on_malformed=self._malformed,
            patience_s=lambda head: headers.deadline_s(head.fields),
        )

    def _request(self, request: ingress.Request) -> None:
        policy = self.core.ctx.policy
        teams = policy is not None and bool(policy.teams)
        facts = headers.read_request(request.head.fields, teams=teams)
        if not facts.request_id or facts.invalid_deadline or facts.multiple_keys:
            self.log_decision(
                "request", "declined", reason="bad-request", target=request.head.path
            )
            self.requests.reply(request.conn, 400, [], b"not-run: bad-request\n")
            return
        self._request_ids[request.conn] = facts.request_id
        self.feed(
            events.RequestReceived(
                conn=request.conn,
                method=request.head.method,
                path=request.head.path,
                host=facts.host,
                request_id=facts.request_id,
                deadline_s=facts.deadline_s,
                fields=facts.fields,
                body=request.body,
                age_s=request.age_s,
                run_id=headers.run_id_of(facts.request_id),
                key=facts.key,
            )
        )

    def _caller_disconnected(self, number: int) -> None:
        self._request_ids.pop(number, None)
        self.feed(events.CallerDisconnected(conn=number))

    def _answer_sent(self, number: int, size: int) -> None:
        self.feed(events.AnswerBytesSent(conn=number, size=size))

    def _malformed(self, fault: http.Malformed) -> None:
        self.log_decision(
            "request", "malformed", reason=fault.detail, status=fault.status
        )

    def _heartbeat(self, request: ingress.Request) -> None:
        heartbeat = heartbeats.read(
            request.conn, request.head.method, request.head.path, request.body
        )
        if heartbeat is None:
            self.log_decision("report", "malformed", target=request.head.path)
            self.heartbeats.reply(request.conn, 400, [], b"")
            return
        self.feed(heartbeat)

    def _ready(self, request: ingress.Request) -> None:
        if request.head.path.partition("?")[0] != heartbeats.READY_PATH:
            self.ready.reply(request.conn, 404, [], b"")
            return
        status = 200 if self.core.ready(clock.now()) else 503
        self.ready.reply(request.conn, status, [], b"")

    def _scrape(self, request: ingress.Request) -> None:
        if request.head.path != METRICS_PATH:
            self.metrics.reply(request.conn, 404, [], b"")
            return
        self.metrics.reply(request.conn, 200, METRICS_FIELDS, self.render_metrics())
