"""Sends the results of requests to the outbound side.

Each request ends with an `Answer` (which parts may follow), with `Rejected` (it has not
run), or with `AttemptFailed` (it may have run, and no answer will come). These messages
carry the load of the target. Failures and rejections are logged before they are sent.
"""

from __future__ import annotations

import types
from collections.abc import Callable, Mapping

import attrs

from ferrydeck.mesh import context, events, messages
from ferrydeck.mesh.inbound import (
    correlation,
    health,
    inbound_request,
    load_shedding,
    queueing,
    retry_after,
    runs,
)
from ferrydeck.mesh.poison import fingerprints

NO_INPUTS: Mapping[str, object] = types.MappingProxyType({})


@attrs.define(kw_only=True)
class Results:
    """Sends the results of requests."""

    ctx: context.Context
    send: Callable[[float, inbound_request.InboundRequest, messages.AnyMessage], None]
    """Sends a message to the daemon that forwarded a request, possibly this one."""
    load: Callable[[float], messages.Load]
    """Returns the load of the local target."""
    runs: runs.Runs
    waiting: queueing.PriorityQueue[inbound_request.InboundRequest]
    shedder: load_shedding.LoadShedder
    health: health.Health
    callers: correlation.RouteCallers

    def send_answer(
        self,
        now: float,
        req: inbound_request.InboundRequest,
        event: events.TargetAnswered,
    ) -> None:
        """Send the target's answer, or the head and first part of a streamed one."""
        route = req.forward.route
        service = self.ctx.identity.service
        answer = messages.Answer(
            number=req.forward.number,
            status=event.status,
            fields=event.fields,
            body=event.body,
            more=event.more,
            total=event.total,
            load=self.load(now),
            demand=self.shedder.costs.demand_pct(service, route),
            called_by_targets=self.callers.called_by_targets(route),
        )
        self.send(now, req, answer)

    def send_answer_part(
        self,
        now: float,
        req: inbound_request.InboundRequest,
        data: bytes,
        *,
        last: bool,
    ) -> None:
        """Send a further part of a streamed answer."""
        part = messages.AnswerPart(number=req.forward.number, data=data, last=last)
        self.send(now, req, part)

    def send_rejection(
        self,
        now: float,
        req: inbound_request.InboundRequest,
        reason: messages.Reason,
        *,
        rejected_by_target: bool = False,
        retry_granted: bool = False,
        inputs: Mapping[str, object] = NO_INPUTS,
    ) -> None:
        """Report that a request has not run and will not run here.

        `inputs` are logged as the inputs of the decision.
        """
        price = self._price(now, req, reason)
        self.note(req, "refused", reason, **price, **inputs)
        rejected = messages.Rejected(
            number=req.forward.number,
            reason=reason,
            retry_after_s=self._retry_after_s(req, reason),
            rejected_by_target=rejected_by_target,
            retry_granted=retry_granted,
            load=self.load(now),
            called_by_targets=self.callers.called_by_targets(req.forward.route),
        )
        self.send(now, req, rejected)

    def fail(
        self, now: float, req: inbound_request.InboundRequest, reason: messages.Reason
    ) -> None:
        """End a run that failed at the target, and report that it may have run."""
        self.health.count(now, failed=True)
        self.shedder.count_answer(now, req, failed=True)
        self.end_unanswered(now, req, reason)

    def end_unanswered(
        self, now: float, req: inbound_request.InboundRequest, reason: messages.Reason
    ) -> None:
        """End a run without an answer, and report that it may have run."""
        self.runs.end(now, req)
        fingerprint = fingerprints.of_forward(req.forward)
        self.note(req, "broken", reason, digest=fingerprint.hex())
        number = req.forward.number
        lost = messages.AttemptFailed(number=number, reason=reason, load=self.load(now))
        self.send(now, req, lost)

    def note(
        self,
        req: inbound_request.InboundRequest,
        outcome: str,
        reason: str,
        **inputs: object,
    ) -> None:
        """Log a decision on a request, and count it."""
        self.ctx.note(
            "gate",
            request_id=req.forward.request_id,
            outcome=outcome,
            reason=reason,
            running=len(self.runs),
            waiting=len(self.waiting),
            limit=self.runs.limit,
            left_ms=round(1000 * (req.deadline - req.arrived_at)),
            **inputs,
        )

    def _retry_after_s(
        self, req: inbound_request.InboundRequest, reason: messages.Reason
    ) -> float:
        return retry_after.decide(
            retry_after.Inputs(
                reason=reason,
                service_time_s=self.shedder.costs.service_time_s(req.forward.route),
                objective_s=req.forward.objective_s,
                waiting_s=self.waiting.service_time_s,
                capacity=self.runs.capacity,
                random_value=self.ctx.rng.random(),
            )
        )

    def _price(
        self, now: float, req: inbound_request.InboundRequest, reason: messages.Reason
    ) -> dict[str, float]:
        """Return the price that caused a request to be shed, as a log field."""
        if reason is not messages.Reason.SHED:
            return {}
        return {"price": round(self.shedder.price(now, req.forward.route), 2)}
