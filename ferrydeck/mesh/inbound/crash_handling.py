"""Handles runs whose answer is lost, by a broken connection or a crash of the target.

A lost run keeps its slot until the crash detector has a verdict, which determines the
reported reason. After a crash, the other daemons receive the suspects before the lost
requests, so that they don't retry a suspect like other requests.

An answer without a length ends with its connection, which a crash ends too. So its end
is held until the verdict as well, and is passed on only if the target has not crashed.

Owns the ends that are held; the crash detector and the records belong to
`PoisonTracker`.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

from ferrydeck.mesh import context, effects, events, messages
from ferrydeck.mesh.inbound import (
    inbound_request,
    request_queue,
    results,
    runs,
    target_watch,
)
from ferrydeck.mesh.poison import crash_detection, records, tracker


@attrs.define(kw_only=True)
class CrashHandler:
    """Reports lost runs, and distinguishes a crash from a lost connection."""

    ctx: context.Context
    target: target_watch.TargetWatch
    runs: runs.Runs
    results: results.Results
    queue: request_queue.RequestQueue
    suspects: tracker.PoisonTracker
    deliver_ended: Callable[
        [float, events.TargetAnswered | events.TargetAnswerPart], None
    ]
    """Returns an answer whose end was held."""
    _ended: dict[int, events.TargetAnswered | events.TargetAnswerPart] = attrs.Factory(
        dict
    )
    """The ends of answers that are held, by dispatch number."""

    def answer_ended(
        self,
        now: float,
        req: inbound_request.InboundRequest,
        event: events.TargetAnswered | events.TargetAnswerPart,
    ) -> None:
        """Hold the end of an answer that ended with its connection."""
        self._ended[req.dispatch] = event
        if self.suspects.crash_detector.add(now, req, self.runs.by_dispatch):
            self._set_settle_timer(now)

    def request_failed(self, now: float, event: events.TargetFailed) -> None:
        """Handle a request without a complete answer."""
        req = self.runs.by_dispatch.get(event.dispatch)
        if event.refused:
            self.target.mark_down(now, event.detail)
        if req is not None and event.sent:
            self._hold_lost_run(now, req)
        elif req is not None:
            self.runs.end(now, req)
            self.results.send_rejection(now, req, messages.Reason.NOT_SENT)
        if event.refused:
            self.suspects.crash_detector.health_check_done(refused=True)
            self.resolve_lost_runs(now)
        self.queue.start_next(now)

    def probe_answered(self, now: float, event: events.ProbeAnswered) -> None:
        """Handle the result of a health check."""
        self.target.probe_answered(now, event)
        detector = self.suspects.crash_detector
        if not detector.lost:
            return
        if event.refused or event.answered:
            detector.health_check_done(refused=event.refused)
        else:
            self.target.check(now)
        self.resolve_lost_runs(now)

    def resolve_lost_runs(self, now: float) -> None:
        """Report the lost runs once the crash detector has a verdict."""
        detector = self.suspects.crash_detector
        if not detector.lost:
            return
        verdict = detector.verdict(now, self.runs.by_dispatch)
        match verdict:
            case crash_detection.Verdict.UNDECIDED:
                self.ctx.set_timer(
                    detector.settle_deadline(), crash_detection.VerdictTimer()
                )
                return
            case crash_detection.Verdict.ALL_LOST:
                self.target.check(now)
                self.ctx.set_timer(
                    detector.confirm_deadline(), crash_detection.VerdictTimer()
                )
                return
        lost = detector.take_lost(self.runs.by_dispatch)
        reason = messages.Reason.TARGET_LOST
        if verdict is crash_detection.Verdict.CRASHED:
            reason = messages.Reason.TARGET_CRASHED
            self.suspects.target_crashed(now, lost)
        for req in lost:
            ended = self._ended.pop(req.dispatch, None)
            if req.dispatch not in self.runs.by_dispatch:
                continue
            if ended is None or verdict is crash_detection.Verdict.CRASHED:
                self.results.fail(now, req, reason)
            else:
                self.deliver_ended(now, ended)
        self.queue.start_next(now)

    def suspects_changed(self, now: float, update: list[records.SuspectRecord]) -> None:
        """Handle suspects that another daemon has reported.

        Cancels retryable copies that run here before they crash the local target too.
        """
        for req in self.suspects.running_suspects(now, update, self.runs.by_dispatch):
            if req.forward.retryable and not req.streaming:
                self.ctx.emit(effects.CancelDispatch(dispatch=req.dispatch))
                self.suspects.run_cancelled(now, req)
                self.results.end_unanswered(now, req, messages.Reason.SUSPECT)
        for req in self.suspects.isolation.blocked_requests():
            self.queue.reject_suspect(now, req, messages.Reason.BLOCKED)
        self.queue.start_next(now)

    def _hold_lost_run(self, now: float, req: inbound_request.InboundRequest) -> None:
        """Keep the slot of a lost run until there is a verdict."""
        detector = self.suspects.crash_detector
        if not detector.add(now, req, self.runs.by_dispatch):
            return
        self.target.check(now)
        self._set_settle_timer(now)

    def _set_settle_timer(self, now: float) -> None:
        self.ctx.set_timer(
            now + crash_detection.SETTLE_TIME_S, crash_detection.VerdictTimer()
        )
