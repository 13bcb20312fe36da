"""Long answers of the target, which are sent to the caller's daemon in parts.

The target is read only as far as that daemon grants credit, and the run holds its slot
until the answer has ended. So what the credit of a caller depends on must not keep a
run: if the caller is gone, the rest is read and discarded, and an answer that makes no
progress is ended after its deadline. An answer of unknown length may have no end at all
and is ended then even if it makes progress.

Owns the timers of these answers; `runs` holds their requests.
"""

from __future__ import annotations

import attrs

from ferrydeck.mesh import context, effects, messages
from ferrydeck.mesh.inbound import inbound_request, results, runs

STALL_TIMEOUT_S = 5.0
"""Time without progress after which an answer is ended once its deadline has passed,
seconds; slow callers read a part of a long answer in less."""

MAX_STATED_BYTES = 1024 * 1024 * 1024
"""Longest stated length of an answer, bytes; a longer one counts as unknown."""


@attrs.define(kw_only=True, frozen=True)
class StallTimer:
    """Fires when a streamed answer may have stalled."""

    dispatch: int


@attrs.define(kw_only=True)
class StreamedAnswers:
    """Reads long answers by credit, and ends those that nobody reads."""

    ctx: context.Context
    runs: runs.Runs
    results: results.Results

    def start(
        self, now: float, req: inbound_request.InboundRequest, total: int
    ) -> None:
        """Start to stream an answer, or to discard it if its caller is gone.

        `total` is its length in bytes, -1 if unknown.
        """
        req.streaming = True
        req.unbounded = not 0 <= total <= MAX_STATED_BYTES
        req.progress_at = now
        self._set_timer(req)
        if req.abandoned:
            self._discard(req)

    def grant_credit(
        self, now: float, req: inbound_request.InboundRequest, size: int
    ) -> None:
        """Read `size` more bytes of an answer."""
        req.progress_at = now
        self.ctx.emit(effects.ReadAnswer(dispatch=req.dispatch, size=size))

    def abandon(self, req: inbound_request.InboundRequest) -> None:
        """Note that the caller of a run that must not be cancelled is gone."""
        if req.abandoned:
            return
        req.abandoned = True
        self.results.note(req, "abandoned", "caller-gone")
        if req.streaming:
            self._discard(req)

    def check_stall(self, now: float, dispatch: int) -> None:
        """End an answer after its deadline if it makes no progress, or has no end."""
        req = self.runs.by_dispatch.get(dispatch)
        if req is None:
            return
        if now < self._stalled_at(req):
            self._set_timer(req)
            return
        self.ctx.emit(effects.CancelDispatch(dispatch=dispatch))
        self.results.end_unanswered(now, req, messages.Reason.TIMEOUT)

    def _discard(self, req: inbound_request.InboundRequest) -> None:
        self.ctx.emit(effects.DiscardAnswer(dispatch=req.dispatch))

    def _set_timer(self, req: inbound_request.InboundRequest) -> None:
        self.ctx.set_timer(self._stalled_at(req), StallTimer(dispatch=req.dispatch))

    def _stalled_at(self, req: inbound_request.InboundRequest) -> float:
        if req.unbounded:
            return req.deadline + STALL_TIMEOUT_S
        return max(req.deadline, req.progress_at + STALL_TIMEOUT_S)
