"""The targets of a simulated world: they run requests, call, report and crash."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from ferrydeck.mesh import effects, events
from tests.mesh.simulation import box as boxes
from tests.mesh.simulation import callers, timeline

REPORT_EVERY_S = 1.5
ANSWER_S = 0.0001
PROBE_S = 0.001
RESET_S = 0.0001
NEXT_RESET_S = 0.00005
"""When a daemon sees that the connections of a target that crashed have ended: of the
first, and how much later of each further one, as its loop reads them in turn, s."""


@attrs.define(kw_only=True)
class Run:
    """A request that reached a target."""

    request_id: str
    box: str
    target_id: str
    at: float
    ran: bool
    left_s: float
    team: str = ""
    path: str = ""


@attrs.define(kw_only=True)
class Working:
    """A run of a request, which goes on as long as its target has it."""

    box: boxes.Box
    target: boxes.Target
    effect: effects.Dispatch
    ends: float
    """When its time is over, seconds."""
    incarnation: int
    """That of the daemon which sent it."""
    calls_made: int = 0

    @property
    def over(self) -> bool:
        """Whether it was cancelled, or its target or daemon has gone."""
        at_work = self.effect.dispatch in self.target.at_work
        return not at_work or self.box.incarnation != self.incarnation


@attrs.define(kw_only=True)
class Targets:
    """Carries out what daemons and faults ask of targets."""

    line: timeline.Timeline
    callers: callers.Callers
    calls_named: bool
    """Whether targets name a call after the run that makes it."""
    call_host: str
    """The host that targets' calls name."""
    runs: list[Run] = attrs.Factory(list)
    acks: dict[int, Callable[[bool], None]] = attrs.Factory(dict)
    """What gets the acknowledgement of a report, by its connection."""

    def drain(self, box: boxes.Box, *, by_leave: bool = False) -> list[bool]:
        """Have a target report that it leaves; the list gets the acknowledgement."""
        box.target.leaving = True
        acks: list[bool] = []
        self.report(box, ready=False, terminating=by_leave, answered=acks.append)
        return acks

    def replace(self, box: boxes.Box, *, same_id: bool = False) -> None:
        """Have a new incarnation of the target answer, under its id or another one."""
        box.target.at_work.clear()
        old = box.target
        if same_id:
            box.sequence = 0
        box.target = attrs.evolve(
            old,
            target_id=old.target_id if same_id else f"{old.target_id}x",
            started_ms=int(1000 * self.line.now) + 1 if old.started_ms else 0,
            up=True,
            leaving=False,
            at_work={},
        )

    def crash(self, box: boxes.Box, down_s: float) -> None:
        """End a target and all that runs there; another incarnation starts after it."""
        target = box.target
        target.up = False
        target.crashes += 1
        at_work = list(target.at_work)
        target.at_work.clear()
        for place, dispatch in enumerate(at_work):
            failed = lost(dispatch, "connection ended")
            self.line.feed_later(box, failed, RESET_S + place * NEXT_RESET_S)
        self.line.after(down_s, lambda: self._start_again(box, target))

    def lose_answer(self, box: boxes.Box, dispatch: int) -> None:
        """End the connection on which a target works; the run itself has ended."""
        box.target.at_work.pop(dispatch)
        self.line.feed_later(box, lost(dispatch, "connection ended"), RESET_S)

    def probe(self, box: boxes.Box) -> None:
        """Have the target of a box answer a health check."""
        target = box.target
        right = target.up and not target.leaving
        probed = events.ProbeAnswered(
            healthy=right if target.health is None else target.health,
            target_id=target.target_id if target.up else "",
            slots=target.slots,
            refused=not target.up,
            answered=target.up,
        )
        self.line.feed_later(box, probed, PROBE_S)

    def report_forever(self, box: boxes.Box) -> None:
        """Have the target of a box report as long as it is up."""
        if box.target.up and not box.target.leaving:
            self.report(
                box, ready=True, terminating=False, answered=lambda accepted: None
            )
        self.line.after(REPORT_EVERY_S, lambda: self.report_forever(box))

    def report(
        self,
        box: boxes.Box,
        *,
        ready: bool,
        terminating: bool,
        answered: Callable[[bool], None],
    ) -> None:
        """Have the target of a box report; `answered` gets the acknowledgement."""
        box.sequence += 1
        number = self.line.number()
        self.acks[number] = answered
        heartbeat = events.Heartbeat(
            conn=number,
            target_id=box.target.target_id,
            service=box.target.service,
            address=f"{box.address.rpartition(':')[0]}:80",
            slots=box.target.slots,
            sequence=box.sequence,
            ready=ready,
            terminating=terminating,
            warmup_s=0.0,
            started_ms=box.target.started_ms,
        )
        self.line.feed(box, heartbeat)

    def acknowledged(self, conn: int, *, accepted: bool) -> None:
        """Pass the answer to a report on to whoever waits for it."""
        answered = self.acks.pop(conn, None)
        if answered is not None:
            answered(accepted)

    def dispatch(self, box: boxes.Box, effect: effects.Dispatch) -> None:
        """Start a run, or reject the request."""
        target = box.target
        runs = self._runs(target, effect)
        self.runs.append(
            Run(
                request_id=effect.request_id,
                box=box.name,
                target_id=target.target_id,
                at=self.line.now,
                ran=runs,
                left_s=effect.left_s,
                team=effect.team,
                path=effect.path,
            )
        )
        if not target.up:
            failed = events.TargetFailed(
                dispatch=effect.dispatch, sent=False, refused=True, detail="refused"
            )
            self.line.feed_later(box, failed, ANSWER_S)
            return
        if not runs:
            facts = events.AnswerFacts(not_run=True, target_id=target.target_id)
            self._answer(box, effect.dispatch, 503, facts)
            return
        self._start(box, effect)

    def _runs(self, target: boxes.Target, effect: effects.Dispatch) -> bool:
        """Tell whether a target runs a request; a share of them is shed at random."""
        return (
            target.up
            and effect.target_id == target.target_id
            and len(target.at_work) < target.slots
            and not target.sheds
            and self.line.rng.random() >= target.sheds_share
        )

    def _start(self, box: boxes.Box, effect: effects.Dispatch) -> None:
        target = box.target
        target.at_work[effect.dispatch] = self.line.env.event()
        factor = 0.5 + self.line.rng.random()
        working = Working(
            box=box,
            target=target,
            effect=effect,
            ends=self.line.now + int(1000 * effect.left_s) / 1000,
            incarnation=box.incarnation,
        )
        work_s = target.service_time_s(effect.path) * factor
        self.line.after(work_s, lambda: self._call_next(working))

    def _call_next(self, working: Working) -> None:
        """Make the next call of a run, or end it after the last one."""
        if working.over:
            return
        box, target, effect = working.box, working.target, working.effect
        path = effect.path
        calls = next((one for one in target.calls if path.startswith(one.of)), None)
        if path.startswith(target.lethal):
            self.crash(box, target.down_s)
            return
        if calls is None or working.calls_made == calls.times:
            self._finish(working)
            return
        left_s = min(calls.deadline_s, working.ends - self.line.now)
        left_s = int(1000 * left_s) / 1000
        if left_s <= 0:
            self._call_failed(working)
            return
        req = self.callers.request(
            box,
            host=dict(effect.fields).get("host", self.call_host),
            path=calls.path,
            deadline_s=left_s,
            run_id=effect.request_id if self.calls_named else "",
        )

        def go_on() -> None:
            if req.answer.status == 200:
                working.calls_made += 1
                self._call_next(working)
            else:
                self._call_failed(working)

        req.then = go_on
        if req.answer is not None:
            go_on()

    def _call_failed(self, working: Working) -> None:
        dispatch = working.effect.dispatch
        if working.target.at_work.pop(dispatch, None) is not None:
            target_id = working.target.target_id
            facts = events.AnswerFacts(confirmed_complete=True, target_id=target_id)
            self._answer(working.box, dispatch, 500, facts)

    def _finish(self, working: Working) -> None:
        box, target = working.box, working.target
        dispatch = working.effect.dispatch
        del target.at_work[dispatch]
        if target.loses_answers:
            self.line.feed(box, lost(dispatch, "lost"))
            return
        facts = events.AnswerFacts(confirmed_complete=True, target_id=target.target_id)
        self._answer(box, dispatch, 500 if target.fails else 200, facts)

    def _answer(
        self, box: boxes.Box, dispatch: int, status: int, facts: events.AnswerFacts
    ) -> None:
        answered = events.TargetAnswered(
            dispatch=dispatch,
            status=status,
            fields=[],
            body=b"whole",
            more=False,
            total=5,
            facts=facts,
        )
        self.line.feed_later(box, answered, ANSWER_S)

    def _start_again(self, box: boxes.Box, crashed: boxes.Target) -> None:
        if box.target is crashed:
            self.replace(box, same_id=crashed.keeps_id)
            self.report(
                box, ready=True, terminating=False, answered=lambda accepted: None
            )


def lost(dispatch: int, detail: str) -> events.TargetFailed:
    """Return the event of a run whose answer is lost."""
    return events.TargetFailed(
        dispatch=dispatch, sent=True, refused=False, detail=detail
    )
