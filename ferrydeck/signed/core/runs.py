"""Execution of jobs at the target beside this daemon, from dispatch to full answer.

`admission` decides which job starts next, `idempotency` tracks the keys of requests
that must not run twice, and `correlation` finds the job that made a nested call.
"""

from __future__ import annotations

import collections

import attrs

from ferrydeck.signed.core import (
    admission,
    context,
    correlation,
    effects,
    events,
    headers,
    idempotency,
    jobs,
    keys,
    local_target,
    replies,
    retry_limits,
    shards,
)
from ferrydeck.signed.wire import messages

MAX_PARTS_IN_FLIGHT = 4
"""Flow-control window of a streamed answer, in parts."""
STALL_TIMEOUT_S = 10.0
"""Time without progress after which a streamed answer is aborted."""
OVERLOAD_STATUS = 503
"""Status with which a target sheds load; it lowers the concurrency limit."""


@attrs.define(kw_only=True, frozen=True)
class StallTimer:
    """Fires when a streamed answer may have stalled."""

    dispatch: int


@attrs.define(kw_only=True)
class Runs:
    """Dispatches jobs to the target and forwards its answers."""

    ctx: context.Context
    owner: shards.ShardOwner
    correlation: correlation.Correlation
    target: local_target.LocalTarget
    replies: replies.ReplySender
    keyed_jobs: idempotency.KeyedJobs
    running: dict[int, jobs.Job] = attrs.Factory(dict)
    """The running jobs by dispatch id."""
    _requests: collections.Counter[str] = attrs.Factory(collections.Counter)

    def is_request_running(self, request_id: str) -> bool:
        """Return whether a job of a request is running here, at any call depth."""
        return request_id in self._requests

    def apply_decisions(self, now: float, decisions: list[admission.Decision]) -> None:
        """Start or reject jobs as decided by admission control."""
        for decision in decisions:
            match decision:
                case admission.Start(job=job):
                    self._start(now, job)
                case admission.Reject(job=job, reason=reason):
                    self.replies.reject_key(now, job, reason)

    def cancel(self, now: float, job: jobs.Job) -> None:
        """Stop a running job whose caller no longer waits.

        A request that must not run twice runs to completion and its answer is stored.
        """
        if job.state is jobs.JobState.STREAMING or not job.forward.once:
            self.ctx.emit(effects.CancelTarget(dispatch=job.dispatch_id))
            self._finish(now, job, overloaded=False)

    def read_parts(self, now: float, job: jobs.Job, parts: int) -> None:
        """Read more parts of a streamed answer, as the caller grants credit."""
        if job.state is not jobs.JobState.STREAMING:
            return
        job.progress_at = now
        for _ in range(parts):
            self.ctx.emit(effects.ReadTarget(dispatch=job.dispatch_id))

    def handle_head(self, now: float, event: events.TargetHead) -> None:
        """Forward the target's answer, or the first part of a streamed one."""
        job = self.running.get(event.dispatch)
        if job is None:
            self.ctx.count("late_answers", "target")
            return
        streamed = len(event.body) < event.total
        if streamed and job.forward.once:
            self._lose_answer(now, job, messages.Reason.BAD_ANSWER)
            return
        job.body_bytes = event.total
        job.sent_bytes = len(event.body)
        unused = self.correlation.remove(job.run_token)
        if not streamed:
            self._finish(now, job, overloaded=event.status == OVERLOAD_STATUS)
        answer = messages.Answer(
            attempt=job.forward.attempt,
            status=event.status,
            headers=headers.end_to_end(event.headers),
            body=event.body,
            total=event.total,
            unused=unused,
            load=self.target.load(now, job.forward),
        )
        if job.key_record is not None:
            self.keyed_jobs.store_answer(job.key_record, answer)
        self.replies.send(job, answer)
        if streamed:
            self._stream(now, job)

    def handle_part(self, now: float, event: events.TargetPart) -> None:
        """Forward the next part of a streamed answer."""
        job = self.running.get(event.dispatch)
        if job is None or job.state is not jobs.JobState.STREAMING:
            return
        part = messages.Part(
            attempt=job.forward.attempt, offset=job.sent_bytes, data=event.data
        )
        job.sent_bytes += len(event.data)
        job.progress_at = now
        self.replies.send(job, part)
        if job.sent_bytes >= job.body_bytes:
            self._finish(now, job, overloaded=False)

    def handle_failure(self, now: float, event: events.TargetFailed) -> None:
        """Handle a target that failed before its answer was complete."""
        job = self.running.get(event.dispatch)
        if job is None:
            return
        if job.state is jobs.JobState.STREAMING:
            self.replies.send(job, messages.Broken(attempt=job.forward.attempt))
            self._finish(now, job, overloaded=True)
            return
        if event.sent:
            self._lose_answer(now, job, event.reason)
            return
        self._finish(now, job, overloaded=True)
        self.replies.reject_key(now, job, event.reason)

    def check_stall(self, now: float, dispatch: int) -> None:
        """Abort a streamed answer that has stalled."""
        job = self.running.get(dispatch)
        if job is None:
            return
        if now - job.progress_at < STALL_TIMEOUT_S:
            self.ctx.schedule(
                job.progress_at + STALL_TIMEOUT_S, StallTimer(dispatch=dispatch)
            )
            return
        self.ctx.emit(effects.CancelTarget(dispatch=dispatch))
        self.replies.send(job, messages.Broken(attempt=job.forward.attempt))
        self._finish(now, job, overloaded=False)

    def _start(self, now: float, job: jobs.Job) -> None:
        """Dispatch a job to the target; this happens at most once per job."""
        forward = job.forward
        if forward.once:
            if not self.owner.may_start(now, keys.shard_of(forward.key)):
                self._reject_without_lease(now, job)
                return
            job.key_record.state = keys.KeyState.RUNNING
        job.state = jobs.JobState.RUNNING
        job.started_at = now
        job.dispatch_id = self.ctx.next_number()
        job.run_token = f"{self.ctx.rng.getrandbits(64):016x}"
        self.running[job.dispatch_id] = job
        self._requests[forward.request_id] += 1
        self.correlation.add(
            correlation.Run(
                token=job.run_token,
                request_id=forward.request_id,
                priority=forward.priority,
                depth=forward.depth,
                expires=job.deadline,
                allowance=retry_limits.RetryAllowance(remaining=forward.allowance),
                path_key=self.target.path_key(forward),
            )
        )
        self.ctx.emit(self._dispatch(now, job))

    def _dispatch(self, now: float, job: jobs.Job) -> effects.DispatchTarget:
        forward = job.forward
        left = max(0.0, job.deadline - now)
        timeout_s = left
        if forward.once:
            # Waits longer, for an answer that the caller's next retry can receive.
            timeout_s += self.ctx.active.bundle.longest_deadline_s
        return effects.DispatchTarget(
            dispatch=job.dispatch_id,
            method=forward.method,
            path=forward.path,
            headers=(
                *forward.headers,
                messages.Header(name=headers.CONTEXT, value=job.run_token),
                messages.Header(name=headers.DEADLINE_MS, value=str(int(left * 1000))),
            ),
            body=forward.body,
            timeout_s=timeout_s,
        )

    def _reject_without_lease(self, now: float, job: jobs.Job) -> None:
        """Reject a job that was admitted after the lease had ended."""
        slots = self.target.admission
        decisions = slots.finish(now, service_s=slots.mean_service_s)
        self.replies.reject_key(now, job, messages.Reason.NO_LEASE)
        self.apply_decisions(now, decisions)

    def _stream(self, now: float, job: jobs.Job) -> None:
        job.state = jobs.JobState.STREAMING
        job.progress_at = now
        self.ctx.schedule(now + STALL_TIMEOUT_S, StallTimer(dispatch=job.dispatch_id))
        for _ in range(MAX_PARTS_IN_FLIGHT):
            self.ctx.emit(effects.ReadTarget(dispatch=job.dispatch_id))

    def _lose_answer(self, now: float, job: jobs.Job, reason: messages.Reason) -> None:
        """Reply that a job may have run and that its answer is lost."""
        self.ctx.emit(effects.CancelTarget(dispatch=job.dispatch_id))
        # A timeout is no sign of lost capacity, so it doesn't lower the limit.
        self._finish(now, job, overloaded=reason is not messages.Reason.NO_ANSWER)
        if job.key_record is None:
            self.replies.reply_uncertain(now, job, reason)
            return
        self.keyed_jobs.mark_uncertain(now, job.key_record, reason)

    def _finish(self, now: float, job: jobs.Job, *, overloaded: bool) -> None:
        """Release the job's slot at the target; `overloaded` lowers the limit."""
        job.state = jobs.JobState.ENDED
        self.running.pop(job.dispatch_id, None)
        self._requests[job.forward.request_id] -= 1
        if not self._requests[job.forward.request_id]:
            del self._requests[job.forward.request_id]
        self.replies.jobs.pop(jobs.attempt_id(job), None)
        self.correlation.remove(job.run_token)
        run_s = now - job.started_at
        self.apply_decisions(
            now,
            self.target.admission.finish(now, service_s=run_s, overloaded=overloaded),
        )
