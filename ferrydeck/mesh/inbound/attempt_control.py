"""Controls admitted requests for the daemons that sent them.

These cancel a request, withdraw it from the queue, or grant credit for further parts of
its answer. A closed link cancels all of its requests.

Owns no state; `runs` holds the requests.
"""

from __future__ import annotations

import attrs

from ferrydeck.mesh import context, effects, messages
from ferrydeck.mesh.inbound import (
    inbound_request,
    request_queue,
    results,
    runs,
    streamed_answers,
)


@attrs.define(kw_only=True)
class AttemptControl:
    """Cancels and withdraws admitted requests, and passes on credit."""

    ctx: context.Context
    runs: runs.Runs
    queue: request_queue.RequestQueue
    results: results.Results
    streams: streamed_answers.StreamedAnswers

    def handle(
        self,
        now: float,
        link: int,
        message: messages.Cancel | messages.Withdraw | messages.Credit,
    ) -> None:
        """Handle a message about a request that was received on a link."""
        match message:
            case messages.Cancel(number=number):
                self.cancel(now, link, number)
            case messages.Withdraw(number=number):
                self.withdraw(now, link, number)
            case messages.Credit(number=number, size=size):
                self.credit(now, link, number, size)

    def cancel(self, now: float, link: int, number: int) -> None:
        """Cancel a request of a disconnected caller; non-retryable runs continue."""
        req = self.runs.admitted(link, number)
        if req is None or self._reject_queued(now, req):
            return
        if not req.forward.retryable:
            self.streams.abandon(req)
            return
        self.runs.end(now, req)
        self.ctx.emit(effects.CancelDispatch(dispatch=req.dispatch))
        self.results.note(req, "cancelled", "caller-gone")
        self.queue.start_next(now)

    def withdraw(self, now: float, link: int, number: int) -> None:
        """Reject a request that waits in the queue; a running one goes on."""
        req = self.runs.admitted(link, number)
        if req is not None:
            self._reject_queued(now, req)

    def credit(self, now: float, link: int, number: int, size: int) -> None:
        """Read `size` more bytes of a streamed answer."""
        req = self.runs.admitted(link, number)
        if req is not None:
            self.streams.grant_credit(now, req, size)

    def link_down(self, now: float, link: int) -> None:
        """Cancel the requests that were received on a closed link."""
        for number in self.runs.numbers_on_link(link):
            self.cancel(now, link, number)

    def _reject_queued(self, now: float, req: inbound_request.InboundRequest) -> bool:
        """Reject a request if it is queued; return whether it was."""
        queued = self.queue.remove(req)
        if queued:
            self.results.send_rejection(now, req, messages.Reason.CANCELLED)
        return queued
