"""Replies that the target's daemon sends on its own: rejections and unknown outcomes.

Each carries the load of `local_target` and a time from `retry_after`. Jobs rejected
together by `reject_key` are removed from the job table, which belongs to `serving`.
"""

from __future__ import annotations

import attrs

from ferrydeck.signed.core import context, jobs, keys, local_target, retry_after
from ferrydeck.signed.wire import messages


@attrs.define(kw_only=True)
class ReplySender:
    """Sends replies to the daemons that forwarded the jobs."""

    ctx: context.Context
    target: local_target.LocalTarget
    key_table: keys.KeyTable
    jobs: dict[tuple[str, int, int], jobs.Job]

    def reject(
        self, now: float, job: jobs.Job, reason: messages.Reason, *, owner: str = ""
    ) -> None:
        """Reply that a job was not started and never will be."""
        self.ctx.count("refusals", reason)
        refusal = messages.Refused(
            attempt=job.forward.attempt,
            reason=reason,
            retry_after_ms=self.ctx.jittered_ms(retry_after.TARGET_REJECTED_S),
            unused=job.forward.allowance,
            load=self.target.load(now, job.forward),
            owner=owner,
        )
        self.send(job, refusal)

    def reject_key(self, now: float, job: jobs.Job, reason: messages.Reason) -> None:
        """Reject a job and all others that wait for the same key."""
        if job.key_record is None:
            self.jobs.pop(jobs.attempt_id(job), None)
            self.reject(now, job, reason)
            return
        waiters, job.key_record.jobs = job.key_record.jobs, []
        keep_s = self.ctx.active.bundle.longest_deadline_s
        self.key_table.mark_refused(job.key_record, now, keep_s)
        for waiter in waiters:
            self.jobs.pop(jobs.attempt_id(waiter), None)
            self.reject(now, waiter, reason)

    def reply_uncertain(
        self,
        now: float,
        job: jobs.Job,
        reason: messages.Reason,
        retry_after_s: float = retry_after.OUTCOME_UNKNOWN_S,
    ) -> None:
        """Reply that a job, or an earlier request with its key, may have run."""
        uncertain = messages.Uncertain(
            attempt=job.forward.attempt,
            reason=reason,
            retry_after_ms=self.ctx.jittered_ms(retry_after_s),
            load=self.target.load(now),
        )
        self.send(job, uncertain)

    def send(self, job: jobs.Job, message: messages.Message) -> None:
        """Send a message to the daemon that forwarded a job."""
        sender = job.sender
        self.ctx.send(sender.box, sender.address, sender.incarnation, message)
