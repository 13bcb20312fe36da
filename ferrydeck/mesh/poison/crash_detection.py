"""Distinguishes a crash of the target from the loss of single connections.

A crashed target loses all its connections almost at once and refuses new ones. When the
first run is lost, a health check is sent; the lost runs are held until there is a
verdict.

`crash_handling` sends the health checks and acts on the verdict.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping

import attrs

from ferrydeck.mesh.inbound import inbound_request

SETTLE_TIME_S = 0.005
"""Wait for further losses after each lost run, seconds. Connections that close together
are read some tenths of a millisecond apart."""
MAX_SETTLE_S = 0.05
"""Maximum wait for further losses after the first lost run, seconds."""
HEALTH_CHECK_TIMEOUT_S = 0.1
"""Timeout of the health check, seconds. The target is on the same box, and the kernel
refuses connections to one that has crashed."""


class Verdict(enum.Enum):
    """Cause of the losses seen so far."""

    UNDECIDED = "undecided"
    """More runs may still be lost."""
    SINGLE = "single"
    """Single connections were lost; the target is still up."""
    ALL_LOST = "all lost"
    """All runs that prove anything were lost; a health check has to tell."""
    CRASHED = "crashed"
    """The target refuses connections."""


@attrs.define(kw_only=True, frozen=True)
class VerdictTimer:
    """Fires when a verdict may be possible."""


@attrs.define(kw_only=True)
class CrashDetector:
    """Collects lost runs and decides whether the target crashed."""

    lost: list[inbound_request.InboundRequest] = attrs.Factory(list)
    connection_refused: bool = False
    """Whether the target has refused a connection since the first run was lost."""
    check_answered: bool = False
    """Whether it has answered a health check since then, with any result."""
    _dispatches: set[int] = attrs.Factory(set)
    """Dispatches that were running when the first run was lost."""
    _first_lost: float = 0.0
    _last_lost: float = 0.0

    def add(
        self, now: float, req: inbound_request.InboundRequest, running: Iterable[int]
    ) -> bool:
        """Add a lost run; return whether it is the first since the last verdict."""
        first = not self.lost
        if first:
            self._first_lost = now
            self._dispatches = set(running)
            self.connection_refused = False
            self.check_answered = False
        self.lost.append(req)
        self._last_lost = now
        return first

    def health_check_done(self, *, refused: bool) -> None:
        """Record that a health check was answered, or its connection refused."""
        self.connection_refused |= refused
        self.check_answered |= not refused

    def settle_deadline(self) -> float:
        """Return the time after which no further losses are expected."""
        return min(self._last_lost + SETTLE_TIME_S, self._first_lost + MAX_SETTLE_S)

    def confirm_deadline(self) -> float:
        """Return the time at which the health check times out."""
        return self._first_lost + MAX_SETTLE_S + HEALTH_CHECK_TIMEOUT_S

    def verdict(
        self, now: float, running: Mapping[int, inbound_request.InboundRequest]
    ) -> Verdict:
        """Return the verdict on the losses so far.

        A run whose answer is being read by credit proves nothing: the end of its
        connection may not be read yet.
        """
        if self.connection_refused:
            return Verdict.CRASHED
        if now < self.settle_deadline():
            return Verdict.UNDECIDED
        if self.check_answered or now >= self.confirm_deadline():
            return Verdict.SINGLE
        others = [running[one] for one in self._not_yet_lost() if one in running]
        if not all(run.streaming for run in others):
            return Verdict.SINGLE
        return Verdict.ALL_LOST

    def take_lost(
        self, running: dict[int, inbound_request.InboundRequest]
    ) -> list[inbound_request.InboundRequest]:
        """Return the lost runs and reset the detector.

        After a crash they include runs whose closed connections are not read yet.
        """
        unreported = sorted(self._not_yet_lost())
        lost, self.lost = self.lost, []
        if not self.connection_refused:
            return lost
        return lost + [running[one] for one in unreported if one in running]

    def _not_yet_lost(self) -> set[int]:
        """Return the dispatches that ran at the first loss and are not lost yet."""
        return self._dispatches - {req.dispatch for req in self.lost}
