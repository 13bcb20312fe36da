"""Crash records of requests that were running when a target crashed.

A request is a suspect after one crash. It is blocked after three, one of them in an
isolated run, since the targets of a rack may crash together whatever they run. Records
are replicated between daemons as grow-only sets of crashes and of cleared crashes, so
reports may arrive late, repeatedly and in any order.

The tracker attributes the crashes of this box's target; reports of other daemons add
those that happened elsewhere.
"""

from __future__ import annotations

import collections
from collections.abc import Callable, Collection, Iterable

import attrs

from ferrydeck.mesh import messages
from ferrydeck.mesh.poison import fingerprints

BLOCKING_CRASHES = 3
"""Number of crashes after which a request is blocked."""
ISOLATING_CRASHES = 2
"""Number of crashes after which a request runs isolated from other suspects, so that
another crash identifies it."""
RECORD_TTL_S = 900.0
"""Lifetime of a record after the last crash, seconds. Callers retry for minutes at
most, and operators have read the log lines by then."""
MAX_RECORDS = 1024
"""Maximum number of records, as many as six targets with 168 slots run. They take
0.5 MB."""


@attrs.define(kw_only=True, eq=False)
class SuspectRecord:
    """The crashes of targets that were running a request."""

    fingerprint: fingerprints.Fingerprint
    crashes: frozenset[int] = frozenset()
    """Numbers of the crashes."""
    cleared: frozenset[int] = frozenset()
    """Crashes that a later success of the request has cleared."""
    isolated: frozenset[int] = frozenset()
    """Crashes that happened in an isolated run."""
    last_crash_at: float = 0.0
    """Time of the last crash, by this daemon's clock."""

    @property
    def crash_count(self) -> int:
        """Number of crashes that are not cleared; 0 if it is no suspect."""
        return len(self.crashes - self.cleared)

    @property
    def runs_alone(self) -> bool:
        """Whether it may only run isolated from other suspects."""
        return self.crash_count >= ISOLATING_CRASHES

    @property
    def blocked(self) -> bool:
        """Whether it must not run again."""
        enough = self.crash_count >= BLOCKING_CRASHES
        return enough and not self.isolated <= self.cleared

    @property
    def event_count(self) -> int:
        """Total size of the sets, which grows with each new report."""
        return len(self.crashes) + len(self.cleared) + len(self.isolated)

    def remaining_s(self, now: float) -> float:
        """Return the remaining lifetime of the record, seconds."""
        return max(0.0, self.last_crash_at + RECORD_TTL_S - now)


@attrs.define(kw_only=True)
class SuspectRecords:
    """The crash records of a daemon, by fingerprint."""

    by_fingerprint: dict[fingerprints.Fingerprint, SuspectRecord] = attrs.Factory(dict)
    _head_counts: collections.Counter[bytes] = attrs.Factory(collections.Counter)
    """Number of records by the first half of their fingerprint."""

    @property
    def empty(self) -> bool:
        """Whether there are no records."""
        return not self._head_counts

    def find(
        self,
        *,
        method: str,
        fields: messages.Fields,
        path: str,
        team: str,
        body: Callable[[], bytes],
    ) -> SuspectRecord | None:
        """Return the record of a request if it is a suspect.

        The body is hashed only if the rest of the request matches a record.
        """
        if not self._head_counts:
            return None
        head = fingerprints.head(method, fingerprints.host_of(fields), path, team)
        if head not in self._head_counts:
            return None
        record = self.by_fingerprint.get(fingerprints.join(head, body()))
        return record if record is not None and record.crash_count else None

    def find_forward(self, forward: messages.Forward) -> SuspectRecord | None:
        """Return the record of a forwarded request if it is a suspect."""
        if not self._head_counts:
            return None
        return self.find(
            method=forward.method,
            fields=forward.fields,
            path=forward.path,
            team=forward.team_name,
            body=lambda: forward.body,
        )

    def attribute_crash(
        self,
        now: float,
        crash: int,
        ran: Iterable[fingerprints.Fingerprint],
        isolated: Collection[fingerprints.Fingerprint] = (),
    ) -> list[messages.SuspectReport]:
        """Attribute a crash to running requests; return the reports to broadcast.

        `isolated` holds the fingerprints of those that ran isolated.
        """
        reports = []
        for fingerprint in ran:
            record = self._record(fingerprint)
            record.crashes |= {crash}
            if fingerprint in isolated:
                record.isolated |= {crash}
            record.last_crash_at = now
            reports.append(_report(now, record))
        self._evict(now)
        return reports

    def clear(self, now: float, record: SuspectRecord) -> messages.SuspectReport:
        """Clear a request that has succeeded; return the report to broadcast."""
        record.cleared |= record.crashes
        return _report(now, record)

    def merge(
        self, now: float, reports: Iterable[messages.SuspectReport]
    ) -> list[SuspectRecord]:
        """Merge the reports of another daemon; return the records that changed."""
        changed = []
        for report in reports:
            if report.age_s >= RECORD_TTL_S:
                continue
            record = self._record(report.fingerprint)
            before = record.event_count
            record.crashes |= frozenset(report.crashes)
            record.cleared |= frozenset(report.cleared)
            record.isolated |= frozenset(report.isolated)
            record.last_crash_at = max(record.last_crash_at, now - report.age_s)
            if record.event_count != before:
                changed.append(record)
        self._evict(now)
        return changed

    def reports(self, now: float) -> list[messages.SuspectReport]:
        """Return reports of all records, for a newly connected daemon."""
        self._evict(now)
        return [_report(now, record) for record in self.by_fingerprint.values()]

    def _record(self, fingerprint: fingerprints.Fingerprint) -> SuspectRecord:
        record = self.by_fingerprint.get(fingerprint)
        if record is None:
            record = SuspectRecord(fingerprint=fingerprint)
            self.by_fingerprint[fingerprint] = record
            self._head_counts[fingerprints.head_of(fingerprint)] += 1
        return record

    def _evict(self, now: float) -> None:
        """Remove expired records, then those with the fewest crashes while too many."""
        records = list(self.by_fingerprint.values())
        for record in records:
            if now - record.last_crash_at > RECORD_TTL_S:
                self._remove(record)
        excess = len(self.by_fingerprint) - MAX_RECORDS
        if excess <= 0:
            return
        by_crashes = sorted(
            self.by_fingerprint.values(),
            key=lambda one: (one.crash_count, one.last_crash_at),
        )
        for record in by_crashes[:excess]:
            self._remove(record)

    def _remove(self, record: SuspectRecord) -> None:
        del self.by_fingerprint[record.fingerprint]
        head = fingerprints.head_of(record.fingerprint)
        self._head_counts[head] -= 1
        if not self._head_counts[head]:
            del self._head_counts[head]


def _report(now: float, record: SuspectRecord) -> messages.SuspectReport:
    return messages.SuspectReport(
        fingerprint=record.fingerprint,
        crashes=sorted(record.crashes),
        cleared=sorted(record.cleared),
        isolated=sorted(record.isolated),
        age_s=round(max(0.0, now - record.last_crash_at), 3),
    )
