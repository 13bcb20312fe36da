"""The inbound side of a daemon: forwards requests to the local target.

`submit` asks `admission` whether a request may run, then starts or queues it
(`request_queue`); `attempt_control` cancels it for its sender. `target_answered` and
`target_answer_part` return the target's answer (`results`); requests that the target
lost go to `crash_handling`.

Owns the components of the inbound side and connects them.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

from ferrydeck.mesh import context, effects, events, incarnations, messages
from ferrydeck.mesh.inbound import (
    admission,
    attempt_control,
    correlation,
    crash_handling,
    health,
    inbound_request,
    load_shedding,
    price_reports,
    pricing,
    queueing,
    rate_limit,
    request_queue,
    results,
    retry_budget,
    runs,
    streamed_answers,
    target_watch,
)
from ferrydeck.mesh.poison import records, tracker

INITIAL_SERVICE_TIME_S = 0.1
"""Assumed service time until a run has ended, seconds."""
LOCAL_LINK = 0
"""Link number of requests that this daemon received from a local caller."""


@attrs.define(kw_only=True)
class Inbound:
    """Admits requests to the local target and returns its answers."""

    ctx: context.Context
    reply: Callable[[float, inbound_request.InboundRequest, messages.AnyMessage], None]
    """Sends a message to the daemon that forwarded a request, possibly this one."""
    announce: Callable[[float], None]
    """Sends the target state to all other daemons."""
    announce_rate_limit: Callable[[float], None]
    """Sends the rate limit and the state of the target to all other daemons."""
    suspects: tracker.PoisonTracker
    stopping: bool = False
    correlator: correlation.CallCorrelator = attrs.Factory(correlation.CallCorrelator)
    callers: correlation.RouteCallers = attrs.Factory(correlation.RouteCallers)
    health: health.Health = attrs.Factory(health.Health)
    prices: price_reports.PriceTable = attrs.Factory(price_reports.PriceTable)
    costs: pricing.Costs = attrs.Factory(
        lambda: pricing.Costs(initial_service_time_s=INITIAL_SERVICE_TIME_S)
    )
    waiting: queueing.PriorityQueue[inbound_request.InboundRequest] = attrs.Factory(
        queueing.PriorityQueue
    )
    target: target_watch.TargetWatch = attrs.field(init=False)
    shedder: load_shedding.LoadShedder = attrs.field(init=False)
    rate_limit: rate_limit.RateLimit = attrs.field(init=False)
    retry_budget: retry_budget.RetryBudget = attrs.field(init=False)
    runs: runs.Runs = attrs.field(init=False)
    results: results.Results = attrs.field(init=False)
    queue: request_queue.RequestQueue = attrs.field(init=False)
    crashes: crash_handling.CrashHandler = attrs.field(init=False)
    streams: streamed_answers.StreamedAnswers = attrs.field(init=False)
    control: attempt_control.AttemptControl = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        ctx = self.ctx
        self.target = target_watch.TargetWatch(
            ctx=ctx, on_open=self._target_opened, on_close=self._target_closed
        )
        self.shedder = load_shedding.LoadShedder(
            ctx=ctx, costs=self.costs, prices=self.prices
        )
        self.rate_limit = rate_limit.RateLimit(
            ctx=ctx, on_change=self.announce_rate_limit
        )
        self.retry_budget = retry_budget.RetryBudget(
            ratio=ctx.limits.retry_ratio,
            slack=ctx.limits.retry_slack,
            window_s=ctx.limits.retry_window_s,
        )
        self.runs = runs.Runs(
            ctx=ctx,
            target=self.target,
            costs=self.costs,
            retry_budget=self.retry_budget,
            rate_limit=self.rate_limit,
            isolation=self.suspects.isolation,
        )
        self.results = results.Results(
            ctx=ctx,
            send=self.reply,
            load=self.load,
            runs=self.runs,
            waiting=self.waiting,
            shedder=self.shedder,
            health=self.health,
            callers=self.callers,
        )
        self.queue = request_queue.RequestQueue(
            ctx=ctx,
            runs=self.runs,
            results=self.results,
            waiting=self.waiting,
            suspects=self.suspects,
        )
        self.crashes = crash_handling.CrashHandler(
            ctx=ctx,
            target=self.target,
            runs=self.runs,
            results=self.results,
            queue=self.queue,
            suspects=self.suspects,
            deliver_ended=self._deliver_ended,
        )
        self.streams = streamed_answers.StreamedAnswers(
            ctx=ctx, runs=self.runs, results=self.results
        )
        self.control = attempt_control.AttemptControl(
            ctx=ctx,
            runs=self.runs,
            queue=self.queue,
            results=self.results,
            streams=self.streams,
        )

    @property
    def busy(self) -> int:
        """Number of requests that run at the target or wait for it."""
        return len(self.runs) + len(self.waiting) + len(self.suspects.isolation.waiting)

    @property
    def limit(self) -> int:
        """Maximum number of concurrent runs."""
        return self.runs.limit

    def load(self, now: float) -> messages.Load:
        """Return the load of the target, as sent with each reply."""
        return messages.Load(
            busy=self.busy,
            service_time_ms=self.costs.service_time_ms,
            failed_pct=round(100 * self.health.failure_ratio(now)),
            prices=self.prices.reports(now),
        )

    def state(self, now: float) -> messages.TargetState:
        """Return the target state, as announced to the other daemons."""
        phase = messages.Phase.STOPPING if self.stopping else self.target.phase
        return messages.TargetState(
            phase=phase,
            incarnation=self.target.incarnation,
            service=self.ctx.identity.service,
            slots=max(1, int(self.runs.capacity)),
            warmup_s=max(0.0, self.target.cold_until - now),
            version=self.ctx.version,
        )

    @property
    def accepts_requests(self) -> bool:
        """Whether the target takes new requests from other daemons."""
        return self.target.phase is messages.Phase.READY and not self.stopping

    def stop(self, now: float) -> None:
        """Accept no new requests, since the daemon is stopping."""
        self.stopping = True
        self.announce(now)
        self.queue.reject_all(now, messages.Reason.CLOSED)

    def submit(
        self, now: float, link: int, forward: messages.Forward, delay_s: float
    ) -> None:
        """Start, queue or reject a request.

        `delay_s` is the transmission delay of the request on its link, seconds.
        """
        req = self._request(now, link, forward, delay_s)
        self._count_arrival(now, forward)
        self._update_price(now)
        suspect = self.suspects.find_suspect(now, forward)
        match self._admission(now, req, suspect):
            case admission.Rejected(reason=messages.Reason.RETRY_BUDGET as reason):
                budget = self.retry_budget.snapshot()
                self.results.send_rejection(now, req, reason, inputs=budget)
                return
            case admission.Rejected(reason=reason):
                self.results.send_rejection(now, req, reason)
                return
        self.runs.admit(req)
        if forward.first_attempt:
            # The target of the first attempt has counted the offered load of a retry.
            service_time_s = self.costs.service_time_s(forward.route)
            self.costs.slot_price.add_offered(service_time_s)
        if suspect is not None:
            self.queue.add_suspect(now, req, suspect)
        elif self.runs.may_start(now) and not self.waiting:
            self.runs.start(now, req)
        else:
            self.queue.add(now, req)

    def resumed(self, now: float, pause_s: float) -> None:
        """Infer nothing about others from a time in which this process was paused."""
        self.runs.resumed(now, pause_s)
        self.retry_budget.resumed(pause_s)

    def reject_unread(
        self,
        now: float,
        link: int,
        forward: messages.Forward,
        delay_s: float,
        reason: messages.Reason,
        **inputs: object,
    ) -> None:
        """Reject a request whose body has not arrived completely."""
        req = self._request(now, link, forward, delay_s)
        self.results.send_rejection(now, req, reason, inputs=inputs)

    def timer_due(
        self, now: float, timer: request_queue.QueueTimer | streamed_answers.StallTimer
    ) -> None:
        """Reject requests that have waited too long, or end a stalled answer."""
        match timer:
            case request_queue.QueueTimer():
                self._update_price(now)
                self.queue.check(now)
            case streamed_answers.StallTimer(dispatch=dispatch):
                self.streams.check_stall(now, dispatch)
                self.queue.start_next(now)

    def find_parent(
        self, now: float, route: str, remaining_s: float, run_id: str = ""
    ) -> correlation.Match[inbound_request.InboundRequest] | None:
        """Return the run at the local target that made a request.

        A request without the `run_id` of a known run is matched by its timing.
        """
        run = self.runs.find(run_id)
        if run is not None:
            return correlation.Match(run=run, priority=run.call_priority)
        candidates = self.runs.by_dispatch.values()
        return self.correlator.match(now, route, remaining_s, candidates)

    def target_answered(self, now: float, event: events.TargetAnswered) -> None:
        """Return the target's answer, or the first part of a streamed one."""
        req = self.runs.by_dispatch.get(event.dispatch)
        if req is None:
            return
        self.runs.answered_at = now
        facts = event.facts
        self._read_statements(now, req, facts)
        if facts.not_run:
            self._target_rejected(now, req, event)
            return
        if event.ended_by_close:
            self.crashes.answer_ended(now, req, event)
            return
        if 200 <= event.status < 300 and not facts.confirmed_complete:
            self.results.fail(now, req, messages.Reason.BAD_ANSWER)
            self.ctx.emit(effects.CancelDispatch(dispatch=event.dispatch))
            return
        failed = event.status >= 500
        self.health.count(now, failed=failed)
        self.shedder.count_answer(now, req, failed=failed)
        if event.more:
            self.streams.start(now, req, event.total)
        else:
            self._end_answered(now, req, full=not failed)
        if not req.abandoned:
            self.results.send_answer(now, req, event)
        self.queue.start_next(now)

    def target_answer_part(self, now: float, event: events.TargetAnswerPart) -> None:
        """Return a further part of a streamed answer."""
        req = self.runs.by_dispatch.get(event.dispatch)
        if req is None:
            return
        self.runs.answered_at = now
        req.progress_at = now
        if event.ended_by_close:
            self.crashes.answer_ended(now, req, event)
            return
        if event.last:
            self._end_answered(now, req, full=True)
        if not req.abandoned:
            self.results.send_answer_part(now, req, event.data, last=event.last)
        self.queue.start_next(now)

    def _deliver_ended(
        self, now: float, event: events.TargetAnswered | events.TargetAnswerPart
    ) -> None:
        """Return an answer that has ended with its connection and is complete."""
        complete = attrs.evolve(event, ended_by_close=False)
        match complete:
            case events.TargetAnswered():
                self.target_answered(now, complete)
            case events.TargetAnswerPart():
                self.target_answer_part(now, complete)

    def _request(
        self, now: float, link: int, forward: messages.Forward, delay_s: float
    ) -> inbound_request.InboundRequest:
        left_s = forward.left_s - delay_s
        service_time_s = self.costs.service_time_s(forward.route)
        return inbound_request.InboundRequest(
            dispatch=self.ctx.next_number(),
            link=link,
            forward=forward,
            arrived_at=now,
            deadline=now + left_s,
            start_by=now + min(forward.wait_s - delay_s, left_s) - service_time_s,
        )

    def _count_arrival(self, now: float, forward: messages.Forward) -> None:
        self.callers.count(forward.route, forward.caller)
        if forward.first_attempt:
            self.retry_budget.count_request(now, forward.priority)
        if forward.retry is messages.Retry.CALL:
            self.retry_budget.count_retry(now)

    def _update_price(self, now: float) -> None:
        # Only if no other target has room, the rate limit is a shortage of the service.
        limit = self.runs.capacity if self.rate_limit.service_limited else self.limit
        self.shedder.update_price(
            now,
            limit=limit,
            running=len(self.runs),
            waiting_s=self.waiting.service_time_s,
        )

    def _admission(
        self,
        now: float,
        req: inbound_request.InboundRequest,
        suspect: records.SuspectRecord | None,
    ) -> admission.Result:
        """Decide whether a request is admitted."""
        target = self.target
        inputs = admission.Inputs(
            forward=req.forward,
            left_s=req.deadline - now,
            blocked=suspect is not None and suspect.blocked,
            open=self.accepts_requests,
            service=self.ctx.identity.service,
            incarnation=target.incarnation,
            silent_s=self.runs.silent_s(now),
            heartbeat_age_s=now - target.ready_at if target.ready_at else 0.0,
            heartbeat_s=self.ctx.limits.heartbeat_s,
        )
        return admission.decide(
            inputs,
            now,
            shedder=self.shedder,
            retries=self.retry_budget,
            notice_stalled=self.ctx.switches.notice_stalled,
        )

    def _read_statements(
        self, now: float, req: inbound_request.InboundRequest, facts: events.AnswerFacts
    ) -> None:
        """Apply what the target states about itself, before its answer is passed on."""
        target_id = incarnations.target_id_of(req.forward.incarnation)
        if facts.target_id not in ("", target_id):
            return
        self.rate_limit.answer_received(now, target_id, req.started_at, facts)
        if facts.leaving:
            self.target.leaving_stated(now, target_id)

    def _end_answered(
        self, now: float, req: inbound_request.InboundRequest, *, full: bool
    ) -> None:
        """End an answered run; a successful one clears its request of suspicion."""
        self.runs.end(now, req, full=full)
        if full:
            self.suspects.run_succeeded(now, req)

    def _target_rejected(
        self,
        now: float,
        req: inbound_request.InboundRequest,
        event: events.TargetAnswered,
    ) -> None:
        """Reject a request that the target rejected; it may be granted a retry."""
        facts = event.facts
        self.runs.end(now, req)
        self.health.count(now, failed=True)
        expected_id = incarnations.target_id_of(self.target.incarnation)
        if facts.target_id and facts.target_id != expected_id:
            self.target.mark_replaced(now, facts.target_id)
        granted = self._grant_retry(now, req)
        self.results.send_rejection(
            now,
            req,
            messages.Reason.TARGET_REJECTED,
            rejected_by_target=True,
            retry_granted=granted,
            inputs={
                "conn": event.conn,
                "after_ms": round(1000 * (now - req.started_at), 1),
                **({} if granted else self.retry_budget.snapshot()),
            },
        )
        self.queue.start_next(now)

    def _grant_retry(self, now: float, req: inbound_request.InboundRequest) -> bool:
        """Return whether a request that the target shed may be retried."""
        if not self.ctx.switches.offer_shed_again:
            return False
        by_priority = self.ctx.switches.keep_offers_for_urgent
        priority = req.priority if by_priority else 0
        return self.retry_budget.grant_retry(
            now, priority, first=req.forward.is_first_call
        )

    def _target_opened(self, now: float) -> None:
        """Announce that the target accepts requests."""
        self.suspects.incarnation_started()
        target_id = incarnations.target_id_of(self.target.incarnation)
        self.rate_limit.target_opened(now, target_id)
        self.announce(now)

    def _target_closed(self, now: float, reason: messages.Reason) -> None:
        """Announce that the target accepts no requests, and reject the queued ones."""
        self.announce(now)
        self.queue.reject_all(now, reason)
