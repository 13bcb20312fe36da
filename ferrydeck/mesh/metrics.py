"""Prometheus metrics of `ferrydeck-meshd`.

Owns the counters; reads the gauges from the core at each scrape. Dashboards rely on the
names, labels and help texts, which need not follow the names in the code.
"""

from __future__ import annotations

import prometheus_client
from prometheus_client import exposition

from ferrydeck.mesh import core, effects
from ferrydeck.mesh.members import peers

LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 10)
"""Histogram buckets of the request latency, seconds."""

GAUGES = {
    "policy_version": "Version of the policy in force; 0 for none.",
    "calls_open": "Requests of this box's callers without final answer.",
    "server_running": "Requests at the server of this box.",
    "server_streams": "Requests at the server whose answer is sent in parts.",
    "server_oldest_run_seconds": "Age of the oldest request at the server; 0 for none.",
    "server_waiting": "Requests that wait for the server of this box.",
    "server_limit": "Requests at the server at once.",
    "server_rate_limit": "Requests a second that the server accepts; -1 for no limit.",
    "server_requests": "Requests sent to the server of this box.",
    "peers_linked": "Daemons whose link stands.",
    "peers_known": "Daemons that are known.",
    "policy_proof_age_seconds": "Age of the proof that the policy is the newest; -1 "
    "where nothing hangs on it.",
    "store_silent_seconds": "Time since the store last answered, seconds.",
    "store_era": "Era that the store has stated; 0 for none.",
    "policy_revision": "Revision from which the policy is watched; -1 for none.",
    "policy_watch_age_seconds": "Time that the watch of the policy waits; -1 for none.",
    "retries_granted": "Retries granted here in the last window.",
    "retries_allowed": "Retries that the tightest open window allows here.",
    "retry_targets": "Targets of the service among which the slack is divided.",
    "link_bytes_in": "Bytes received from other daemons.",
    "link_bytes_out": "Bytes sent to other daemons.",
    "server_connections_opened": "Connections opened to the server.",
    "server_answers_discarded": "Answers of the server that belonged to no request.",
    "request_body_bytes": "Memory of long bodies of this box's callers.",
    "request_bodies_waiting": "Requests of callers whose long body waits for memory.",
    "link_body_bytes": "Memory of long bodies from other daemons.",
    "link_bodies_waiting": "Requests of daemons whose long body waits for memory.",
    "lines_left_out": "Log lines that were left out.",
}


class Metrics:
    """Counters updated by the driver, and gauges read from the core."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.decisions = prometheus_client.Counter(
            "ferrydeck_decisions",
            "Decisions, by kind, outcome and reason.",
            ("kind", "outcome", "reason"),
            registry=self.registry,
        )
        self.seconds = prometheus_client.Histogram(
            "ferrydeck_request_seconds",
            "Time from a request's arrival to its final answer, seconds.",
            ("route", "outcome"),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.store_calls = prometheus_client.Counter(
            "ferrydeck_store_calls",
            "Calls of the platform's store, by call and result.",
            ("call", "result"),
            registry=self.registry,
        )
        self.gauges = {
            name: prometheus_client.Gauge(
                f"ferrydeck_{name}", text, registry=self.registry
            )
            for name, text in GAUGES.items()
        }
        self._children: dict[tuple[object, ...], object] = {}

    def count_decision(self, decision: effects.Decision) -> None:
        """Count a decision."""
        reason = decision.reason if decision.outcome != "answered" else ""
        self._child(self.decisions, decision.kind, decision.outcome, str(reason)).inc()

    def observe_request(self, done: effects.RequestFinished) -> None:
        """Record the latency of a finished request."""
        self._child(self.seconds, done.route, done.outcome).observe(done.seconds)

    def count_store_call(self, call: str, result: str) -> None:
        """Count a call to the store."""
        self._child(self.store_calls, call, result).inc()

    def render(self, core: core.Core, now: float, **others: float) -> bytes:
        """Return all metrics in the Prometheus text format."""
        known = core.peers.by_address.values()
        values = {
            "policy_version": core.ctx.version,
            "calls_open": len(core.outbound.requests.by_conn),
            "server_running": len(core.inbound.runs),
            "server_streams": sum(
                run.streaming for run in core.inbound.runs.by_dispatch.values()
            ),
            "server_oldest_run_seconds": core.inbound.runs.oldest_run_s(now),
            "server_waiting": len(core.inbound.waiting),
            "server_limit": core.inbound.limit,
            "server_rate_limit": _rate_limit(core),
            "server_requests": core.inbound.runs.started,
            "peers_linked": sum(one.link is peers.LinkState.UP for one in known),
            "peers_known": len(known),
            "policy_proof_age_seconds": _policy_age_s(core, now),
            "store_silent_seconds": now - core.registry.last_answer_at,
            "store_era": core.registry.era,
            "policy_revision": _policy_revision(core),
            "policy_watch_age_seconds": core.registry.policy_watch_age_s(now),
            "link_body_bytes": core.body_assembly.memory.held_bytes,
            "link_bodies_waiting": core.body_assembly.waiting,
            **_retry_gauges(core),
            **others,
        }
        for name, value in values.items():
            self.gauges[name].set(value)
        return exposition.generate_latest(self.registry)

    def _child(self, metric: object, *labels: str) -> object:
        """Return the labelled child of a metric from a cache."""
        key = (metric, *labels)
        child = self._children.get(key)
        if child is None:
            child = self._children[key] = metric.labels(*labels)
        return child


def _rate_limit(core: core.Core) -> float:
    rate_per_s = core.inbound.rate_limit.rate_per_s
    return -1.0 if rate_per_s is None else rate_per_s


def _policy_revision(core: core.Core) -> int:
    held = core.registry.policy_revision
    return -1 if held is None else held


def _retry_gauges(core: core.Core) -> dict[str, float]:
    state = core.inbound.retry_budget.snapshot()
    return {
        "retries_granted": state["granted"],
        "retries_allowed": state["allowed"],
        "retry_targets": state["targets"],
    }


def _policy_age_s(core: core.Core, now: float) -> float:
    held = core.ctx.policy
    bound = (
        held is not None
        and bool(held.teams)
        and core.policy_freshness.ttl_s is not None
    )
    return core.policy_freshness.age_s(now) if bound else -1.0
