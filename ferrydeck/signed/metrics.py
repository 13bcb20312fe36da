"""Prometheus metrics of the daemon."""

from __future__ import annotations

import prometheus_client
from prometheus_client import exposition

from ferrydeck.signed.core import daemon_core, effects, priority
from ferrydeck.signed.net import links, peers

SECONDS_BUCKETS = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 10)


class Metrics:
    """Counters updated by the driver, and gauges computed at each scrape."""

    def __init__(self) -> None:
        registry = prometheus_client.CollectorRegistry()
        self.registry = registry
        self.calls = prometheus_client.Counter(
            "ferrydeck_calls",
            "Calls that were answered, by class and outcome.",
            ("class_name", "outcome"),
            registry=registry,
        )
        self.attempts = prometheus_client.Counter(
            "ferrydeck_attempts",
            "Forwardings of calls to boxes, retries included.",
            registry=registry,
        )
        self.refused = prometheus_client.Counter(
            "ferrydeck_calls_refused",
            "Calls that got no target's answer, by reason.",
            ("reason",),
            registry=registry,
        )
        self.seconds = prometheus_client.Histogram(
            "ferrydeck_call_seconds",
            "Time from a call's arrival to its answer, seconds.",
            ("class_name",),
            buckets=SECONDS_BUCKETS,
            registry=registry,
        )
        self.other_events = prometheus_client.Counter(
            "ferrydeck_events",
            "What else happened, by name and label; see the operators' page.",
            ("name", "label"),
            registry=registry,
        )
        self.gauges = {
            name: prometheus_client.Gauge(f"ferrydeck_{name}", text, registry=registry)
            for name, text in GAUGES.items()
        }
        self.peers = prometheus_client.Gauge(
            "ferrydeck_peers", "Known boxes, by state.", ("state",), registry=registry
        )
        self._children: dict[tuple[str, str, str], object] = {}

    def finished(self, call: effects.CallFinished) -> None:
        """Count a completed call."""
        self._child(self.calls, call.class_name, call.outcome).inc()
        self._child(self.seconds, call.class_name).observe(call.seconds)
        self.attempts.inc(call.attempts)
        if call.reason:
            self._child(self.refused, call.reason).inc()

    def count(self, name: str, label: str) -> None:
        """Count another event."""
        self._child(self.other_events, name, label).inc()

    def render(
        self,
        core: daemon_core.Core,
        control: peers.Peers,
        calls: links.Links,
        now: float,
    ) -> bytes:
        """Return all metrics in the text format."""
        load = core.serving.target.load(now)
        values = {
            "in_flight": load.running,
            "queued": load.queued,
            "limit": load.limit,
            "shed_level": load.level if load.limit else priority.TOP_LEVEL,
            "callers_waiting": len(core.forwarder.attempts.by_conn),
            "bundle_version": core.rollout.version,
            "shards_owned": len(core.shard_owner.owned),
            "keys_remembered": core.serving.table.count,
            "lease_left_seconds": max(0.0, core.shard_owner.lease.valid_until - now),
            "leaving": int(core.ctx.leaving),
            "control_bytes_in": control.bytes_in,
            "control_bytes_out": control.bytes_out,
            "call_bytes_in": calls.bytes_in,
            "call_bytes_out": calls.bytes_out,
        }
        for name, value in values.items():
            self.gauges[name].set(value)
        self._set_peers(core)
        return exposition.generate_latest(self.registry)

    def _set_peers(self, core: daemon_core.Core) -> None:
        known = core.members.peers.values()
        taking = sum(peer.accepts_work for peer in known)
        self.peers.labels("taking-work").set(taking)
        self.peers.labels("other").set(len(known) - taking)

    def _child(self, metric: object, *labels: str) -> object:
        """Return the child of a metric from a cache, as `labels()` is slow."""
        key = (metric._name, *labels)
        child = self._children.get(key)
        if child is None:
            child = self._children[key] = metric.labels(*labels)
        return child


GAUGES = {
    "in_flight": "Jobs that the target works on.",
    "queued": "Jobs that wait for the target.",
    "limit": "Jobs that may run at the target at once.",
    "shed_level": "Priority number above which new jobs are refused.",
    "callers_waiting": "Calls of callers that are not answered yet.",
    "bundle_version": "Version of the bundle in force; 0 for none.",
    "shards_owned": "Shards of calls that must not repeat, owned by this box.",
    "keys_remembered": "Keys of calls that must not repeat, remembered here.",
    "lease_left_seconds": "Time left of the lease on shards, seconds.",
    "leaving": "1 while the box is leaving.",
    "control_bytes_in": "Bytes of control messages received from other daemons.",
    "control_bytes_out": "Bytes of control messages sent to other daemons.",
    "call_bytes_in": "Bytes of calls and answers received from other daemons.",
    "call_bytes_out": "Bytes of calls and answers sent to other daemons.",
}
