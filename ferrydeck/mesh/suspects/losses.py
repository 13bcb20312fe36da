"""Tells the end of a server from single answers that were lost.

A server that ends takes all its connections with it within a moment; an answer that is
lost, or a connection that is reset, leaves others that go on.
"""

from __future__ import annotations

from collections.abc import Container

import attrs

from ferrydeck.mesh import jobs

SETTLE_S = 0.005
"""Pause after a lost request until it is judged what was lost, seconds: a daemon reads
the ends of 150 connections in turn, each some tenths of a millisecond after another."""
SETTLE_MOST_S = 0.05
"""The longest time from the first lost request until then, seconds."""


@attrs.define(kw_only=True, frozen=True)
class LossTimer:
    """Time to judge what was lost."""


@attrs.define(kw_only=True)
class Losses:
    """Requests that were lost at a server within a moment."""

    jobs: list[jobs.Job] = attrs.Factory(list)
    refused: bool = False
    """Whether the server has taken no connection since the first was lost."""
    _ran: set[int] = attrs.Factory(set)
    """Dispatches that ran as the first was lost."""
    _began: float = 0.0
    _last: float = 0.0

    def add(self, now: float, job: jobs.Job, running: dict[int, jobs.Job]) -> bool:
        """Note a lost request; tell whether it is the first one."""
        first = not self.jobs
        if first:
            self._began = now
            self._ran = set(running)
            self.refused = False
        self.jobs.append(job)
        self._last = now
        return first

    def settles_at(self, now: float) -> float | None:
        """Return when to judge, or `None` where it is time now."""
        at = min(self._last + SETTLE_S, self._began + SETTLE_MOST_S)
        return at if now < at else None

    def take(self, running: Container[int]) -> tuple[list[jobs.Job], bool]:
        """Return what was lost, and whether the server has ended."""
        lost, self.jobs = self.jobs, []
        gone = {job.dispatch for job in lost}
        others_go_on = any(one in running for one in self._ran - gone)
        return lost, self.refused or not others_go_on
