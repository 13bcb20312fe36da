"""Callers of a simulated world: their requests and the answers to them."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from ferrydeck.mesh import events
from tests.mesh.simulation import box as boxes
from tests.mesh.simulation import timeline

READ_DELAY_S = 0.001
"""Time until a caller has read a part of a long answer, seconds."""
ABORTED = 0
"""Status of an answer that was broken off."""


@attrs.define(kw_only=True)
class Answer:
    """Final answer to a request."""

    status: int
    at: float
    reason: str = ""
    retry_after_s: float | None = None
    body: bytes = b""


@attrs.define(kw_only=True)
class Request:
    """Request of a caller."""

    request_id: str
    box: str
    at: float
    once: bool
    path: str
    run_id: str = ""
    """Id of the run that made it as a call; empty for requests from outside."""
    answer: Answer | None = None
    disconnected_at: float | None = None
    then: Callable[[], None] | None = None
    """Callback for the final answer."""
    reads: bool = True
    """Whether it reads the parts of a long answer."""
    received: bytes = b""
    """What it has received of a long answer."""


@attrs.define(kw_only=True)
class Callers:
    """Sends requests to daemons and records the answers."""

    timeline: timeline.Timeline
    requests: dict[str, Request] = attrs.Factory(dict)
    """All requests by id, in the order sent."""
    _open: dict[tuple[str, int], tuple[boxes.Box, Request]] = attrs.Factory(dict)
    """Open requests, by box name and connection number."""

    def request(
        self,
        box: boxes.Box,
        *,
        host: str,
        path: str,
        deadline_s: float = 2.0,
        once: bool = False,
        body: bytes = b"",
        key: str = "",
        run_id: str = "",
    ) -> Request:
        """Send a request from a caller, or a call from the run `run_id`."""
        number = self.timeline.number()
        request_id = f"{run_id}.{number}" if run_id else f"r{number}"
        req = Request(
            request_id=request_id,
            box=box.name,
            at=self.timeline.now,
            once=once,
            path=path,
            run_id=run_id,
        )
        self.requests[request_id] = req
        event = events.RequestReceived(
            conn=number,
            method="POST" if once else "GET",
            path=path,
            host=host,
            request_id=request_id,
            deadline_s=deadline_s,
            fields=[],
            body=body,
            key=key,
            run_id=run_id,
        )
        self._open[box.name, number] = (box, req)
        self.timeline.feed(box, event)
        return req

    def disconnect(self, req: Request) -> None:
        """Close the connection of a caller."""
        for (name, number), (box, one) in list(self._open.items()):
            if one is req:
                req.disconnected_at = self.timeline.now
                del self._open[name, number]
                self.timeline.feed(box, events.CallerDisconnected(conn=number))

    def daemon_killed(self, box: boxes.Box) -> None:
        """Close all connections of a killed daemon."""
        for name, number in list(self._open):
            if name == box.name:
                _, req = self._open.pop((name, number))
                req.disconnected_at = self.timeline.now

    def part_received(
        self, box: boxes.Box, conn: int, data: bytes, status: int = 200, *, last: bool
    ) -> None:
        """Add a part of a long answer; its caller grants more once it has read it."""
        _, req = self._open.get((box.name, conn), (None, None))
        if req is None:
            return
        req.received += data
        if last:
            answer = Answer(status=status, at=self.timeline.now, body=req.received)
            self.answered(box, conn, answer)
        elif req.reads:
            sent = events.AnswerBytesSent(conn=conn, size=len(data))
            self.timeline.feed_later(box, sent, READ_DELAY_S)

    def aborted(self, box: boxes.Box, conn: int) -> None:
        """Record that a long answer was broken off."""
        self.answered(box, conn, Answer(status=ABORTED, at=self.timeline.now))

    def answered(self, box: boxes.Box, conn: int, answer: Answer) -> None:
        """Record the final answer, unless the caller has disconnected."""
        _, req = self._open.pop((box.name, conn), (None, None))
        if req is None:
            return
        req.answer = answer
        if req.then is not None:
            self.timeline.after(0.0, req.then)
