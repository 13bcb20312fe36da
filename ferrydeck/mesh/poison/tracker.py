"""Attributes crashes of this box's target to requests, and clears those that succeed.

Owns the suspects of this inbound side: the records, the queue of isolated runs, the
crash detector and the known good requests. Relies on `crash_handling` to call it when
the target has crashed, and on `report` to send reports to all other daemons.
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

SAME_CRASH_S = 0.5
"""Requests of one incarnation that are lost within this of its crash were lost by that
crash, seconds: a target needs longer to start again."""
STOPPED_S = 0.02
"""A run that this daemon stopped this shortly before the target crashed may have
crashed it, seconds: the closing of connections is read some milliseconds late."""
STOPPED_MOST = 16
"""Stopped runs that are remembered at most, which bounds the memory they take."""
REPORT_S = 0.1
"""Pause in which cleared suspects are gathered for one report, seconds."""
LINE_HEX = 8
"""Digits of a fingerprint in the line that names all that ran on a target: 160 of them
make a line of 1.8 KB, and of a million two are alike by chance in one line of
100,000."""
CRASH_BITS = 53
"""Length of the number of a crash, which each daemon draws for itself."""


@attrs.define(kw_only=True, frozen=True)
class ClearedReportTimer:
    """Time to report to the other daemons which suspects were cleared."""


@attrs.define(kw_only=True, frozen=True)
class Crash:
    """A crash of the target."""

    number: int
    incarnation: str
    at: float


@attrs.define(kw_only=True)
class PoisonTracker:
    """Attributes crashes, and knows which requests at this target are suspects."""

    ctx: context.Context
    records: records.SuspectRecords
    send_reports: Callable[[list[messages.SuspectReport]], None]
    """Sends reports to all other daemons."""
    isolation: isolation.IsolationQueue = attrs.Factory(isolation.IsolationQueue)
    crash_detector: crash_detection.CrashDetector = attrs.Factory(
        crash_detection.CrashDetector
    )
    known_good: known_good.KnownGood = attrs.Factory(known_good.KnownGood)
    _crash: Crash | None = None
    """The last crash."""
    _stopped: collections.deque[tuple[float, inbound_request.InboundRequest]] = (
        attrs.Factory(lambda: collections.deque(maxlen=STOPPED_MOST))
    )
    """Runs that this daemon stopped, with their times."""
    _cleared: dict[fingerprints.Fingerprint, messages.SuspectReport] = attrs.Factory(
        dict
    )
    """Reports of suspects that were cleared and not reported yet."""

    def run_succeeded(self, now: float, req: inbound_request.InboundRequest) -> None:
        """Take a request that succeeded as known good, and clear it."""
        self.known_good.add(req.forward)
        record = self.records.find_forward(req.forward)
        if record is not None:
            self._clear(now, record, req.forward)

    def find_suspect(
        self, now: float, forward: messages.Forward
    ) -> records.SuspectRecord | None:
        """Return the record of a request that is a suspect and not known good."""
        record = self.records.find_forward(forward)
        if record is None or forward not in self.known_good:
            return record
        self._clear(now, record, forward)
        return None

    def report_cleared(self) -> None:
        """Report to the other daemons which suspects were cleared."""
        reports, self._cleared = list(self._cleared.values()), {}
        self.send_reports(reports)

    def target_crashed(
        self, now: float, lost: list[inbound_request.InboundRequest]
    ) -> None:
        """Attribute a crash to what ran on the target and is not known good."""
        incarnation = lost[0].forward.incarnation
        crash = self._crash_number(now, incarnation)
        lost = lost + [req for at, req in self._stopped if now - at <= STOPPED_S]
        self._stopped.clear()
        all_ran = [fingerprints.of_forward(req.forward) for req in lost]
        ran = dict(zip(all_ran, lost, strict=True))
        suspects = [
            one for one, req in ran.items() if req.forward not in self.known_good
        ]
        self.ctx.note(
            "server-ended",
            instance=incarnation,
            end=crash,
            count=len(lost),
            ran=[one.hex()[:LINE_HEX] for one in all_ran],
            proven=len(ran) - len(suspects),
        )
        if not suspects or not self.ctx.switches.remember_suspects:
            return
        isolated = self.isolation.isolated()
        self.send_reports(self.records.attribute(now, crash, suspects, isolated))
        for fingerprint in suspects:
            record = self.records.by_fingerprint.get(fingerprint)
            if record is not None and record.runs_alone:
                outcome = "condemned" if record.blocked else "suspected"
                self._note(record, ran[fingerprint].forward.request_id, outcome)

    def incarnation_started(self) -> None:
        """Forget what is known good: another incarnation may run other software."""
        self.known_good.clear()

    def run_stopped(self, now: float, req: inbound_request.InboundRequest) -> None:
        """Remember a run that this daemon stopped; it may yet crash the target."""
        self._stopped.append((now, req))

    def running_suspects(
        self,
        now: float,
        changed: list[records.SuspectRecord],
        running: dict[int, inbound_request.InboundRequest],
    ) -> list[inbound_request.InboundRequest]:
        """Return the runs here whose requests are suspects by another box's report."""
        suspects = [one for one in changed if one.uncleared]
        if not suspects:
            return []
        found = [(req, self.find_suspect(now, req.forward)) for req in running.values()]
        return [req for req, record in found if record in suspects]

    def _clear(
        self, now: float, record: records.SuspectRecord, forward: messages.Forward
    ) -> None:
        self._note(record, forward.request_id, "excused")
        if not self._cleared:
            self.ctx.at(now + REPORT_S, ClearedReportTimer())
        self._cleared[record.fingerprint] = self.records.clear(now, record)

    def _crash_number(self, now: float, incarnation: str) -> int:
        """Return the number of the last crash, or of a new one."""
        crash = self._crash
        same = crash is not None and crash.incarnation == incarnation
        if not same or now - crash.at > SAME_CRASH_S:
            number = int(self.ctx.rng.random() * 2**CRASH_BITS)
            self._crash = Crash(number=number, incarnation=incarnation, at=now)
        return self._crash.number

    def _note(
        self, record: records.SuspectRecord, request_id: str, outcome: str
    ) -> None:
        self.ctx.note(
            "suspect",
            request_id=request_id,
            outcome=outcome,
            digest=record.fingerprint.hex(),
            ends=sorted(record.crashes),
            level=record.uncleared,
        )
