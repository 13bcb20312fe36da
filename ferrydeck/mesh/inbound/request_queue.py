"""The requests that wait for a slot of the target: who waits, who is dropped, who runs.

Owns the timer that checks the queue. Suspects wait in a queue of their own
(`isolation`), and both queues are emptied from here. Relies on `runs` for room at the
target, and on the inbound side to set the timer's checks off.
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

CHECK_S = 0.02
"""How often the waiting requests are checked for late ones, seconds."""
MAX_WAITING_PER_SLOT = 4
"""Requests that wait at most, as a multiple of those that may run at once."""


@attrs.define(kw_only=True, frozen=True)
class QueueTimer:
    """Time to check the requests that wait."""


class Place(enum.Enum):
    """What becomes of a request that finds no slot."""

    WAITS = "waits"
    DROPPED = "dropped"
    """It would start too late to be of use."""
    DISPLACES = "displaces"
    """It waits, and the last request of the lowest priority is dropped."""


@attrs.define(kw_only=True, frozen=True)
class Inputs:
    """What is known as a request joins the queue."""

    wait_s: float
    """How long it will wait, by the slot time that is served before it, seconds."""
    patience_s: float
    """Until when it has to be started to be of use, seconds from now."""
    waiting: int
    """Requests in the queue, this one included."""
    limit: int
    """Requests that may run at once."""


def place(inputs: Inputs) -> Place:
    """Return what becomes of a request that finds no slot."""
    if inputs.wait_s > inputs.patience_s:
        return Place.DROPPED
    if inputs.waiting > MAX_WAITING_PER_SLOT * inputs.limit:
        return Place.DISPLACES
    return Place.WAITS


@attrs.define(kw_only=True)
class RequestQueue:
    """Has requests wait for the target, and starts them as slots become free."""

    ctx: context.Context
    runs: runs.Runs
    results: results.Results
    waiting: queueing.PriorityQueue[inbound_request.InboundRequest]
    suspects: tracker.PoisonTracker
    _timer_set: bool = False

    def add(self, now: float, req: inbound_request.InboundRequest) -> None:
        """Have a request wait, or drop it or another one."""
        costs = self.runs.costs
        limit = self.runs.limit
        service_time_s = costs.service_time_s(req.forward.route)
        wait_s = self.waiting.ahead_s(req.priority, service_time_s) / limit
        by_time = self.ctx.switches.weigh_slot_time
        weight_s = service_time_s if by_time else costs.mean_service_time_s
        self.waiting.push(req.priority, req, weight_s)
        inputs = Inputs(
            wait_s=wait_s,
            patience_s=req.start_by - now,
            waiting=len(self.waiting),
            limit=limit,
        )
        match place(inputs):
            case Place.DROPPED:
                self._drop(now, req)
            case Place.DISPLACES:
                self._drop(now, self.waiting.last())
        self.start_next(now)
        self._set_timer(now)

    def add_suspect(
        self,
        now: float,
        req: inbound_request.InboundRequest,
        record: records.SuspectRecord,
    ) -> None:
        """Have a suspect wait until it may run."""
        self.suspects.isolation.enqueue(req, record)
        self.start_next(now)
        self._set_timer(now)

    def remove(self, req: inbound_request.InboundRequest) -> bool:
        """Take a request out; return whether it was waiting."""
        isolation = self.suspects.isolation
        waited = self.waiting.remove(req.priority, req) or isolation.remove(req)
        if waited:
            self.runs.forget(req)
        return waited

    def start_next(self, now: float) -> None:
        """Start waiting requests while there is room, suspects first."""
        isolation = self.suspects.isolation
        while self.runs.has_room and (req := isolation.pop_next()) is not None:
            self._start(now, req)
        while self.waiting and self.runs.has_room:
            req = self.waiting.pop()
            record = self.suspects.find_suspect(now, req.forward)
            if record is not None:
                isolation.enqueue(req, record)
                continue
            self._start(now, req)

    def check(self, now: float) -> None:
        """Reject what has waited too long."""
        self._timer_set = False
        for req in [one for one in self.waiting if now >= one.start_by]:
            self._drop(now, req)
        for req in [one for one in self.suspects.isolation if now >= one.start_by]:
            self.reject_suspect(now, req, messages.Reason.SUSPECT)
        self.start_next(now)
        self._set_timer(now)

    def reject_suspect(
        self, now: float, req: inbound_request.InboundRequest, reason: messages.Reason
    ) -> None:
        """Reject a suspect that waits."""
        self.suspects.isolation.remove(req)
        self.runs.forget(req)
        self.results.send_rejection(now, req, reason)

    def reject_all(self, now: float, reason: messages.Reason) -> None:
        """Reject all that wait."""
        for req in [*self.waiting.clear(), *self.suspects.isolation.pop_all()]:
            self.runs.forget(req)
            self.results.send_rejection(now, req, reason)

    def _start(self, now: float, req: inbound_request.InboundRequest) -> None:
        """Start a request, or reject it where too little time is left."""
        if admission.expired(req.deadline - now):
            self.suspects.isolation.run_ended(req.dispatch)
            self.runs.forget(req)
            self.results.send_rejection(now, req, messages.Reason.EXPIRED)
            return
        self.runs.start(now, req)

    def _drop(self, now: float, req: inbound_request.InboundRequest) -> None:
        self.waiting.remove(req.priority, req)
        self.runs.forget(req)
        self.results.send_rejection(now, req, messages.Reason.OVERLOAD)

    def _set_timer(self, now: float) -> None:
        some = self.waiting or self.suspects.isolation.waiting
        if some and not self._timer_set:
            self._timer_set = True
            self.ctx.at(now + CHECK_S, QueueTimer())
