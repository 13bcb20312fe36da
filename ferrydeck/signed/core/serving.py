"""Server side: decides what happens to attempts that daemons forward to the target.

Checks each attempt itself, then its idempotency key, the admission level of its route
and admission control. Owns all queued and running jobs; `runs` executes them.
"""

from __future__ import annotations

import attrs

from ferrydeck.signed.core import (
    context,
    correlation,
    idempotency,
    jobs,
    keys,
    local_target,
    recent_set,
    replies,
    runs,
    shards,
)
from ferrydeck.signed.wire import messages

ATTEMPT_RETENTION_S = 60.0
"""How long ids of received and cancelled attempts are kept, to detect duplicates."""
EXPIRY_INTERVAL_S = 0.05
"""Time between searches of the queue for jobs past their deadline."""


@attrs.define(kw_only=True, frozen=True)
class ExpiryTimer:
    """Fires when queued jobs are to be checked for expiry."""


@attrs.define(kw_only=True)
class Serving:
    """Serves forwarded attempts with the target beside this daemon."""

    ctx: context.Context
    owner: shards.ShardOwner
    table: keys.KeyTable
    correlation: correlation.Correlation
    target: local_target.LocalTarget = attrs.field(init=False)
    replies: replies.ReplySender = attrs.field(init=False)
    keyed_jobs: idempotency.KeyedJobs = attrs.field(init=False)
    runs: runs.Runs = attrs.field(init=False)
    jobs: dict[tuple[str, int, int], jobs.Job] = attrs.Factory(dict)
    _seen: recent_set.RecentSet = attrs.Factory(
        lambda: recent_set.RecentSet(retention_s=ATTEMPT_RETENTION_S)
    )
    _cancelled: recent_set.RecentSet = attrs.Factory(
        lambda: recent_set.RecentSet(retention_s=ATTEMPT_RETENTION_S)
    )

    def __attrs_post_init__(self) -> None:
        self.target = local_target.LocalTarget(
            ctx=self.ctx, correlation=self.correlation
        )
        self.replies = replies.ReplySender(
            ctx=self.ctx, target=self.target, key_table=self.table, jobs=self.jobs
        )
        self.keyed_jobs = idempotency.KeyedJobs(
            ctx=self.ctx, replies=self.replies, owner=self.owner, table=self.table
        )
        self.runs = runs.Runs(
            ctx=self.ctx,
            owner=self.owner,
            correlation=self.correlation,
            target=self.target,
            replies=self.replies,
            keyed_jobs=self.keyed_jobs,
        )

    @property
    def idle(self) -> bool:
        """Return whether no job is queued, deferred or running."""
        return not self.jobs and not self.runs.running and not self.keyed_jobs.deferred

    def start(self, now: float) -> None:
        """Start the periodic check for expired jobs."""
        if self.ctx.identity.service:
            self.ctx.schedule(now + EXPIRY_INTERVAL_S, ExpiryTimer())

    def handle_forward(
        self, now: float, sender: jobs.Sender, forward: messages.Forward, delay: float
    ) -> None:
        """Process an attempt that another daemon, or this one, forwarded."""
        attempt_id = (sender.box, sender.incarnation, forward.attempt)
        if attempt_id in self._seen:
            self.ctx.count("peer_messages_dropped", "duplicate-attempt")
            return
        self._seen.add(now, attempt_id)
        job = jobs.Job(
            sender=sender,
            forward=forward,
            accepted_at=now - delay - forward.age_ms / 1000,
            deadline=now - delay + forward.remaining_ms / 1000,
        )
        self._process(now, job)

    def handle_cancel(self, now: float, sender: jobs.Sender, attempt: int) -> None:
        """Cancel an attempt, or reject it if it has not started."""
        attempt_id = (sender.box, sender.incarnation, attempt)
        self._cancelled.add(now, attempt_id)
        deferred = self.keyed_jobs.deferred.pop(attempt_id, None)
        if deferred is not None:
            self.replies.reply_uncertain(now, deferred, messages.Reason.CANCELLED)
            return
        job = self.jobs.get(attempt_id)
        if job is None:
            return
        if job.state is jobs.JobState.QUEUED:
            self._cancel_queued(now, job)
            return
        self.runs.cancel(now, job)

    def handle_credit(
        self, now: float, sender: jobs.Sender, credit: messages.Credit
    ) -> None:
        """Read more parts of a streamed answer, as the caller grants credit."""
        job = self.jobs.get((sender.box, sender.incarnation, credit.attempt))
        if job is not None:
            self.runs.read_parts(now, job, credit.parts)

    def expire_jobs(self, now: float) -> None:
        """Reject queued jobs that expired, and process deferred jobs again."""
        self.ctx.schedule(now + EXPIRY_INTERVAL_S, ExpiryTimer())
        if self.target.admission is not None:
            self.runs.apply_decisions(now, self.target.admission.expire(now))
        for job in self.keyed_jobs.take_deferred():
            if now >= job.deadline:
                self.replies.reply_uncertain(now, job, messages.Reason.MOVING)
                continue
            self._process(now, job)

    def _process(self, now: float, job: jobs.Job) -> None:
        """Queue, start, defer, reject or answer an attempt."""
        reason = self._rejection_reason(now, job)
        if job.forward.once:
            if self.keyed_jobs.admit(now, job, reason):
                self._offer(now, job)
            return
        if reason is not None:
            self.replies.reject(now, job, reason)
            return
        self._offer(now, job)

    def _rejection_reason(self, now: float, job: jobs.Job) -> messages.Reason | None:
        """Return why an attempt is rejected regardless of its key, or `None`."""
        if jobs.attempt_id(job) in self._cancelled:
            return messages.Reason.CANCELLED
        own = job.forward.service == self.ctx.identity.service
        if self.target.admission is None or not own:
            return messages.Reason.NO_TARGET
        if job.deadline <= now:
            return messages.Reason.EXPIRED
        if self.ctx.leaving:
            return messages.Reason.LEAVING
        return None

    def _offer(self, now: float, job: jobs.Job) -> None:
        """Pass a job to admission control."""
        forward = job.forward
        shed_early = self.ctx.policy.shed_at_caller
        if shed_early and forward.priority > self.target.path_level(now, forward):
            self.replies.reject_key(now, job, messages.Reason.OVERLOAD)
            return
        self.jobs[jobs.attempt_id(job)] = job
        if forward.depth and self.runs.is_request_running(forward.request_id):
            self.target.admission.reserve_for_nested(now)
        decisions = self.target.admission.offer(
            now,
            job,
            priority=forward.priority,
            depth=forward.depth,
            deadline=job.deadline,
        )
        self.runs.apply_decisions(now, decisions)

    def _cancel_queued(self, now: float, job: jobs.Job) -> None:
        record = job.key_record
        if record is not None and len(record.jobs) > 1:
            self.keyed_jobs.cancel_duplicate(now, job, record)
            return
        if record is not None and record.state is keys.KeyState.RUNNING:
            return
        self.target.admission.remove_queued(job)
        self.replies.reject_key(now, job, messages.Reason.CANCELLED)
