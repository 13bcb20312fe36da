"""Decides which suspects may run at a target together, so that a crash names one.

Owns the suspects that run here and those that wait. Relies on `request_queue` to start
them as slots become free. `owner` chooses the box for all copies of a suspect.
"""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from ferrydeck.mesh.inbound import inbound_request
from ferrydeck.mesh.poison import fingerprints, records

GROUP = 8
"""Suspects of one crash that run at a target together. Of 45 requests that ran on one
of five targets the other four get eleven each: two groups, so that those at the back
wait for one run. A second crash leaves eight, three for each target that is left, and
each of these runs alone: a third crash names one."""


@attrs.define(kw_only=True, eq=False)
class WaitingSuspect:
    """A suspect that waits until it may run."""

    req: inbound_request.InboundRequest
    record: records.SuspectRecord


@attrs.define(kw_only=True)
class IsolationQueue:
    """The suspects at one target, and those that wait for it."""

    waiting: list[WaitingSuspect] = attrs.Factory(list)
    running: dict[int, records.SuspectRecord] = attrs.Factory(dict)
    """Those at the target, by dispatch."""

    def __iter__(self) -> Iterator[inbound_request.InboundRequest]:
        return (one.req for one in self.waiting)

    def enqueue(
        self, req: inbound_request.InboundRequest, record: records.SuspectRecord
    ) -> None:
        """Have a suspect wait until it may run."""
        self.waiting.append(WaitingSuspect(req=req, record=record))

    def remove(self, req: inbound_request.InboundRequest) -> bool:
        """Take a waiting suspect out; return whether it was there."""
        found = next((one for one in self.waiting if one.req is req), None)
        if found is None:
            return False
        self.waiting.remove(found)
        return True

    def run_ended(self, dispatch: int) -> None:
        """Note that a run has ended, of a suspect or not."""
        self.running.pop(dispatch, None)

    def pop_next(self) -> inbound_request.InboundRequest | None:
        """Take the next suspect that may run out, `None` while there is none.

        One that has to run alone goes first: it would wait for ever behind groups.
        """
        some_alone = any(one.record.runs_alone for one in self.waiting)
        for one in self.waiting:
            if some_alone and one.record.uncleared and not one.record.runs_alone:
                continue
            if self._may_run(one.record):
                self.waiting.remove(one)
                self.running[one.req.dispatch] = one.record
                return one.req
        return None

    def isolated(self) -> set[fingerprints.Fingerprint]:
        """Return the suspects that run at the target."""
        return {one.fingerprint for one in self.running.values() if one.uncleared}

    def blocked_requests(self) -> list[inbound_request.InboundRequest]:
        """Return those that wait and may not run any more."""
        return [one.req for one in self.waiting if one.record.blocked]

    def pop_all(self) -> list[inbound_request.InboundRequest]:
        """Take all that wait out."""
        taken = [one.req for one in self.waiting]
        self.waiting.clear()
        return taken

    def _may_run(self, record: records.SuspectRecord) -> bool:
        """Return whether a suspect may run beside those that run now."""
        if not record.uncleared:
            return True
        beside = [one for one in self.running.values() if one.uncleared]
        if any(one is record for one in beside):
            return False
        if record.runs_alone:
            return not beside and not record.blocked
        if any(one.runs_alone for one in beside):
            return False
        return len(beside) < GROUP


def owner(fingerprint: fingerprints.Fingerprint, addresses: list[str]) -> str:
    """Return which of some daemons a suspect goes to: the same at each daemon.

    All copies of it meet at one target, which runs one at a time, and the suspects of
    one crash are spread over all others (rendezvous hashing).
    """
    return max(addresses, key=lambda one: fingerprints.weight(fingerprint, one))
