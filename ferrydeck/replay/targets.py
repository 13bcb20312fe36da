"""A simulated target with slots and a queue that records its executions."""

from __future__ import annotations

import collections
import urllib.parse

import attrs
import simpy

from ferrydeck.signed.core import effects, events, headers
from ferrydeck.signed.wire import messages


@attrs.define(kw_only=True, frozen=True)
class Effect:
    """One execution of a request, which may have side effects."""

    key: str
    path: str
    at: float


@attrs.define(kw_only=True, eq=False)
class Work:
    """A dispatched request that is queued or running at the target."""

    dispatch: effects.DispatchTarget
    service_s: float
    nested: list[str]
    status: int
    max_retries: int
    attempts: int = 0
    running: bool = False
    finished: bool = False


@attrs.define(kw_only=True, eq=False)
class FakeTarget:
    """Executes requests in virtual time and queues those beyond its slots.

    Query parameters: `ms` is the service time, `call` lists nested paths separated
    by commas, `again` is the number of retries of each nested call, and `status` is
    the response status.
    """

    env: simpy.Environment
    slots: int
    emit: object
    call_daemon: object
    """Sends a nested call through the daemon of the same box."""
    slowdown: float = 1.0
    running: int = 0
    busy_s: float = 0.0
    waiting: collections.deque[Work] = attrs.Factory(collections.deque)
    active: dict[int, Work] = attrs.Factory(dict)
    executions: list[Effect] = attrs.Factory(list)

    def dispatch(self, request: effects.DispatchTarget) -> None:
        """Queue a dispatched request."""
        query = dict(urllib.parse.parse_qsl(request.path.partition("?")[2]))
        nested = query.get("call", "")
        work = Work(
            dispatch=request,
            service_s=float(query.get("ms", "5")) / 1000,
            nested=nested.split(",") if nested else [],
            status=int(query.get("status", "200")),
            max_retries=int(query.get("again", "0")),
        )
        self.active[request.dispatch] = work
        self.waiting.append(work)
        self._call_later(request.timeout_s, lambda: self._time_out(work))
        self._start_waiting()

    def cancel(self, dispatch: int) -> None:
        """Cancel a dispatched request."""
        work = self.active.get(dispatch)
        if work is not None:
            self._end(work)

    def _start_waiting(self) -> None:
        while self.waiting and self.running < self.slots:
            work = self.waiting.popleft()
            if not work.finished:
                self._start(work)

    def _start(self, work: Work) -> None:
        work.running = True
        self.running += 1
        key = headers.get(work.dispatch.headers, headers.IDEMPOTENCY_KEY)
        effect = Effect(key=key, path=work.dispatch.path, at=self.env.now)
        self.executions.append(effect)
        service_s = work.service_s * self.slowdown
        self.busy_s += service_s
        self._call_later(service_s, lambda: self._run_nested_calls(work))

    def _run_nested_calls(self, work: Work) -> None:
        if work.finished:
            return
        if not work.nested:
            self._answer(work, work.status)
            return
        path = urllib.parse.unquote(work.nested[0])
        work.attempts += 1
        token = headers.get(work.dispatch.headers, headers.CONTEXT)
        self.call_daemon(path, token, lambda answer: self._on_nested(work, answer))

    def _on_nested(self, work: Work, answer: effects.AnswerCaller) -> None:
        if work.finished:
            return
        if answer.status == 200 or work.attempts > work.max_retries:
            work.nested.pop(0)
            work.attempts = 0
        if answer.status == 200 or work.attempts:
            self._run_nested_calls(work)
            return
        self._answer(work, 502)

    def _answer(self, work: Work, status: int) -> None:
        if work.finished:
            return
        self._end(work)
        key = headers.get(work.dispatch.headers, headers.IDEMPOTENCY_KEY)
        body = f"{work.dispatch.path} {key}".encode()
        self.emit(
            events.TargetHead(
                dispatch=work.dispatch.dispatch,
                status=status,
                headers=(),
                body=body,
                total=len(body),
            )
        )

    def _time_out(self, work: Work) -> None:
        if work.finished:
            return
        self._end(work)
        self.emit(
            events.TargetFailed(
                dispatch=work.dispatch.dispatch,
                sent=True,
                reason=messages.Reason.NO_ANSWER,
            )
        )

    def _end(self, work: Work) -> None:
        if work.finished:
            return
        work.finished = True
        self.active.pop(work.dispatch.dispatch, None)
        if work.running:
            self.running -= 1
        self._start_waiting()

    def _call_later(self, delay_s: float, action: object) -> None:
        self.env.timeout(delay_s).callbacks.append(lambda _: action())
