"""Simulates a cluster of daemon cores in virtual time, with fault injection.

Carries the effects of each core to the others as `simpy` events. Tests and traces
inject faults into the links and the platform; hardware is not simulated.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable

import attrs
import simpy

from ferrydeck.replay import targets
from ferrydeck.signed import bundle as bundles
from ferrydeck.signed import signing
from ferrydeck.signed.core import (
    context,
    daemon_core,
    effects,
    events,
    platform,
    policies,
)
from ferrydeck.signed.wire import codec, messages
from ferrydeck.standins import store

LOCAL_LATENCY_S = 0.0003
REMOTE_LATENCY_S = 0.001
PLATFORM_LATENCY_S = 0.003
PLATFORM_TIMEOUT_S = 0.5
CLUSTER = "replay"


@attrs.define(kw_only=True)
class Faults:
    """The faults injected into links and the platform."""

    platform_down: bool = False
    platform_slow_s: float = 0.0
    lost_responses: int = 0
    """Number of upcoming writes that are applied but whose responses are lost."""
    partitions: set[frozenset[str]] = attrs.Factory(set)
    """Pairs of data centres that can't reach each other."""
    partitioned_from_platform: set[str] = attrs.Factory(set)
    loss_ratio: float = 0.0
    """Fraction of the messages between daemons that is lost."""
    delay_ratio: float = 0.0
    """Fraction of the messages that is delayed, by up to `max_delay_s`."""
    max_delay_s: float = 0.5
    duplicate_ratio: float = 0.0
    """Fraction of the messages that is delivered twice."""
    extra_delay: Callable[[str, messages.Message], float] | None = None
    """Returns the additional delay of a box's message, seconds; below 0 drops it."""


@attrs.define(kw_only=True, eq=False)
class Box:
    """One box: its daemon core, its target and the events queued while frozen."""

    name: str
    data_centre: str
    core: daemon_core.Core
    target: targets.FakeTarget | None
    clock_offset: float
    alive: bool = True
    frozen: bool = False
    queued_events: list[events.Event] = attrs.Factory(list)
    timer_at: float = float("inf")
    stopped: bool = False
    audit: list[effects.Audit] = attrs.Factory(list)


@attrs.define(kw_only=True, eq=False)
class ClientCall:
    """A call of a client and its response."""

    entry: str
    path: str
    key: str
    started_at: float
    answered_at: float = 0.0
    answer: effects.AnswerCaller | None = None
    finished: effects.CallFinished | None = None

    @property
    def outcome(self) -> str:
        """The outcome header of the response; empty before a response."""
        if self.answer is None:
            return ""
        return next(
            one.value for one in self.answer.headers if one.name == "ferrydeck-outcome"
        )


