"""Tracks the local target: its incarnation, and whether it accepts requests.

Owns the known phase, incarnation and slots of the target, and the set of incarnations
that have left. Relies on the target's heartbeats and health checks, and on other
daemons to report which incarnations left while this daemon was not running.
"""

from __future__ import annotations

import enum
from collections.abc import Callable

import attrs

from ferrydeck.mesh import context, effects, events, incarnations, messages, policy

PROBE_RETRY_INTERVAL_S = 0.5
"""Delay until a failed health check is repeated, seconds."""
PEER_REPORT_TIMEOUT_S = 0.5
"""Time for which a starting daemon waits for another daemon's report of the
incarnations that have left, seconds."""
MIN_HEARTBEATS = 2
"""Heartbeats that open a target without a successful health check. A single one may
have been sent before the target announced that it leaves."""
NEXT_HEARTBEAT_INTERVALS = 2
"""Heartbeat intervals in which a running target sends at least one heartbeat."""
MAX_DELAY_S = 10.0
"""Longest delay of a heartbeat, seconds; by agreement one may be seconds late."""
MAX_INCARNATIONS = 64
"""Maximum number of incarnations whose late heartbeats are recognized. Heartbeats are
seconds late and targets take a second to start, so few matter at a time."""


class HeartbeatResult(enum.Enum):
    """The effect of a heartbeat, which is acknowledged in every case."""

    STALE = "stale"
    """It is older than an earlier heartbeat or than the newest start of the target."""
    LEAVING = "leaving"
    """The incarnation accepts no more requests."""
    HAS_LEFT = "has left"
    """Its incarnation has left, or may have left."""
    OTHER_TARGET = "other target"
    """It is a late heartbeat of a target that has been replaced."""
    UNCONFIRMED = "unconfirmed"
    """It may have been sent before the target left; another heartbeat is needed."""
    READY = "ready"
    """The target accepts requests."""


@attrs.define(kw_only=True, frozen=True)
class ProbeTimer:
    """Send a health check."""


