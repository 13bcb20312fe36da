"""Tells a crash of the target from single answers that were lost.

A target that crashes loses all its connections within a moment; an answer that is lost,
or a connection that is reset, mostly leaves others that go on. One health check as the
first answer is lost shows it at once: a crashed target takes no connection.

Owns the runs that were lost and wait for a verdict. Relies on `crash_handling` to send
the health checks and to act on the verdict.
"""

from __future__ import annotations

import enum
from collections.abc import Container, Iterable

import attrs

from ferrydeck.mesh.inbound import inbound_request

SETTLE_TIME_S = 0.005
"""Pause after a lost run until there is a verdict, seconds: a daemon reads the closing
of 150 connections in turn, each some tenths of a millisecond after another."""
SETTLE_MOST_S = 0.05
"""The longest time from the first lost run until then, seconds."""
CONFIRM_S = 0.1
"""How long the answer to the health check is waited for, seconds: the target is on the
same box, and for one that has crashed the kernel refuses the connection."""


class Verdict(enum.Enum):
    """What the losses of a moment show."""

    UNDECIDED = "undecided"
    """More may be lost in this moment."""
    SINGLE = "single"
    """The target goes on."""
    ALL_LOST = "all lost"
    """All runs were lost; the health check will show whether the target crashed."""
    CRASHED = "crashed"
    """The target takes no connection."""


@attrs.define(kw_only=True, frozen=True)
class VerdictTimer:
    """Time for a verdict."""


@attrs.define(kw_only=True)
class CrashDetector:
    """Runs that were lost at a target within a moment."""

    lost: list[inbound_request.InboundRequest] = attrs.Factory(list)
    refused: bool = False
    """Whether the target has refused a connection since the first run was lost."""
    answered: bool = False
    """Whether it has answered a health check since then, well or not."""
    _ran: set[int] = attrs.Factory(set)
    """Dispatches that ran as the first was lost."""
    _first_at: float = 0.0
    _last_at: float = 0.0

    def add(
        self, now: float, req: inbound_request.InboundRequest, running: Iterable[int]
    ) -> bool:
        """Add a lost run; return whether it is the first one of this moment."""
        first = not self.lost
        if first:
            self._first_at = now
            self._ran = set(running)
            self.refused = False
            self.answered = False
        self.lost.append(req)
        self._last_at = now
        return first

    def health_check_done(self, *, refused: bool) -> None:
        """Take the answer to a health check, or that the connection was refused."""
        self.refused |= refused
        self.answered |= not refused

    def settle_deadline(self) -> float:
        """Return when no more losses of this moment are expected."""
        return min(self._last_at + SETTLE_TIME_S, self._first_at + SETTLE_MOST_S)

    def confirm_deadline(self) -> float:
        """Return until when to wait for the answer to the health check."""
        return self._first_at + SETTLE_MOST_S + CONFIRM_S

    def verdict(self, now: float, running: Container[int]) -> Verdict:
        """Return what is known by now."""
        if self.refused:
            return Verdict.CRASHED
        if now < self.settle_deadline():
            return Verdict.UNDECIDED
        if self.answered or now >= self.confirm_deadline():
            return Verdict.SINGLE
        if any(one in running for one in self._not_lost()):
            return Verdict.SINGLE
        return Verdict.ALL_LOST

    def take_lost(
        self, running: dict[int, inbound_request.InboundRequest]
    ) -> list[inbound_request.InboundRequest]:
        """Return what was lost, and begin anew.

        Where the target has crashed, what ran as the first was lost is lost as well:
        the closing of its connections is only not read yet.
        """
        unread = sorted(self._not_lost())
        lost, self.lost = self.lost, []
        if not self.refused:
            return lost
        return lost + [running[one] for one in unread if one in running]

    def _not_lost(self) -> set[int]:
        """Return the dispatches that ran as the first was lost, and are not lost."""
        return self._ran - {req.dispatch for req in self.lost}
