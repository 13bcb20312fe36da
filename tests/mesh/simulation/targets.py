"""Simulated targets, which run requests, make calls, send heartbeats and crash."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from ferrydeck.mesh import effects, events
from tests import statements
from tests.mesh.simulation import box as boxes
from tests.mesh.simulation import callers, timeline

HEARTBEAT_INTERVAL_S = 1.5
ANSWER_DELAY_S = 0.0001
PROBE_DELAY_S = 0.001
RESET_DELAY_S = 0.0001
RESET_SPACING_S = 0.00005
"""Delay until a daemon sees the first reset connection of a crashed target, and
interval between further ones, seconds."""


@attrs.define(kw_only=True)
class Run:
    """Record of a request that reached a target."""

    request_id: str
    box: str
    target_id: str
    at: float
    ran: bool
    left_s: float
    team: str = ""
    path: str = ""


@attrs.define(kw_only=True)
class Execution:
    """A run of a request in progress."""

    box: boxes.Box
    target: boxes.Target
    effect: effects.Dispatch
    ends: float
    """Deadline, in simulated seconds."""
    incarnation: int
    """Incarnation of the daemon that sent it."""
    completed_calls: int = 0

    @property
    def ended(self) -> bool:
        """Whether it was cancelled, or its target or daemon was restarted."""
        running = self.effect.dispatch in self.target.running
        return not running or self.box.incarnation != self.incarnation


@attrs.define(kw_only=True)
class Targets:
    """Runs requests for daemons and injects target faults."""

    timeline: timeline.Timeline
    callers: callers.Callers
    calls_carry_run_id: bool
    """Whether the id of a call contains the id of its run."""
    call_host: str
    """Host of the calls that targets make."""
    runs: list[Run] = attrs.Factory(list)
    statements: list[statements.Statement] = attrs.Factory(list)
    """The statements in all answers, in the order sent."""
    acks: dict[int, Callable[[bool], None]] = attrs.Factory(dict)
    """Callbacks for heartbeat acknowledgements, by connection."""

    def drain(self, box: boxes.Box, *, deregister: bool = False) -> list[bool]:
        """Start draining a target; the returned list receives the acknowledgement."""
        box.target.draining = True
        acks: list[bool] = []
        self.send_heartbeat(
            box, ready=False, terminating=deregister, answered=acks.append
        )
        return acks

    def replace(self, box: boxes.Box, *, same_id: bool = False) -> None:
        """Replace the target by a new incarnation, with the same or a new id."""
        box.target.running.clear()
        old = box.target
        if same_id:
            box.sequence = 0
        box.target = attrs.evolve(
            old,
            target_id=old.target_id if same_id else f"{old.target_id}x",
            started_ms=int(1000 * self.timeline.now) + 1 if old.started_ms else 0,
            up=True,
            draining=False,
            says_leaving=False,
            rate_limit=None,
            running={},
        )

    def crash(self, box: boxes.Box, down_s: float) -> None:
        """Crash a target with all its runs and restart it after `down_s`."""
        target = box.target
        target.up = False
        target.crashes += 1
        running = list(target.running)
        target.running.clear()
        for place, dispatch in enumerate(running):
            failed = lost(dispatch, "connection ended")
            self.timeline.feed_later(
                box, failed, RESET_DELAY_S + place * RESET_SPACING_S
            )
        self.timeline.after(down_s, lambda: self._restart(box, target))

    def lose_answer(self, box: boxes.Box, dispatch: int) -> None:
        """Lose the answer of a run by closing its connection."""
        box.target.running.pop(dispatch)
        self.timeline.feed_later(box, lost(dispatch, "connection ended"), RESET_DELAY_S)

    def probe(self, box: boxes.Box) -> None:
        """Answer a health check of the target of a box."""
        target = box.target
        right = target.up and not target.draining
        probed = events.ProbeAnswered(
            healthy=right if target.health is None else target.health,
            target_id=target.target_id if target.up else "",
            slots=target.slots,
            refused=not target.up,
            answered=target.up,
        )
        self.timeline.feed_later(box, probed, PROBE_DELAY_S)

    def send_heartbeats(self, box: boxes.Box) -> None:
        """Send periodic heartbeats while the target of a box is up."""
        if box.target.up and not box.target.draining:
            self.send_heartbeat(
                box, ready=True, terminating=False, answered=lambda accepted: None
            )
        self.timeline.after(HEARTBEAT_INTERVAL_S, lambda: self.send_heartbeats(box))

    def send_heartbeat(
        self,
        box: boxes.Box,
        *,
        ready: bool,
        terminating: bool,
        answered: Callable[[bool], None],
    ) -> None:
        """Send a heartbeat; `answered` receives the acknowledgement."""
        box.sequence += 1
        number = self.timeline.number()
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
        self.timeline.feed(box, heartbeat)

    def heartbeat_acknowledged(self, conn: int, *, accepted: bool) -> None:
        """Pass a heartbeat acknowledgement to its callback."""
        answered = self.acks.pop(conn, None)
        if answered is not None:
            answered(accepted)

    def dispatch(self, box: boxes.Box, effect: effects.Dispatch) -> None:
        """Run or reject a request."""
        target = box.target
        runs = self._runs(target, effect)
        self.runs.append(
            Run(
                request_id=effect.request_id,
                box=box.name,
                target_id=target.target_id,
                at=self.timeline.now,
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
            self.timeline.feed_later(box, failed, ANSWER_DELAY_S)
            return
        if not runs:
            facts = events.AnswerFacts(not_run=True, target_id=target.target_id)
            self._answer(box, effect, 503, facts)
            return
        self._start(box, effect)

    def _runs(self, target: boxes.Target, effect: effects.Dispatch) -> bool:
        """Return whether a target runs a request; a random part of them is shed."""
        return (
            target.up
            and effect.target_id == target.target_id
            and len(target.running) < target.slots
            and not target.sheds
            and self.timeline.rng.random() >= target.shed_ratio
        )

    def _start(self, box: boxes.Box, effect: effects.Dispatch) -> None:
        target = box.target
        target.running[effect.dispatch] = self.timeline.env.event()
        factor = 0.5 + self.timeline.rng.random()
        execution = Execution(
            box=box,
            target=target,
            effect=effect,
            ends=self.timeline.now + int(1000 * effect.left_s) / 1000,
            incarnation=box.incarnation,
        )
        work_s = target.service_time_s(effect.path) * factor
        self.timeline.after(work_s, lambda: self._call_next(execution))

    def _call_next(self, execution: Execution) -> None:
        """Make the next call of a run, or finish the run after the last call."""
        if execution.ended:
            return
        box, target, effect = execution.box, execution.target, execution.effect
        path = effect.path
        calls = next((one for one in target.calls if path.startswith(one.of)), None)
        if path.startswith(target.lethal):
            self.crash(box, target.down_s)
            return
        if calls is None or execution.completed_calls == calls.times:
            self._finish(execution)
            return
        left_s = min(calls.deadline_s, execution.ends - self.timeline.now)
        left_s = int(1000 * left_s) / 1000
        if left_s <= 0:
            self._fail_call(execution)
            return
        req = self.callers.request(
            box,
            host=dict(effect.fields).get("host", self.call_host),
            path=calls.path,
            deadline_s=left_s,
            run_id=effect.request_id if self.calls_carry_run_id else "",
        )

        def continue_run() -> None:
            if req.answer.status == 200:
                execution.completed_calls += 1
                self._call_next(execution)
            else:
                self._fail_call(execution)

        req.then = continue_run
        if req.answer is not None:
            continue_run()

    def _fail_call(self, execution: Execution) -> None:
        dispatch = execution.effect.dispatch
        if execution.target.running.pop(dispatch, None) is not None:
            target_id = execution.target.target_id
            facts = events.AnswerFacts(confirmed_complete=True, target_id=target_id)
            self._answer(execution.box, execution.effect, 500, facts)

    def _finish(self, execution: Execution) -> None:
        box, target = execution.box, execution.target
        dispatch = execution.effect.dispatch
        if target.answer_parts and not target.loses_answers:
            target.parts_left[dispatch] = target.answer_parts
        else:
            del target.running[dispatch]
        if target.loses_answers:
            self.timeline.feed(box, lost(dispatch, "lost"))
            return
        facts = events.AnswerFacts(confirmed_complete=True, target_id=target.target_id)
        status = 500 if target.fails else 200
        self._answer(box, execution.effect, status, facts)

    def _answer(
        self,
        box: boxes.Box,
        effect: effects.Dispatch,
        status: int,
        facts: events.AnswerFacts,
    ) -> None:
        dispatch, request_id = effect.dispatch, effect.request_id
        target = box.target
        if facts.target_id == target.target_id:
            facts = attrs.evolve(
                facts,
                rate_limits=() if target.rate_limit is None else (target.rate_limit,),
                leaving=target.leaving,
            )
            self._record_statement(target, request_id)
        answered = events.TargetAnswered(
            dispatch=dispatch,
            status=status,
            fields=[],
            body=b"whole",
            more=dispatch in target.parts_left,
            total=5 * (1 + target.parts_left.get(dispatch, 0)),
            facts=facts,
        )
        self.timeline.feed_later(box, answered, ANSWER_DELAY_S)

    def read_answer(self, box: boxes.Box, dispatch: int) -> None:
        """Send the next part of an answer that is read by credit."""
        target = box.target
        if dispatch not in target.running:
            return
        target.parts_left[dispatch] -= 1
        self._send_part(box, dispatch, b"whole")

    def discard_answer(self, box: boxes.Box, dispatch: int) -> None:
        """Send the end of an answer that is read without being delivered."""
        target = box.target
        if dispatch in target.running:
            target.parts_left[dispatch] = 0
            self._send_part(box, dispatch, b"")

    def _send_part(self, box: boxes.Box, dispatch: int, data: bytes) -> None:
        target = box.target
        last = target.parts_left[dispatch] <= 0
        if last:
            del target.running[dispatch], target.parts_left[dispatch]
        part = events.TargetAnswerPart(dispatch=dispatch, data=data, last=last)
        self.timeline.feed_later(box, part, ANSWER_DELAY_S)

    def _record_statement(self, target: boxes.Target, request_id: str) -> None:
        req = self.callers.requests.get(request_id)
        self.statements.append(
            statements.Statement(
                at=self.timeline.now,
                target_id=target.target_id,
                origin=req.box if req is not None else "",
                rate_limit=target.rate_limit,
                leaving=target.leaving,
            )
        )

    def _restart(self, box: boxes.Box, crashed: boxes.Target) -> None:
        if box.target is crashed:
            self.replace(box, same_id=crashed.reuse_id)
            self.send_heartbeat(
                box, ready=True, terminating=False, answered=lambda accepted: None
            )


def lost(dispatch: int, detail: str) -> events.TargetFailed:
    """Return the event for a lost answer."""
    return events.TargetFailed(
        dispatch=dispatch, sent=True, refused=False, detail=detail
    )
