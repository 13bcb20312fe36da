"""Attributes crashes of this box's target to requests, and clears those that succeed.

Combines the crash records, the isolation queue, the crash detector and the known good
requests of a daemon. `crash_handling` calls it when the target has crashed.
"""

from __future__ import annotations

import collections
from collections.abc import Callable

import attrs

from ferrydeck.mesh import context, messages
from ferrydeck.mesh.inbound import inbound_request
from ferrydeck.mesh.poison import (
    crash_detection,
    fingerprints,
    isolation,
    known_good,
    records,
)

SAME_CRASH_INTERVAL_S = 0.5
"""Runs of an incarnation that are lost within this time after its crash belong to that
crash, seconds; a target takes longer to restart."""
CANCEL_AGE_S = 0.02
"""A run that this daemon cancelled within this time before a crash may have caused it,
seconds, since closed connections are read some milliseconds late."""
MAX_CANCELLED_RUNS = 16
"""Maximum number of cancelled runs that are remembered."""
REPORT_INTERVAL_S = 0.1
"""Interval in which cleared suspects are collected into one report, seconds."""
LOGGED_HEX_DIGITS = 8
"""Digits of each fingerprint in the log line of a crash. 160 fingerprints make a line
of 1.8 KB, and collisions are rare."""
CRASH_NUMBER_BITS = 53
"""Length of a crash number, which the daemon draws at random."""


@attrs.define(kw_only=True, frozen=True)
class ClearedReportTimer:
    """Fires when cleared suspects are to be reported to the other daemons."""


@attrs.define(kw_only=True, frozen=True)
class Crash:
    """A crash of the target."""

    number: int
    incarnation: str
    at: float


@attrs.define(kw_only=True)
class PoisonTracker:
    """Tracks which requests are suspected to crash this box's target."""

    ctx: context.Context
    records: records.SuspectRecords
    send_reports: Callable[[list[messages.SuspectReport]], None]
    """Broadcasts reports to all other daemons."""
    isolation: isolation.IsolationQueue = attrs.Factory(isolation.IsolationQueue)
    crash_detector: crash_detection.CrashDetector = attrs.Factory(
        crash_detection.CrashDetector
    )
    known_good: known_good.KnownGood = attrs.Factory(known_good.KnownGood)
    _last_crash: Crash | None = None
    _cancelled: collections.deque[tuple[float, inbound_request.InboundRequest]] = (
        attrs.Factory(lambda: collections.deque(maxlen=MAX_CANCELLED_RUNS))
    )
    """Cancelled runs, each with the time it was cancelled."""
    _cleared: dict[fingerprints.Fingerprint, messages.SuspectReport] = attrs.Factory(
        dict
    )
    """Reports of cleared suspects that are not sent yet."""

    def run_succeeded(self, now: float, req: inbound_request.InboundRequest) -> None:
        """Record a successful request as known good, and clear it if suspected."""
        self.known_good.add(req.forward)
        record = self.records.find_forward(req.forward)
        if record is not None:
            self._clear(now, record, req.forward)

    def find_suspect(
        self, now: float, forward: messages.Forward
    ) -> records.SuspectRecord | None:
        """Return the record of a request if it is a suspect and not known good."""
        record = self.records.find_forward(forward)
        if record is None or forward not in self.known_good:
            return record
        self._clear(now, record, forward)
        return None

    def report_cleared(self) -> None:
        """Report the cleared suspects to the other daemons."""
        reports, self._cleared = list(self._cleared.values()), {}
        self.send_reports(reports)

    def target_crashed(
        self, now: float, lost: list[inbound_request.InboundRequest]
    ) -> None:
        """Attribute a crash to the runs that were lost and are not known good."""
        incarnation = lost[0].forward.incarnation
        crash = self._crash_number(now, incarnation)
        lost = lost + [req for at, req in self._cancelled if now - at <= CANCEL_AGE_S]
        self._cancelled.clear()
        lost_fingerprints = [fingerprints.of_forward(req.forward) for req in lost]
        runs = dict(zip(lost_fingerprints, lost, strict=True))
        suspects = [
            one for one, req in runs.items() if req.forward not in self.known_good
        ]
        self.ctx.note(
            "server-ended",
            instance=incarnation,
            end=crash,
            count=len(lost),
            ran=[one.hex()[:LOGGED_HEX_DIGITS] for one in lost_fingerprints],
            proven=len(runs) - len(suspects),
        )
        if not suspects or not self.ctx.switches.remember_suspects:
            return
        isolated = self.isolation.running_fingerprints()
        self.send_reports(self.records.attribute_crash(now, crash, suspects, isolated))
        for fingerprint in suspects:
            record = self.records.by_fingerprint.get(fingerprint)
            if record is not None and record.runs_alone:
                outcome = "condemned" if record.blocked else "suspected"
                self._log(record, runs[fingerprint].forward.request_id, outcome)

    def incarnation_started(self) -> None:
        """Forget the known good requests, since the new incarnation may differ."""
        self.known_good.clear()

    def run_cancelled(self, now: float, req: inbound_request.InboundRequest) -> None:
        """Remember a run that this daemon cancelled, as it may still cause a crash."""
        self._cancelled.append((now, req))

    def running_suspects(
        self,
        now: float,
        changed: list[records.SuspectRecord],
        running: dict[int, inbound_request.InboundRequest],
    ) -> list[inbound_request.InboundRequest]:
        """Return the local runs of requests that other daemons reported as suspects."""
        suspects = [one for one in changed if one.crash_count]
        if not suspects:
            return []
        found = [(req, self.find_suspect(now, req.forward)) for req in running.values()]
        return [req for req, record in found if record in suspects]

    def _clear(
        self, now: float, record: records.SuspectRecord, forward: messages.Forward
    ) -> None:
        self._log(record, forward.request_id, "excused")
        if not self._cleared:
            self.ctx.set_timer(now + REPORT_INTERVAL_S, ClearedReportTimer())
        self._cleared[record.fingerprint] = self.records.clear(now, record)

    def _crash_number(self, now: float, incarnation: str) -> int:
        """Return the number of the last crash if it still goes on, or a new one."""
        crash = self._last_crash
        same = crash is not None and crash.incarnation == incarnation
        if not same or now - crash.at > SAME_CRASH_INTERVAL_S:
            number = int(self.ctx.rng.random() * 2**CRASH_NUMBER_BITS)
            self._last_crash = Crash(number=number, incarnation=incarnation, at=now)
        return self._last_crash.number

    def _log(
        self, record: records.SuspectRecord, request_id: str, outcome: str
    ) -> None:
        self.ctx.note(
            "suspect",
            request_id=request_id,
            outcome=outcome,
            digest=record.fingerprint.hex(),
            ends=sorted(record.crashes),
            level=record.crash_count,
        )
