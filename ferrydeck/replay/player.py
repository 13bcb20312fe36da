"""Replays a case through the daemon cores and measures the clients' results."""

from __future__ import annotations

import collections
import random

import attrs

from ferrydeck.replay import case as cases
from ferrydeck.replay import ideal, world
from ferrydeck.signed import bundle as bundles
from ferrydeck.signed.core import effects, policies

SETTLE_S = 2.0
"""Time for the boxes to discover each other before the load starts."""
DRAIN_S = 12.0
MAX_JITTER_S = 1.0
BUCKET_WIDTH_S = 0.5
RECOVERY_HOLD_S = 2.0
RECOVERY_RATIO = 0.95


@attrs.define(kw_only=True, eq=False)
class Request:
    """One request of a client, including its resends."""

    line: cases.TraceLine
    began: float
    key: str
    sendings: int = 0
    whole: bool = False


@attrs.define(kw_only=True, frozen=True)
class ClassResult:
    """The results of one request class."""

    class_name: str
    sent: int
    whole: int
    in_fault_sent: int
    in_fault_whole: int


@attrs.define(kw_only=True, frozen=True)
class Result:
    """The measurements of a replay."""

    classes: tuple[ClassResult, ...]
    goodput: float
    """Successful requests a second during the fault."""
    ideal: float
    """Goodput that the slots allow during the fault, highest priority class first."""
    goodput_share: float
    wasted: float
    """Fraction of the targets' busy time spent on requests that failed."""
    attempts: float
    """Mean attempts per forwarded call, including nested calls."""
    recovery_s: float
    """Time from the end of the fault until goodput stays at 95% for 2 s."""
    top_refused: int
    """Requests of the highest priority classes that failed during the fault."""


