"""The callers of a simulated world: what they ask, and what they are answered."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from ferrydeck.mesh import events
from tests.mesh.simulation import box as boxes
from tests.mesh.simulation import timeline


@attrs.define(kw_only=True)
class Answer:
    """The final answer to a request."""

    status: int
    at: float
    reason: str = ""
    retry_after_s: float | None = None
    body: bytes = b""


@attrs.define(kw_only=True)
class Request:
    """A request of a caller."""

    request_id: str
    box: str
    at: float
    once: bool
    path: str
    run_id: str = ""
    """The request whose run makes it as a call; empty for a caller's own."""
    answer: Answer | None = None
    disconnected_at: float | None = None
    then: Callable[[], None] | None = None
    """Run when the final answer has come."""


@attrs.define(kw_only=True)
class Callers:
    """Sends requests to daemons and keeps them with their answers."""

    timeline: timeline.Timeline
    requests: dict[str, Request] = attrs.Factory(dict)
    """All requests by id, in the order in which they were sent."""
    _open: dict[tuple[str, int], tuple[boxes.Box, Request]] = attrs.Factory(dict)
    """Requests without an answer, by name of the box and number of the connection."""

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
        """Have a caller on a box send a request, or the run of an id make a call."""
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
        """Have a caller close its connection."""
        for (name, number), (box, one) in list(self._open.items()):
            if one is req:
                req.disconnected_at = self.timeline.now
                del self._open[name, number]
                self.timeline.feed(box, events.CallerDisconnected(conn=number))

    def daemon_killed(self, box: boxes.Box) -> None:
        """End the connections of a daemon that was killed."""
        for name, number in list(self._open):
            if name == box.name:
                _, req = self._open.pop((name, number))
                req.disconnected_at = self.timeline.now

    def answered(self, box: boxes.Box, conn: int, answer: Answer) -> None:
        """Keep the final answer to a request, unless its caller has left."""
        _, req = self._open.pop((box.name, conn), (None, None))
        if req is None:
            return
        req.answer = answer
        if req.then is not None:
            self.timeline.after(0.0, req.then)
