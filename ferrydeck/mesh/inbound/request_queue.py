"""Queue of requests that wait for a free slot of the target.

Owns the timer that checks the queue. Suspects, which may crash the target, wait in a
separate queue (`isolation`), which is also served from here. Relies on `runs` for the
free slots, and on the inbound side to call `check` when the timer expires.
"""

from __future__ import annotations

import enum

import attrs

from ferrydeck.mesh import context, messages
from ferrydeck.mesh.inbound import (
    admission,
    inbound_request,
    queueing,
    results,
    runs,
)
from ferrydeck.mesh.poison import records, tracker

CHECK_INTERVAL_S = 0.02
"""Interval between checks for requests that have waited too long, seconds."""
MAX_WAITING_PER_SLOT = 4
"""Maximum queue length per concurrent run."""


@attrs.define(kw_only=True, frozen=True)
class QueueTimer:
    """Check the queue for requests that have waited too long."""


class Decision(enum.Enum):
    """Queueing decision for a request that finds no free slot."""

    WAITS = "waits"
    DROPPED = "dropped"
    """The request would start too late."""
    DISPLACES = "displaces"
    """The request waits, and the newest one of the lowest priority is dropped."""


@attrs.define(kw_only=True, frozen=True)
class Inputs:
    """Inputs of the queueing decision."""

    wait_s: float
    """Expected waiting time of the request, seconds."""
    max_wait_s: float
    """Time within which the request has to be started, seconds."""
    waiting: int
    """Queue length, including this request."""
    limit: int
    """Maximum number of concurrent runs."""
    rate_limit_waiting: int | None = None
    """Maximum queue length by the rate limit of the target; `None` without a limit."""

    @property
    def max_waiting(self) -> int:
        """Maximum queue length."""
        by_slots = MAX_WAITING_PER_SLOT * self.limit
        by_rate = self.rate_limit_waiting
        return by_slots if by_rate is None else min(by_slots, by_rate)


def decide(inputs: Inputs) -> Decision:
    """Return the queueing decision for a request."""
    if inputs.wait_s > inputs.max_wait_s:
        return Decision.DROPPED
    if inputs.waiting > inputs.max_waiting:
        return Decision.DISPLACES
    return Decision.WAITS


@attrs.define(kw_only=True)
class RequestQueue:
    """Queues requests and starts them as slots become free."""

    ctx: context.Context
    runs: runs.Runs
    results: results.Results
    waiting: queueing.PriorityQueue[inbound_request.InboundRequest]
    suspects: tracker.PoisonTracker
    _timer_set: bool = False

    def add(self, now: float, req: inbound_request.InboundRequest) -> None:
        """Queue a request; it or another one may be dropped."""
        costs = self.runs.costs
        service_time_s = costs.service_time_s(req.forward.route)
        ahead_s = self.waiting.ahead_s(req.priority, service_time_s)
        by_time = self.ctx.switches.weigh_slot_time
        weight_s = service_time_s if by_time else costs.mean_service_time_s
        self.waiting.push(req.priority, req, weight_s)
        inputs = Inputs(
            wait_s=ahead_s / self.runs.capacity,
            max_wait_s=req.start_by - now,
            waiting=len(self.waiting),
            limit=self.runs.limit,
            rate_limit_waiting=self.runs.rate_limit.max_waiting(),
        )
        match decide(inputs):
            case Decision.DROPPED:
                self._drop(now, req)
            case Decision.DISPLACES:
                self._drop(now, self.waiting.last())
        self.start_next(now)
        self._set_timer(now)

    def add_suspect(
        self,
        now: float,
        req: inbound_request.InboundRequest,
        record: records.SuspectRecord,
    ) -> None:
        """Queue a suspect until it may run in isolation."""
        self.suspects.isolation.enqueue(req, record)
        self.start_next(now)
        self._set_timer(now)

    def remove(self, req: inbound_request.InboundRequest) -> bool:
        """Remove a request; return whether it was queued."""
        isolation = self.suspects.isolation
        queued = self.waiting.remove(req.priority, req) or isolation.remove(req)
        if queued:
            self.runs.forget(req)
        return queued

    def start_next(self, now: float) -> None:
        """Start queued requests while slots are free, suspects first."""
        isolation = self.suspects.isolation
        while self.runs.may_start(now) and (req := isolation.pop_next()) is not None:
            self._start(now, req)
        while self.waiting and self.runs.may_start(now):
            req = self.waiting.pop()
            record = self.suspects.find_suspect(now, req.forward)
            if record is not None:
                isolation.enqueue(req, record)
                continue
            self._start(now, req)

    def check(self, now: float) -> None:
        """Reject requests that have waited too long."""
        self._timer_set = False
        for req in [req for req in self.waiting if now >= req.start_by]:
            self._drop(now, req)
        for req in [req for req in self.suspects.isolation if now >= req.start_by]:
            self.reject_suspect(now, req, messages.Reason.SUSPECT)
        self.start_next(now)
        self._set_timer(now)

    def reject_suspect(
        self, now: float, req: inbound_request.InboundRequest, reason: messages.Reason
    ) -> None:
        """Reject a queued suspect."""
        self.suspects.isolation.remove(req)
        self.runs.forget(req)
        self.results.send_rejection(now, req, reason)

    def reject_all(self, now: float, reason: messages.Reason) -> None:
        """Reject all queued requests."""
        for req in [*self.waiting.clear(), *self.suspects.isolation.pop_all()]:
            self.runs.forget(req)
            self.results.send_rejection(now, req, reason)

    def _start(self, now: float, req: inbound_request.InboundRequest) -> None:
        """Start a request, or reject it if too little time is left."""
        if admission.expired(req.deadline - now):
            self.suspects.isolation.run_ended(req.dispatch)
            self.runs.forget(req)
            self.results.send_rejection(now, req, messages.Reason.EXPIRED)
            return
        self.runs.start(now, req)

    def _drop(self, now: float, req: inbound_request.InboundRequest) -> None:
        self.waiting.remove(req.priority, req)
        self.runs.forget(req)
        limited = self.runs.has_free_slot and not self.runs.may_start(now)
        reason = messages.Reason.RATE_LIMIT if limited else messages.Reason.OVERLOAD
        self.results.send_rejection(now, req, reason)

    def _set_timer(self, now: float) -> None:
        queued = self.waiting or self.suspects.isolation.waiting
        if queued and not self._timer_set:
            self._timer_set = True
            self.ctx.set_timer(now + CHECK_INTERVAL_S, QueueTimer())
