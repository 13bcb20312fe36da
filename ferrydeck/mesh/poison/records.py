"""What is known of requests that ran on targets as these crashed.

A request is a suspect after one crash and blocked after three, one of them in an
isolated run: targets of a rack crash together under whatever ran on all of them. What
daemons report to each other are sets that only grow, of crashes and of those that a
success has cleared, so reports may come late, twice and in any order.

Owns the records of this daemon. Relies on the tracker to attribute crashes, and on the
reports of other daemons for what crashed elsewhere.
"""

from __future__ import annotations

import collections
from collections.abc import Callable, Collection, Iterable

import attrs

from ferrydeck.mesh import messages
from ferrydeck.mesh.poison import fingerprints

BLOCKED_AT = 3
"""Crashes after which a request is run no more: what was agreed with users."""
ISOLATED_AT = 2
"""Crashes after which it runs only where no other suspect does, so that one more crash
shows which of them it was."""
KEPT_S = 900.0
"""How long a request is remembered after the last crash under it, seconds: callers come
again for minutes at the most, and an operator has read the lines by then."""
RECORDS_MOST = 1024
"""Requests that are remembered at most: what runs on six targets with 168 slots. They
take 0.5 MB, 465 bytes each by the allocator's own count."""


@attrs.define(kw_only=True, eq=False)
class SuspectRecord:
    """A request that ran on targets as these crashed."""

    fingerprint: fingerprints.Fingerprint
    crashes: frozenset[int] = frozenset()
    """Numbers of the crashes."""
    cleared: frozenset[int] = frozenset()
    """Those of them that a later success has cleared."""
    isolated: frozenset[int] = frozenset()
    """Those of them that came in an isolated run."""
    last_crash_at: float = 0.0
    """When the last of them came, by this daemon's clock."""

    @property
    def uncleared(self) -> int:
        """How many crashes are not cleared; 0 for a request that is no suspect."""
        return len(self.crashes - self.cleared)

    @property
    def runs_alone(self) -> bool:
        """Whether it may run only where no other suspect does."""
        return self.uncleared >= ISOLATED_AT

    @property
    def blocked(self) -> bool:
        """Whether it may not run any more."""
        enough = self.uncleared >= BLOCKED_AT
        return enough and not self.isolated <= self.cleared

    @property
    def size(self) -> int:
        """How much is known of it: grows with all that is learned."""
        return len(self.crashes) + len(self.cleared) + len(self.isolated)

    def left_s(self, now: float) -> float:
        """Return how long it is still remembered, seconds."""
        return max(0.0, self.last_crash_at + KEPT_S - now)


@attrs.define(kw_only=True)
class SuspectRecords:
    """The requests that are remembered, by fingerprint."""

    by_fingerprint: dict[fingerprints.Fingerprint, SuspectRecord] = attrs.Factory(dict)
    _heads: collections.Counter[bytes] = attrs.Factory(collections.Counter)
    """First halves of their fingerprints."""

    @property
    def empty(self) -> bool:
        """Whether nothing is remembered, as in calm times."""
        return not self._heads

    def find(
        self,
        *,
        method: str,
        fields: messages.Fields,
        path: str,
        team: str,
        body: Callable[[], bytes],
    ) -> SuspectRecord | None:
        """Return the record of a request that is a suspect, `None` for any other.

        While nothing is remembered this costs nothing, and a body is hashed only where
        all else of the request is that of a suspect.
        """
        if not self._heads:
            return None
        head = fingerprints.head(method, fingerprints.host_of(fields), path, team)
        if head not in self._heads:
            return None
        record = self.by_fingerprint.get(fingerprints.whole(head, body()))
        return record if record is not None and record.uncleared else None

    def find_forward(self, forward: messages.Forward) -> SuspectRecord | None:
        """Return the record of an inbound request, if it is a suspect."""
        if not self._heads:
            return None
        return self.find(
            method=forward.method,
            fields=forward.fields,
            path=forward.path,
            team=forward.team_name,
            body=lambda: forward.body,
        )

    def attribute(
        self,
        now: float,
        crash: int,
        ran: Iterable[fingerprints.Fingerprint],
        isolated: Collection[fingerprints.Fingerprint] = (),
    ) -> list[messages.SuspectReport]:
        """Attribute a crash to what ran; return the reports for other daemons.

        `isolated` are the fingerprints whose runs were isolated.
        """
        reports = []
        for fingerprint in ran:
            record = self._record(fingerprint)
            record.crashes |= {crash}
            if fingerprint in isolated:
                record.isolated |= {crash}
            record.last_crash_at = now
            reports.append(_report(now, record))
        self._trim(now)
        return reports

    def clear(self, now: float, record: SuspectRecord) -> messages.SuspectReport:
        """Clear a request that has succeeded; return the report for other daemons."""
        record.cleared |= record.crashes
        return _report(now, record)

    def merge(
        self, now: float, reports: Iterable[messages.SuspectReport]
    ) -> list[SuspectRecord]:
        """Take the reports of another daemon; return the records that changed."""
        changed = []
        for report in reports:
            if report.age_s >= KEPT_S:
                continue
            record = self._record(report.fingerprint)
            before = record.size
            record.crashes |= frozenset(report.crashes)
            record.cleared |= frozenset(report.cleared)
            record.isolated |= frozenset(report.isolated)
            record.last_crash_at = max(record.last_crash_at, now - report.age_s)
            if record.size != before:
                changed.append(record)
        self._trim(now)
        return changed

    def reports(self, now: float) -> list[messages.SuspectReport]:
        """Return the reports of all records, for a daemon that may know none."""
        self._trim(now)
        return [_report(now, record) for record in self.by_fingerprint.values()]

    def _record(self, fingerprint: fingerprints.Fingerprint) -> SuspectRecord:
        record = self.by_fingerprint.get(fingerprint)
        if record is None:
            record = SuspectRecord(fingerprint=fingerprint)
            self.by_fingerprint[fingerprint] = record
            self._heads[fingerprints.head_of(fingerprint)] += 1
        return record

    def _trim(self, now: float) -> None:
        """Forget what is old, and where there is too much, the fewest crashes first."""
        records = list(self.by_fingerprint.values())
        for record in records:
            if now - record.last_crash_at > KEPT_S:
                self._forget(record)
        over = len(self.by_fingerprint) - RECORDS_MOST
        if over <= 0:
            return
        least = sorted(
            self.by_fingerprint.values(),
            key=lambda one: (one.uncleared, one.last_crash_at),
        )
        for record in least[:over]:
            self._forget(record)

    def _forget(self, record: SuspectRecord) -> None:
        del self.by_fingerprint[record.fingerprint]
        head = fingerprints.head_of(record.fingerprint)
        self._heads[head] -= 1
        if not self._heads[head]:
            del self._heads[head]


def _report(now: float, record: SuspectRecord) -> messages.SuspectReport:
    return messages.SuspectReport(
        fingerprint=record.fingerprint,
        crashes=sorted(record.crashes),
        cleared=sorted(record.cleared),
        isolated=sorted(record.isolated),
        age_s=round(max(0.0, now - record.last_crash_at), 3),
    )
