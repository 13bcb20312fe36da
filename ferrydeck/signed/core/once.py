"""Calls that must not run twice, at their target: the key decides what happens.

Owns the jobs that wait for their shard to move. Relies on `shards` for what this
box may answer for a key, and on the table of `keys` for what it remembers.
"""

from __future__ import annotations

import attrs

from ferrydeck.signed.core import context, jobs, keys, ownership, replies, shards
from ferrydeck.signed.wire import messages

MAX_TRANSIT_S = 0.1
"""Transit that the age of a sending may not show, seconds."""


@attrs.define(kw_only=True)
class KeyedJobs:
    """Starts each key at most once and answers all its sendings."""

    ctx: context.Context
    replies: replies.ReplySender
    owner: shards.ShardOwner
    table: keys.KeyTable
    deferred: dict[tuple[str, int, int], jobs.Job] = attrs.Factory(dict)
    """Jobs of unknown keys that wait until their shard has moved."""

    def admit(self, now: float, job: jobs.Job, reason: messages.Reason | None) -> bool:
        """Return whether to queue an attempt; answer or park it where not.

        `reason` is why it is to be rejected unless its key is known, if at all.
        """
        if reason is messages.Reason.NO_TARGET:
            self.replies.reject(now, job, reason)
            return False
        claim = self.owner.key_authority(now, keys.shard_of(job.forward.key))
        if isinstance(claim, ownership.NotOwner):
            self.replies.reject(now, job, claim.reason, owner=claim.owner)
            return False
        entry = self.table.find(job.forward.key)
        if entry is not None and entry.state is not keys.KeyState.REFUSED:
            self._answer_known_key(now, job, entry)
            return False
        if isinstance(claim, ownership.KnownKeys):
            self._answer_unknown_key(now, job, claim)
            return False
        if entry is not None and job.accepted_at - MAX_TRANSIT_S <= entry.refused_at:
            self.replies.reject(now, job, messages.Reason.STALE_SENDING)
            return False
        return self._add_key(now, job, reason)

    def take_deferred(self) -> list[jobs.Job]:
        """Return the parked jobs, to be decided on again."""
        parked, self.deferred = self.deferred, {}
        return list(parked.values())

    def cancel_duplicate(
        self, now: float, job: jobs.Job, entry: keys.KeyRecord
    ) -> None:
        """Answer one of several sendings of a key, which itself stays queued."""
        if entry.jobs[0] is job:
            return
        entry.jobs.remove(job)
        self.replies.jobs.pop(jobs.attempt_id(job), None)
        self.replies.reply_uncertain(now, job, messages.Reason.CANCELLED)

    def store_answer(self, entry: keys.KeyRecord, answer: messages.Answer) -> None:
        """Remember the answer of a key and send it to all who wait for it."""
        kept = len(answer.body) <= keys.MAX_STORED_ANSWER_BYTES
        entry.state = keys.KeyState.DONE if kept else keys.KeyState.UNCERTAIN
        if kept:
            entry.status = answer.status
            entry.headers = answer.headers
            entry.body = answer.body
        waiters = entry.jobs[1:]
        entry.jobs = []
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
        self, now: float, entry: keys.KeyRecord, reason: messages.Reason
    ) -> None:
        """Mark a key as uncertain, and answer all who wait for it."""
        entry.state = keys.KeyState.UNCERTAIN
        for waiter in entry.jobs:
            self.replies.jobs.pop(jobs.attempt_id(waiter), None)
            self.replies.reply_uncertain(now, waiter, reason)
        entry.jobs = []

    def _answer_known_key(
        self, now: float, job: jobs.Job, entry: keys.KeyRecord
    ) -> None:
        """Answer for a key that has run, runs or waits to run."""
        forward = job.forward
        mark = keys.fingerprint(forward.method, forward.path, forward.body)
        if entry.fingerprint != mark or entry.caller != forward.caller:
            self.replies.reject(now, job, messages.Reason.KEY_MISMATCH)
            return
        if entry.in_flight:
            job.key_record = entry
            entry.jobs.append(job)
            self.replies.jobs[jobs.attempt_id(job)] = job
            return
        if entry.state is keys.KeyState.UNCERTAIN:
            self.replies.reply_uncertain(now, job, messages.Reason.TARGET_LOST)
            return
        self.replies.send(job, self._stored_answer(now, job, entry))

    def _answer_unknown_key(
        self, now: float, job: jobs.Job, claim: ownership.KnownKeys
    ) -> None:
        """Answer for a key that this owner can't judge."""
        if claim.reason is messages.Reason.MOVING:
            # The move takes some ms; then the successor is known, or it failed.
            self.deferred[jobs.attempt_id(job)] = job
            return
        self.replies.reply_uncertain(now, job, claim.reason, claim.retry_after_s)

    def _add_key(
        self, now: float, job: jobs.Job, reason: messages.Reason | None
    ) -> bool:
        """Remember a key that is not known here; return whether to queue its job."""
        bundle = self.ctx.active.bundle
        forward = job.forward
        entry = keys.KeyRecord(
            key=forward.key,
            caller=forward.caller,
            fingerprint=keys.fingerprint(forward.method, forward.path, forward.body),
            state=keys.KeyState.PENDING,
            expires_at=now + bundle.kept_s,
            jobs=[job],
        )
        if self.table.count >= bundle.once.max_keys:
            self.replies.reject(now, job, messages.Reason.KEYS_FULL)
            return False
        self.table.add(entry)
        job.key_record = entry
        if reason is not None:
            self.replies.reject_key(now, job, reason)
            return False
        return True

    def _stored_answer(
        self, now: float, job: jobs.Job, entry: keys.KeyRecord
    ) -> messages.Answer:
        return messages.Answer(
            attempt=job.forward.attempt,
            status=entry.status,
            headers=entry.headers,
            body=entry.body,
            total=len(entry.body),
            unused=job.forward.allowance,
            load=self.replies.target.load(now),
            replayed=True,
        )
