"""Limits which suspects run at a target together, so that a crash identifies one.

Tracks the running and the waiting suspects; `request_queue` starts the latter as slots
become free. `owner` picks the box for all copies of a suspect.
"""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from ferrydeck.mesh.inbound import inbound_request
from ferrydeck.mesh.poison import fingerprints, records

MAX_GROUP_SIZE = 8
"""Maximum number of suspects of one crash that run at a target together. A second crash
leaves that many, which then run alone, so a third crash identifies one."""


@attrs.define(kw_only=True, eq=False)
class WaitingSuspect:
    """A suspect that waits to be run."""

    req: inbound_request.InboundRequest
    record: records.SuspectRecord


@attrs.define(kw_only=True)
class IsolationQueue:
    """The running and the waiting suspects of one target."""

    waiting: list[WaitingSuspect] = attrs.Factory(list)
    running: dict[int, records.SuspectRecord] = attrs.Factory(dict)
    """Records of the running suspects, by dispatch."""

    def __iter__(self) -> Iterator[inbound_request.InboundRequest]:
        return (one.req for one in self.waiting)

    def enqueue(
        self, req: inbound_request.InboundRequest, record: records.SuspectRecord
    ) -> None:
        """Add a suspect to the queue."""
        self.waiting.append(WaitingSuspect(req=req, record=record))

    def remove(self, req: inbound_request.InboundRequest) -> bool:
        """Remove a waiting suspect; return whether it was in the queue."""
        found = next((one for one in self.waiting if one.req is req), None)
        if found is None:
            return False
        self.waiting.remove(found)
        return True

    def run_ended(self, dispatch: int) -> None:
        """Remove a run that has ended, if it was that of a suspect."""
        self.running.pop(dispatch, None)

    def pop_next(self) -> inbound_request.InboundRequest | None:
        """Remove and return the next suspect that may run, `None` if there is none.

        Suspects that run alone go first, since groups would starve them.
        """
        isolate_next = any(one.record.runs_alone for one in self.waiting)
        for one in self.waiting:
            if isolate_next and one.record.crash_count and not one.record.runs_alone:
                continue
            if self._may_run(one.record):
                self.waiting.remove(one)
                self.running[one.req.dispatch] = one.record
                return one.req
        return None

    def running_fingerprints(self) -> set[fingerprints.Fingerprint]:
        """Return the fingerprints of the running suspects."""
        return {one.fingerprint for one in self.running.values() if one.crash_count}

    def blocked_requests(self) -> list[inbound_request.InboundRequest]:
        """Return the waiting requests that have been blocked."""
        return [one.req for one in self.waiting if one.record.blocked]

    def pop_all(self) -> list[inbound_request.InboundRequest]:
        """Remove and return all waiting requests."""
        taken = [one.req for one in self.waiting]
        self.waiting.clear()
        return taken

    def _may_run(self, record: records.SuspectRecord) -> bool:
        """Return whether a suspect may run beside the running ones."""
        if not record.crash_count:
            return True
        suspects = [one for one in self.running.values() if one.crash_count]
        if any(one is record for one in suspects):
            return False
        if record.runs_alone:
            return not suspects and not record.blocked
        if any(one.runs_alone for one in suspects):
            return False
        return len(suspects) < MAX_GROUP_SIZE


def owner(fingerprint: fingerprints.Fingerprint, addresses: list[str]) -> str:
    """Return the address that owns a suspect, by rendezvous hashing.

    All daemons send the copies of a suspect to the same target, which runs them one at
    a time; different suspects are spread over all targets.
    """
    return max(addresses, key=lambda one: fingerprints.weight(fingerprint, one))