@attrs.define(kw_only=True)
class TargetWatch:
    """Tracks a target by its heartbeats, health checks and answers.

    An incarnation that has announced that it leaves is never opened again. A starting
    daemon does not know what its predecessor acknowledged, so it opens the target only
    after a successful health check or after several heartbeats.
    """

    ctx: context.Context
    on_open: Callable[[float], None]
    """Called when the target starts to accept requests."""
    on_close: Callable[[float, messages.Reason], None]
    """Called when the target stops accepting requests, with the reason."""
    phase: messages.Phase = messages.Phase.UNKNOWN
    incarnation: str = ""
    slots: int = 0
    cold_until: float = 0.0
    ready_at: float = 0.0
    """Time of the last report that the target is ready; 0 if none."""
    left: set[str] = attrs.Factory(set)
    """Incarnations of the target that have announced that they leave."""
    _sequences: dict[str, int] = attrs.Factory(dict)
    """Highest sequence number of the heartbeats, by incarnation."""
    _left_at: dict[str, float] = attrs.Factory(dict)
    """Leaving time of incarnations with unknown birth time, by target id."""
    _left_by_answer_at: dict[str, float] = attrs.Factory(dict)
    """The same, for those that left by an answer."""
    _newest: dict[str, int] = attrs.Factory(dict)
    """Birth time of the newest incarnation of each id, Unix time in milliseconds."""
    _ready_heartbeats: int = 0
    """Consecutive heartbeats of a ready incarnation that is not open yet."""
    _ready_incarnation: str = ""
    _probing: bool = False
    _peer_reported: bool = False
    """Whether another daemon has reported the incarnations that have left."""
    _peer_report_deadline: float = 0.0

    def start(self, now: float) -> None:
        """Start to wait for the report of another daemon."""
        self._peer_report_deadline = now + PEER_REPORT_TIMEOUT_S
        self.ctx.set_timer(self._peer_report_deadline, ProbeTimer())

    def probe(self, now: float) -> None:
        """Send a health check to a target that is not open."""
        if self.phase is messages.Phase.READY:
            return
        if not self._peer_reported and now < self._peer_report_deadline:
            return
        self.check(now)

    def check(self, now: float) -> None:
        """Send a health check, unless one is pending."""
        service = self._service()
        if service is None or self._probing:
            return
        self._probing = True
        self.ctx.emit(effects.Probe(path=service.health_path))

    def probe_answered(self, now: float, event: events.ProbeAnswered) -> None:
        """Open a target that is healthy, not leaving, and has stated its id."""
        self._probing = False
        if event.leaving:
            self.leaving_stated(now, event.target_id)
        if (
            not event.healthy
            or event.leaving
            or not event.target_id
            or self._may_have_left(event.target_id)
        ):
            if self.phase is messages.Phase.UNKNOWN:
                self.ctx.set_timer(now + PROBE_RETRY_INTERVAL_S, ProbeTimer())
            return
        self.slots = event.slots or self.slots
        same = event.target_id == incarnations.target_id_of(self.incarnation)
        if self.phase is messages.Phase.READY and same:
            return
        newest = self._newest.get(event.target_id, incarnations.UNKNOWN)
        self._open(now, incarnations.name(event.target_id, newest), "probe")

    def leaving_stated(self, now: float, target_id: str) -> None:
        """Close the target for good if its answer states that it is leaving."""
        if not target_id or target_id != incarnations.target_id_of(self.incarnation):
            return
        if not incarnations.started_ms(self.incarnation):
            self._left_by_answer_at[target_id] = now
        self._leave(now, self.incarnation, "answer")

    def heartbeat(self, now: float, heartbeat: events.Heartbeat) -> HeartbeatResult:
        """Process a heartbeat of the target and return its effect."""
        newest = self._newest.get(heartbeat.target_id, incarnations.UNKNOWN)
        if heartbeat.terminating and not heartbeat.started_ms:
            # A deregistration may have no body; it refers to the newest incarnation.
            heartbeat = attrs.evolve(heartbeat, started_ms=newest)
        incarnation = heartbeat.incarnation
        last = self._sequences.get(incarnation, -1)
        if heartbeat.started_ms < newest or _is_repeated(heartbeat, last):
            return HeartbeatResult.STALE
        self._remember(incarnation, max(last, heartbeat.sequence))
        if heartbeat.terminating or not heartbeat.ready:
            self._leave(
                now, incarnation, "gone" if heartbeat.terminating else "draining"
            )
            return HeartbeatResult.LEAVING
        if self._names_leaving_target(now, heartbeat.target_id):
            self.left.add(incarnation)
        if incarnation in self.left or self._may_be_late(now, heartbeat.target_id):
            return HeartbeatResult.HAS_LEFT
        if last >= 0 and self._is_replaced(heartbeat.target_id):
            return HeartbeatResult.OTHER_TARGET
        return self._ready(now, heartbeat)

    def receive_peer_report(self, now: float, left: list[str]) -> None:
        """Process another daemon's report of the incarnations that have left."""
        for incarnation in left:
            if incarnation not in self.left:
                self._leave(now, incarnation, "told by a peer")
        if not self._peer_reported:
            self._peer_reported = True
            self.probe(now)

    def mark_replaced(self, now: float, target_id: str) -> None:
        """Close until the new incarnation sends heartbeats or passes a health check."""
        self.ctx.note("server-changed", instance=target_id, expected=self.incarnation)
        self.phase = messages.Phase.UNKNOWN
        self.incarnation = ""
        self._ready_heartbeats = 0
        self.on_close(now, messages.Reason.WRONG_INCARNATION)
        self.probe(now)

    def mark_down(self, now: float, detail: str) -> None:
        """Close a target that refuses connections, until its next heartbeat."""
        if self.phase is not messages.Phase.READY:
            return
        self.ctx.note("server-lost", instance=self.incarnation, reason=detail)
        self.phase = messages.Phase.DOWN
        self.on_close(now, messages.Reason.CLOSED)

    def _ready(self, now: float, heartbeat: events.Heartbeat) -> HeartbeatResult:
        """Process a heartbeat of a ready target; open the target if it is confirmed."""
        incarnation = heartbeat.incarnation
        self.ready_at = now
        self.slots = heartbeat.slots or self.slots
        self.cold_until = max(self.cold_until, now + heartbeat.warmup_s)
        if self.phase is messages.Phase.READY and self.incarnation == incarnation:
            return HeartbeatResult.READY
        if self.phase is messages.Phase.UNKNOWN and not self._confirmed(incarnation):
            # An earlier process of this daemon may have acknowledged that it leaves.
            self.probe(now)
            return HeartbeatResult.UNCONFIRMED
        self._open(now, incarnation, "report")
        return HeartbeatResult.READY

    def _confirmed(self, incarnation: str) -> bool:
        """Count a heartbeat; return whether it opens without a health check."""
        same = incarnation == self._ready_incarnation
        self._ready_heartbeats = self._ready_heartbeats + 1 if same else 1
        self._ready_incarnation = incarnation
        return self._ready_heartbeats >= MIN_HEARTBEATS

    def _is_replaced(self, target_id: str) -> bool:
        """Return whether a target with another id is open."""
        if not self.incarnation or self.phase is not messages.Phase.READY:
            return False
        return target_id != incarnations.target_id_of(self.incarnation)

    def _may_have_left(self, target_id: str) -> bool:
        """Return whether a health check may be answered by a leaving incarnation.

        The answer contains the target id and no birth time. If an incarnation of this
        id has left, only a heartbeat identifies the new one.
        """
        started_ms = self._newest.get(target_id, incarnations.UNKNOWN)
        if started_ms and incarnations.name(target_id, started_ms) not in self.left:
            return False
        return any(incarnations.target_id_of(name) == target_id for name in self.left)

    def _may_be_late(self, now: float, target_id: str) -> bool:
        """Return whether an incarnation that left without birth time may have sent it.

        After `MAX_DELAY_S` it belongs to a new incarnation of the same id.
        """
        return now - self._left_at.get(target_id, float("-inf")) < MAX_DELAY_S

    def _names_leaving_target(self, now: float, target_id: str) -> bool:
        """Return whether a heartbeat is the first one after a target left by an answer.

        The answer has only the target id; the heartbeat adds the birth time.
        """
        left_at = self._left_by_answer_at.pop(target_id, float("-inf"))
        return now - left_at <= NEXT_HEARTBEAT_INTERVALS * self.ctx.limits.heartbeat_s

    def _remember(self, incarnation: str, sequence: int) -> None:
        """Store the sequence number of a heartbeat, and drop the oldest incarnation."""
        target_id = incarnations.target_id_of(incarnation)
        newest = self._newest.get(target_id, incarnations.UNKNOWN)
        self._newest[target_id] = max(newest, incarnations.started_ms(incarnation))
        self._sequences.pop(incarnation, None)
        self._sequences[incarnation] = sequence
        if len(self._sequences) > MAX_INCARNATIONS:
            self._forget(next(iter(self._sequences)))

    def _forget(self, incarnation: str) -> None:
        del self._sequences[incarnation]
        target_id = incarnations.target_id_of(incarnation)
        if self._newest.get(target_id) == incarnations.started_ms(incarnation):
            del self._newest[target_id]

    def _open(self, now: float, incarnation: str, reason: str) -> None:
        """Accept requests for an incarnation of the target."""
        self.phase = messages.Phase.READY
        self.incarnation = incarnation
        self.ready_at = now
        self.ctx.note(
            "server-ready", instance=incarnation, reason=reason, slots=self.slots
        )
        self.on_open(now)

    def _leave(self, now: float, incarnation: str, reason: str) -> None:
        """Close the target permanently for an incarnation that leaves."""
        if incarnation in self.left:
            return
        self.left.add(incarnation)
        if not incarnations.started_ms(incarnation):
            self._left_at[incarnation] = now
        self.ctx.note("server-leaving", instance=incarnation, reason=reason)
        if not self.incarnation or self._is_current(incarnation):
            self.incarnation = incarnation
            self.phase = messages.Phase.LEAVING
            self.on_close(now, messages.Reason.CLOSED)

    def _is_current(self, incarnation: str) -> bool:
        """Return whether an incarnation is the current one.

        After a health check only the id is known, until a heartbeat states the birth
        time.
        """
        target_id = incarnations.target_id_of(incarnation)
        return self.incarnation in (incarnation, target_id)

    def _service(self) -> policy.Service | None:
        if self.ctx.policy is None:
            return None
        return self.ctx.policy.services.get(self.ctx.identity.service)


def _is_repeated(heartbeat: events.Heartbeat, last: int) -> bool:
    """Return whether a heartbeat is a duplicate or late; a deregistration never is."""
    return heartbeat.sequence <= last and not heartbeat.terminating
