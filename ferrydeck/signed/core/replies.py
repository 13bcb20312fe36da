"""Replies of the target's daemon that don't come from the target.

Relies on `retry_after` for the time to come back and on `local_target` for the
load that goes with each reply. Removes the jobs that it answers from the table of
`serving`, which owns it.
"""

from __future__ import annotations

import attrs

from ferrydeck.signed.core import context, jobs, keys, local_target, retry_after
from ferrydeck.signed.wire import messages


@attrs.define(kw_only=True)
class ReplySender:
    """Sends replies to the daemons that jobs came from."""

    ctx: context.Context
    target: local_target.LocalTarget
    key_table: keys.KeyTable
    jobs: dict[tuple[str, int, int], jobs.Job]

    def reject(
        self, now: float, job: jobs.Job, reason: messages.Reason, *, owner: str = ""
    ) -> None:
        """Reply that a job did not start and never will."""
        self.ctx.count("refusals", reason)
        rejected = messages.Refused(
            attempt=job.forward.attempt,
            reason=reason,
            retry_after_ms=self.ctx.jittered_ms(retry_after.TARGET_REJECTED_S),
            unused=job.forward.allowance,
            load=self.target.load(now, job.forward),
            owner=owner,
        )
        self.send(job, rejected)

    def reject_key(self, now: float, job: jobs.Job, reason: messages.Reason) -> None:
        """Reject a job, and with it all that wait for the same key."""
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
        """Reply that a job, or an earlier sending of its key, may have run."""
        uncertain = messages.Uncertain(
            attempt=job.forward.attempt,
            reason=reason,
            retry_after_ms=self.ctx.jittered_ms(retry_after_s),
            load=self.target.load(now),
        )
        self.send(job, uncertain)

    def send(self, job: jobs.Job, message: messages.Message) -> None:
        """Send a message to the daemon that the job came from."""
        sender = job.sender
        self.ctx.send(sender.box, sender.address, sender.incarnation, message)
