"""At-most-once execution: handles attempts that carry an idempotency key.

`shards` tells for which keys this box may answer, and the table in `keys` stores their
states and answers. Owns the jobs that are deferred while their shard is handed over.
"""

from __future__ import annotations

import attrs

from ferrydeck.signed.core import context, jobs, keys, ownership, replies, shards
from ferrydeck.signed.wire import messages

MAX_TRANSIT_S = 0.1
"""Transit time that may be missing from the reported age of a request."""


@attrs.define(kw_only=True)
class KeyedJobs:
    """Starts the job of each key at most once and answers every retry of it."""

    ctx: context.Context
    replies: replies.ReplySender
    owner: shards.ShardOwner
    table: keys.KeyTable
    deferred: dict[tuple[str, int, int], jobs.Job] = attrs.Factory(dict)
    """Jobs with unknown keys that wait until the handover of their shard ends."""

    def admit(self, now: float, job: jobs.Job, reason: messages.Reason | None) -> bool:
        """Return whether to queue an attempt; otherwise answer or defer it.

        `reason` is a reason to reject it that applies unless its key is known.
        """
        if reason is messages.Reason.NO_TARGET:
            self.replies.reject(now, job, reason)
            return False
        authority = self.owner.key_authority(now, keys.shard_of(job.forward.key))
        if isinstance(authority, ownership.NotOwner):
            self.replies.reject(now, job, authority.reason, owner=authority.owner)
            return False
        record = self.table.find(job.forward.key)
        if record is not None and record.state is not keys.KeyState.REFUSED:
            self._answer_known_key(now, job, record)
            return False
        if isinstance(authority, ownership.KnownKeys):
            self._answer_unknown_key(now, job, authority)
            return False
        if record is not None and job.accepted_at - MAX_TRANSIT_S <= record.refused_at:
            self.replies.reject(now, job, messages.Reason.STALE_SENDING)
            return False
        return self._add_key(now, job, reason)

    def take_deferred(self) -> list[jobs.Job]:
        """Remove and return the deferred jobs."""
        deferred, self.deferred = self.deferred, {}
        return list(deferred.values())

    def cancel_duplicate(self, now: float, job: jobs.Job, record: keys.Record) -> None:
        """Cancel a retry that waits for the answer of another attempt with its key."""
        if record.jobs[0] is job:
            return
        record.jobs.remove(job)
        self.replies.jobs.pop(jobs.attempt_id(job), None)
        self.replies.reply_uncertain(now, job, messages.Reason.CANCELLED)

    def store_answer(self, record: keys.Record, answer: messages.Answer) -> None:
        """Store the answer of a key and send it to all waiting retries."""
        kept = len(answer.body) <= keys.MAX_STORED_ANSWER_BYTES
        record.state = keys.KeyState.DONE if kept else keys.KeyState.UNCERTAIN
        if kept:
            record.status = answer.status
            record.headers = answer.headers
            record.body = answer.body
        waiters = record.jobs[1:]
        record.jobs = []
        for waiter in waiters:
            self.replies.jobs.pop(jobs.attempt_id(waiter), None)
            self.replies.send(
                waiter,
                attrs.evolve(
                    answer,
                    attempt=waiter.forward.attempt,
                    unused=waiter.forward.allowance,
                    replayed=True,
                ),
            )

    def mark_uncertain(
        self, now: float, record: keys.Record, reason: messages.Reason
    ) -> None:
        """Mark the outcome of a key as uncertain and notify all waiting attempts."""
        record.state = keys.KeyState.UNCERTAIN
        for waiter in record.jobs:
            self.replies.jobs.pop(jobs.attempt_id(waiter), None)
            self.replies.reply_uncertain(now, waiter, reason)
        record.jobs = []

    def _answer_known_key(self, now: float, job: jobs.Job, record: keys.Record) -> None:
        """Answer an attempt whose key has run, is running or is queued."""
        forward = job.forward
        fingerprint = keys.fingerprint(forward.method, forward.path, forward.body)
        if record.fingerprint != fingerprint or record.caller != forward.caller:
            self.replies.reject(now, job, messages.Reason.KEY_MISMATCH)
            return
        if record.in_flight:
            job.key_record = record
            record.jobs.append(job)
            self.replies.jobs[jobs.attempt_id(job)] = job
            return
        if record.state is keys.KeyState.UNCERTAIN:
            self.replies.reply_uncertain(now, job, messages.Reason.TARGET_LOST)
            return
        self.replies.send(job, self._stored_answer(now, job, record))

    def _answer_unknown_key(
        self, now: float, job: jobs.Job, authority: ownership.KnownKeys
    ) -> None:
        """Answer or defer an attempt whose key may be known to another owner only."""
        if authority.reason is messages.Reason.MOVING:
            # The handover takes milliseconds; the job is processed again after it.
            self.deferred[jobs.attempt_id(job)] = job
            return
        self.replies.reply_uncertain(
            now, job, authority.reason, authority.retry_after_s
        )

    def _add_key(
        self, now: float, job: jobs.Job, reason: messages.Reason | None
    ) -> bool:
        """Add a new key to the table; return whether to queue its job."""
        bundle = self.ctx.active.bundle
        forward = job.forward
        record = keys.Record(
            key=forward.key,
            caller=forward.caller,
            fingerprint=keys.fingerprint(forward.method, forward.path, forward.body),
            state=keys.KeyState.PENDING,
            expires_at=now + bundle.key_retention_s,
            jobs=[job],
        )
        if self.table.count >= bundle.once.max_keys:
            self.replies.reject(now, job, messages.Reason.KEYS_FULL)
            return False
        self.table.add(record)
        job.key_record = record
        if reason is not None:
            self.replies.reject_key(now, job, reason)
            return False
        return True

    def _stored_answer(
        self, now: float, job: jobs.Job, record: keys.Record
    ) -> messages.Answer:
        return messages.Answer(
            attempt=job.forward.attempt,
            status=record.status,
            headers=record.headers,
            body=record.body,
            total=len(record.body),
            unused=job.forward.allowance,
            load=self.replies.target.load(now),
            replayed=True,
        )