class World:
    """A simulated cluster: boxes, links, the platform and clients."""

    def __init__(self, *, seed: int = 1, policy: policies.Policy | None = None) -> None:
        self.env = simpy.Environment()
        self.rng = random.Random(seed)
        self.policy = policy or policies.Policy()
        self.boxes: dict[str, Box] = {}
        self.names_by_address: dict[str, str] = {}
        self.faults = Faults()
        self.store = store.Store()
        self.calls: list[ClientCall] = []
        self.answer_callbacks: dict[tuple[str, int], Callable] = {}
        self.open_calls: dict[tuple[str, int], ClientCall] = {}
        self.observer: Callable[[str, events.Event, list], None] | None = None
        self.finished_calls: list[effects.CallFinished] = []
        self.killed_boxes: list[Box] = []
        self._connection_ids = itertools.count(1)
        self._incarnation_ids = itertools.count(1)
        self._verified: signing.Verified | None = None

    def activate(self, bundle: bundles.Bundle) -> None:
        """Activate a bundle at all boxes, including those added later."""
        body = bundles.canonical_body(bundle).decode()
        signed = signing.SignedBundle(body=body)
        self._verified = signing.Verified(
            signed=signed, bundle=bundle, raw=signing.encode(signed), signers=("test",)
        )
        for box in self.boxes.values():
            self._apply_all(box, box.core.activate(self._now(box), self._verified))

    def add_box(
        self, name: str, data_centre: str, *, service: str = "", slots: int = 0
    ) -> Box:
        """Start a box, with a target if it serves a service."""
        address = f"{name}:1"
        self.names_by_address[address] = name
        core = daemon_core.Core(
            identity=context.Identity(
                cluster=CLUSTER,
                box=name,
                incarnation=next(self._incarnation_ids),
                address=address,
                call_address=address,
                data_centre=data_centre,
                service=service,
            ),
            rng=random.Random(self.rng.getrandbits(64)),
            seeds=tuple(f"{one}:1" for one in list(self.boxes)[:4]),
            policy=self.policy,
        )
        previous = self.boxes.get(name)
        target = previous.target if previous else None
        if service and target is None:
            target = self._make_target(name, slots)
        box = Box(
            name=name,
            data_centre=data_centre,
            core=core,
            target=target,
            clock_offset=self.rng.uniform(0, 1000),
        )
        self.boxes[name] = box
        self._apply_all(box, core.start(self._now(box)))
        if self._verified is not None:
            self._apply_all(box, core.activate(self._now(box), self._verified))
        return box

    def run(self, seconds: float) -> None:
        """Advance the virtual time."""
        self.env.run(until=self.env.now + seconds)

    def kill(self, name: str) -> None:
        """Terminate a box's daemon immediately; its target keeps running."""
        box = self.boxes[name]
        box.alive = False
        box.queued_events.clear()
        self.killed_boxes.append(box)

    def restart(self, name: str) -> Box:
        """Restart a box's daemon without any of its state."""
        box = self.boxes[name]
        box.alive = False
        return self.add_box(name, box.data_centre, service=box.core.identity.service)

    def freeze(self, name: str) -> None:
        """Suspend a daemon, queueing its events."""
        self.boxes[name].frozen = True

    def thaw(self, name: str) -> None:
        """Resume a daemon and deliver the events queued meanwhile."""
        box = self.boxes[name]
        box.frozen = False
        queued, box.queued_events = box.queued_events, []
        self.handle_event(box, events.Wake())
        for event in queued:
            self.handle_event(box, event)

    def stop(self, name: str) -> None:
        """Ask a daemon to shut down gracefully."""
        self.handle_event(self.boxes[name], events.StopAsked(end=True, reason="test"))

    def call(
        self,
        entry: str,
        method: str,
        path: str,
        *,
        key: str = "",
        deadline_ms: int = 0,
        body: bytes = b"",
        token: str = "",
        local: bool = False,
        on_answer: Callable[[effects.AnswerCaller], None] | None = None,
    ) -> ClientCall:
        """Send a client's call through an entry box."""
        fields = []
        if key:
            fields.append(messages.Header(name="idempotency-key", value=key))
        if deadline_ms:
            name = "ferrydeck-deadline-ms"
            fields.append(messages.Header(name=name, value=str(deadline_ms)))
        if token:
            fields.append(messages.Header(name="ferrydeck-context", value=token))
        conn = next(self._connection_ids)
        call = ClientCall(entry=entry, path=path, key=key, started_at=self.env.now)
        if not local:
            self.calls.append(call)
        self.open_calls[entry, conn] = call
        if on_answer is not None:
            self.answer_callbacks[entry, conn] = on_answer
        event = events.CallReceived(
            conn=conn,
            local=local,
            method=method,
            path=path,
            headers=tuple(fields),
            body=body,
        )
        self.handle_event(self.boxes[entry], event)
        return call

    def effects(self) -> list[targets.Effect]:
        """Return the executions started at all targets, by time."""
        lists = [box.target.executions for box in self.boxes.values() if box.target]
        return sorted(itertools.chain(*lists), key=lambda one: one.at)

    def handle_event(self, box: Box, event: events.Event) -> None:
        """Pass an event to a box's core, or queue it while the box is frozen."""
        if not box.alive or box.stopped:
            return
        if box.frozen:
            box.queued_events.append(event)
            return
        produced = box.core.handle(self._now(box), event)
        if self.observer is not None:
            self.observer(box.name, event, produced)
        self._apply_all(box, produced)

    def _make_target(self, name: str, slots: int) -> targets.FakeTarget:
        return targets.FakeTarget(
            env=self.env,
            slots=slots,
            emit=lambda event: self.handle_event(self.boxes[name], event),
            call_daemon=lambda path, token, on_answer: self.call(
                name, "GET", path, token=token, local=True, on_answer=on_answer
            ),
        )

    def _now(self, box: Box) -> float:
        return self.env.now + box.clock_offset

    def _call_later(self, delay_s: float, action: Callable[[], None]) -> None:
        self.env.timeout(delay_s).callbacks.append(lambda _: action())

    def _apply_all(self, box: Box, produced: list[effects.Effect]) -> None:
        for effect in produced:
            self._apply(box, effect)
        self._schedule_timer(box)

    def _schedule_timer(self, box: Box) -> None:
        due_at = box.core.next_wake()
        if due_at is None or due_at >= box.timer_at:
            return
        box.timer_at = due_at
        delay_s = max(0.0, due_at - self._now(box))
        self._call_later(delay_s, lambda: self._fire_timer(box, due_at))

    def _fire_timer(self, box: Box, due_at: float) -> None:
        if box.timer_at != due_at:
            return
        box.timer_at = float("inf")
        if box.frozen:
            return
        self.handle_event(box, events.Wake())

    def _apply(self, box: Box, effect: effects.Effect) -> None:
        match effect:
            case effects.SendPeer():
                self._send_message(box, effect)
            case effects.AnswerCaller(conn=conn):
                self._answer_caller(box, conn, effect)
            case effects.CallFinished(conn=conn):
                self.finished_calls.append(effect)
                call = self.open_calls.pop((box.name, conn), None)
                if call is not None:
                    call.finished = effect
            case effects.DispatchTarget():
                box.target.dispatch(effect)
            case effects.CancelTarget(dispatch=dispatch):
                box.target.cancel(dispatch)
            case effects.AskPlatform(request=request):
                self._call_platform(box, request)
            case effects.Audit():
                box.audit.append(effect)
            case effects.Ended():
                box.stopped = True

    def _answer_caller(self, box: Box, conn: int, effect: effects.AnswerCaller) -> None:
        call = self.open_calls.get((box.name, conn))
        if call is None:
            return
        call.answer = effect
        call.answered_at = self.env.now
        on_answer = self.answer_callbacks.pop((box.name, conn), None)
        if on_answer is not None:
            on_answer(effect)

    def _send_message(self, box: Box, effect: effects.SendPeer) -> None:
        """Deliver a message to another box, subject to the faults."""
        receiver = self.boxes.get(self.names_by_address.get(effect.address, ""))
        if receiver is None or not receiver.alive or receiver.stopped:
            return
        link = frozenset((box.data_centre, receiver.data_centre))
        if link in self.faults.partitions or self.rng.random() < self.faults.loss_ratio:
            return
        delay = self.faults.extra_delay
        extra_s = delay(box.name, effect.message) if delay else 0.0
        if extra_s < 0:
            return
        envelope = messages.Envelope(
            protocol=messages.PROTOCOL,
            cluster=CLUSTER,
            kind=type(effect.message).__name__,
            box=box.name,
            incarnation=box.core.identity.incarnation,
            address=box.core.identity.address,
            receiver=effect.incarnation,
            bundle=box.core.rollout.version,
            sent=self._now(box),
            body=codec.EMPTY_BODY,
        )
        received = codec.Received(envelope=envelope, message=effect.message)
        event = events.PeerReceived(received=received)
        copies = 2 if self.rng.random() < self.faults.duplicate_ratio else 1
        for _ in range(copies):
            latency_s = self._latency(link) + extra_s
            self._call_later(latency_s, lambda: self._deliver(receiver.name, event))

    def _deliver(self, name: str, event: events.Event) -> None:
        self.handle_event(self.boxes[name], event)

    def _latency(self, link: frozenset[str]) -> float:
        latency = LOCAL_LATENCY_S if len(link) == 1 else REMOTE_LATENCY_S
        if self.rng.random() < self.faults.delay_ratio:
            latency += self.rng.uniform(0, self.faults.max_delay_s)
        return latency

    def _call_platform(self, box: Box, request: platform.Request) -> None:
        faults = self.faults
        if faults.platform_down or box.data_centre in faults.partitioned_from_platform:
            self._call_later(PLATFORM_TIMEOUT_S, lambda: self._time_out(box, request))
            return
        if isinstance(request, platform.Watch):
            self._poll_watch(box, request, self.env.now + request.wait_s)
            return
        delay_s = PLATFORM_LATENCY_S + faults.platform_slow_s * self.rng.random()
        self._call_later(delay_s, lambda: self._execute_on_platform(box, request))

    def _poll_watch(self, box: Box, request: platform.Watch, deadline: float) -> None:
        """Poll a watched key until it changes or the watch times out."""
        changed = self.store.version(request.key) != request.after_version
        if changed or self.env.now >= deadline:
            self._execute_on_platform(box, request)
            return
        self._call_later(0.1, lambda: self._poll_watch(box, request, deadline))

    def _execute_on_platform(self, box: Box, request: platform.Request) -> None:
        result = self.store.apply(self.env.now, request)
        if isinstance(result, platform.Written) and self.faults.lost_responses:
            self.faults.lost_responses -= 1
            self._call_later(PLATFORM_TIMEOUT_S, lambda: self._time_out(box, request))
            return
        answered = events.PlatformAnswered(request=request, result=result)
        self._call_later(PLATFORM_LATENCY_S, lambda: self.handle_event(box, answered))

    def _time_out(self, box: Box, request: platform.Request) -> None:
        result = platform.NoAnswer(detail="no answer")
        self.handle_event(box, events.PlatformAnswered(request=request, result=result))