class Player:
    """Replays one case under one policy."""

    def __init__(
        self,
        *,
        case: cases.Case,
        trace: list[cases.TraceLine],
        bundle: bundles.Bundle,
        policy: policies.Policy,
        seed: int,
        scale: int = 1,
    ) -> None:
        self.case = case
        self.scale = scale
        self.trace = trace
        self.bundle = bundle
        self.world = world.World(seed=seed, policy=policy)
        self.rng = random.Random(seed)
        self.requests: list[Request] = []
        self.ranks = {one.name: one.rank for one in bundle.classes}

    def play(self) -> Result:
        """Replay the case and return the measurements."""
        self._build()
        self.world.run(SETTLE_S)
        start = self.world.env.now
        for fault in self.case.faults:
            self._schedule_fault(fault, start)
        for line in self.trace:
            self._schedule_line(line, start)
        self.world.run(self.case.seconds + DRAIN_S)
        return self._measure(start)

    def _build(self) -> None:
        services = tuple(
            attrs.evolve(one, slots=one.slots * self.scale)
            for one in self.bundle.services
        )
        self.world.activate(attrs.evolve(self.bundle, services=services))
        centres = self.case.data_centres
        for name in centres:
            self.world.add_box(f"{name}-entry", name)
        for group in self.case.boxes:
            for number in range(group.count):
                self.world.add_box(
                    f"{group.service}-{number}",
                    centres[number % len(centres)],
                    service=group.service,
                    slots=group.slots * self.scale,
                )

    def _schedule_fault(self, fault: cases.Fault, start: float) -> None:
        self._call_at(start + fault.at, lambda: self._set_fault(fault, True))
        self._call_at(start + fault.until, lambda: self._set_fault(fault, False))

    def _set_fault(self, fault: cases.Fault, on: bool) -> None:
        faults = self.world.faults
        match fault.kind:
            case "slow":
                for box in self.world.boxes.values():
                    if box.core.identity.service == fault.service:
                        box.target.slowdown = fault.factor if on else 1.0
            case "platform-down":
                faults.platform_down = on
            case "cut":
                others = set(self.case.data_centres) - {fault.data_centre}
                pairs = {frozenset((fault.data_centre, one)) for one in others}
                faults.partitions = pairs if on else set()
                faults.partitioned_from_platform = {fault.data_centre} if on else set()

    def _schedule_line(self, line: cases.TraceLine, start: float) -> None:
        rounds = int(self.case.seconds / self.case.loop_s)
        for number in range(rounds):
            at = number * self.case.loop_s + line.t
            for copy in range(self._copies(at)):
                key = f"{line.key}-{number}-{copy}" if line.key else ""
                begin = start + at + self._jitter(copy)
                self._call_at(begin, lambda key=key, line=line: self._start(line, key))

    def _jitter(self, copy: int) -> float:
        """Return the delay of a copy, which keeps copies from arriving together."""
        return self.rng.uniform(0, MAX_JITTER_S) if copy else 0.0

    def _copies(self, at: float) -> int:
        """Return the number of requests for a trace line.

        Scales with the slots; demand faults multiply it.
        """
        for fault in self.case.faults:
            if fault.kind == "demand" and fault.at <= at < fault.until:
                multiplier = fault.factor * self.scale
                return int(multiplier) + (self.rng.random() < multiplier % 1)
        return self.scale

    def _start(self, line: cases.TraceLine, key: str) -> None:
        request = Request(line=line, began=self.world.env.now, key=key)
        self.requests.append(request)
        self._send(request)

    def _send(self, request: Request) -> None:
        line = request.line
        request.sendings += 1
        entry = self.case.data_centres[line.entry % len(self.case.data_centres)]
        self.world.call(
            f"{entry}-entry",
            line.method,
            line.path,
            key=request.key,
            deadline_ms=line.deadline_ms,
            body=request.key.encode(),
            on_answer=lambda answer: self._on_answer(request, answer),
        )

    def _on_answer(self, request: Request, answer: effects.AnswerCaller) -> None:
        now = self.world.env.now
        in_time = now <= request.began + request.line.deadline_ms / 1000
        if answer.status == 200:
            request.whole = in_time
            return
        if in_time and request.sendings <= self.case.resends:
            self._call_at(now, lambda: self._send(request))

    def _call_at(self, when: float, action: object) -> None:
        delay_s = max(0.0, when - self.world.env.now)
        self.world.env.timeout(delay_s).callbacks.append(lambda _: action())

    def _measure(self, start: float) -> Result:
        begin, end = self._fault_span()
        in_fault = [one for one in self.requests if begin <= one.began - start < end]
        goodput = sum(one.whole for one in in_fault) / (end - begin)
        limit = ideal.goodput(self.case, in_fault, self.ranks, end - begin, self.scale)
        top = [one for one in in_fault if self.ranks[one.line.class_name] == 0]
        return Result(
            classes=self._by_class(in_fault),
            goodput=round(goodput, 2),
            ideal=round(limit, 2),
            goodput_share=round(goodput / limit, 4) if limit else 0.0,
            wasted=round(self._wasted(start), 4),
            attempts=round(self._attempts(), 4),
            recovery_s=self._recovery(start, end),
            top_refused=sum(not one.whole for one in top),
        )

    def _fault_span(self) -> tuple[float, float]:
        faults = self.case.faults
        if not faults:
            return 0.0, self.case.seconds
        return min(one.at for one in faults), max(one.until for one in faults)

    def _by_class(self, in_fault: list[Request]) -> tuple[ClassResult, ...]:
        results = []
        for name in sorted({one.line.class_name for one in self.requests}):
            matching = [one for one in self.requests if one.line.class_name == name]
            during = [one for one in in_fault if one.line.class_name == name]
            results.append(
                ClassResult(
                    class_name=name,
                    sent=len(matching),
                    whole=sum(one.whole for one in matching),
                    in_fault_sent=len(during),
                    in_fault_whole=sum(one.whole for one in during),
                )
            )
        return tuple(results)

    def _wasted(self, start: float) -> float:
        busy_s = sum(
            box.target.busy_s for box in self.world.boxes.values() if box.target
        )
        useful = 0.0
        for request in self.requests:
            if request.whole:
                at = request.began - start
                useful += sum(
                    seconds * ideal.slowdown(self.case, service, at)
                    for service, seconds in ideal.service_times(request.line.path)
                )
        return max(0.0, 1 - useful / busy_s) if busy_s else 0.0

    def _attempts(self) -> float:
        attempts = forwarded = 0
        for finished in self.world.finished_calls:
            attempts += finished.attempts
            forwarded += finished.attempts > 0
        return attempts / forwarded if forwarded else 0.0

    def _recovery(self, start: float, end: float) -> float:
        """Return the recovery time, with requests bucketed by their start time."""
        sent: collections.Counter[int] = collections.Counter()
        whole: collections.Counter[int] = collections.Counter()
        for request in self.requests:
            bucket = int((request.began - start) / BUCKET_WIDTH_S)
            sent[bucket] += 1
            whole[bucket] += request.whole
        first, last = int(end / BUCKET_WIDTH_S), int(self.case.seconds / BUCKET_WIDTH_S)
        hold = int(RECOVERY_HOLD_S / BUCKET_WIDTH_S)
        for bucket in range(first, last - hold + 1):
            span = range(bucket, bucket + hold)
            if all(whole[one] >= RECOVERY_RATIO * sent[one] for one in span):
                return (bucket - first) * BUCKET_WIDTH_S
        return float("inf")
