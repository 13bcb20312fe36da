"""Follows the target of this box: its incarnation, and whether it takes work.

Owns the target's phase, incarnation and slots as this box knows them, and the set of
incarnations that have left. Relies on the target's heartbeats and health checks, and on
other daemons to report which incarnations left while this daemon was not running.
"""

from __future__ import annotations

import enum
from collections.abc import Callable

import attrs

from ferrydeck.mesh import context, effects, events, incarnations, messages, policy

PROBE_RETRY_S = 0.5
"""Pause after a failed health check, seconds."""
PEER_REPORT_S = 0.5
"""How long a daemon that starts waits for another daemon's report of the incarnations
that have left, seconds: the first link stands after some milliseconds."""
MIN_HEARTBEATS = 2
"""Heartbeats that open a target without a health check, since the check may be wrong
either way: a single one may have been sent before the target said that it leaves."""
LATE_S = 10.0
"""How late a heartbeat may come, seconds: the users state that it may be seconds."""
MAX_INCARNATIONS = 64
"""Incarnations whose late heartbeats are recognized, at most. A heartbeat may be
seconds late and a target takes a second to start, so few matter at once."""


class HeartbeatResult(enum.Enum):
    """What a heartbeat changed; its sender is acknowledged in each case."""

    STALE = "stale"
    """It is older than one that came before, or than the target's newest start."""
    LEAVING = "leaving"
    """The incarnation takes no more work."""
    HAS_LEFT = "has left"
    """It is of an incarnation that has left, or may be."""
    OTHER_TARGET = "other target"
    """It is a late one of a target that another one has replaced."""
    UNCONFIRMED = "unconfirmed"
    """It may be older than a leaving; the next one or a health check will show."""
    READY = "ready"
    """The target takes work."""


@attrs.define(kw_only=True, frozen=True)
class ProbeTimer:
    """Time to send a health check."""


@attrs.define(kw_only=True)
class TargetWatch:
    """Follows a target by its heartbeats, health checks and answers.

    An incarnation that has said that it leaves is never opened again. A daemon that
    starts does not know what an earlier process acknowledged, so it opens only after
    the target's own health check, or after several heartbeats.
    """

    ctx: context.Context
    opened: Callable[[float], None]
    """Called when new work may be sent to the target."""
    closed: Callable[[float, messages.Reason], None]
    """Called when no new work may be sent, with the reason."""
    phase: messages.Phase = messages.Phase.UNKNOWN
    incarnation: str = ""
    slots: int = 0
    cold_until: float = 0.0
    ready_at: float = 0.0
    """When the target last said that it is ready; 0 if never."""
    left: set[str] = attrs.Factory(set)
    """Incarnations of the target that have said that they leave."""
    _sequences: dict[str, int] = attrs.Factory(dict)
    """The highest sequence number of each incarnation's heartbeats."""
    _left_unborn: dict[str, float] = attrs.Factory(dict)
    """When incarnations left whose birth was not known, by id."""
    _newest: dict[str, int] = attrs.Factory(dict)
    """When the newest incarnation of each id was born, milliseconds since 1970."""
    _ready_heartbeats: int = 0
    """Heartbeats in a row of one incarnation that is ready but not open."""
    _ready_incarnation: str = ""
    _probing: bool = False
    _peer_reported: bool = False
    """Whether another daemon has reported which incarnations have left."""
    _peer_report_until: float = 0.0

    def start(self, now: float) -> None:
        """Begin to wait for another daemon's report."""
        self._peer_report_until = now + PEER_REPORT_S
        self.ctx.at(self._peer_report_until, ProbeTimer())

    def probe(self, now: float) -> None:
        """Send a health check to a target that is not open."""
        if self.phase is messages.Phase.READY:
            return
        if not self._peer_reported and now < self._peer_report_until:
            return
        self.check(now)

    def check(self, now: float) -> None:
        """Send a health check, unless one is on its way."""
        service = self._service()
        if service is None or self._probing:
            return
        self._probing = True
        self.ctx.emit(effects.Probe(path=service.health_path))

    def probe_answered(self, now: float, event: events.ProbeAnswered) -> None:
        """Open a target that is well, not leaving, and whose incarnation is known."""
        self._probing = False
        if (
            not event.well
            or not event.target_id
            or self._may_have_left(event.target_id)
        ):
            if self.phase is messages.Phase.UNKNOWN:
                self.ctx.at(now + PROBE_RETRY_S, ProbeTimer())
            return
        self.slots = event.slots or self.slots
        same = event.target_id == incarnations.id_of(self.incarnation)
        if self.phase is messages.Phase.READY and same:
            return
        newest = self._newest.get(event.target_id, incarnations.UNKNOWN)
        self._open(now, incarnations.name(event.target_id, newest), "probe")

    def heartbeat(self, now: float, heartbeat: events.Heartbeat) -> HeartbeatResult:
        """Act on a heartbeat of the target; return what it changed."""
        newest = self._newest.get(heartbeat.target_id, incarnations.UNKNOWN)
        if heartbeat.gone and not heartbeat.born:
            # The heartbeat of a stop may have no body: the newest incarnation is meant.
            heartbeat = attrs.evolve(heartbeat, born=newest)
        incarnation = heartbeat.incarnation
        last = self._sequences.get(incarnation, -1)
        if heartbeat.born < newest or _is_repeated(heartbeat, last):
            return HeartbeatResult.STALE
        self._remember(incarnation, max(last, heartbeat.sequence))
        if heartbeat.gone or not heartbeat.ready:
            self._leave(now, incarnation, "gone" if heartbeat.gone else "draining")
            return HeartbeatResult.LEAVING
        if incarnation in self.left or self._may_be_late(now, heartbeat.target_id):
            return HeartbeatResult.HAS_LEFT
        if last >= 0 and self._is_replaced(heartbeat.target_id):
            return HeartbeatResult.OTHER_TARGET
        return self._ready(now, heartbeat)

    def receive_peer_report(self, now: float, left: list[str]) -> None:
        """Act on another daemon's report of the incarnations that have left."""
        for incarnation in left:
            if incarnation not in self.left:
                self._leave(now, incarnation, "told by a peer")
        if not self._peer_reported:
            self._peer_reported = True
            self.probe(now)

    def mark_replaced(self, now: float, target_id: str) -> None:
        """Close until the incarnation that answers now sends heartbeats or is well."""
        self.ctx.note("server-changed", instance=target_id, expected=self.incarnation)
        self.phase = messages.Phase.UNKNOWN
        self.incarnation = ""
        self._ready_heartbeats = 0
        self.closed(now, messages.Reason.WRONG_INCARNATION)
        self.probe(now)

    def mark_down(self, now: float, detail: str) -> None:
        """Close for a target that takes no connection, until its next heartbeat."""
        if self.phase is not messages.Phase.READY:
            return
        self.ctx.note("server-lost", instance=self.incarnation, reason=detail)
        self.phase = messages.Phase.DOWN
        self.closed(now, messages.Reason.CLOSED)

    def _ready(self, now: float, heartbeat: events.Heartbeat) -> HeartbeatResult:
        """Open the target for a heartbeat that says it is ready, if that is sure."""
        incarnation = heartbeat.incarnation
        self.ready_at = now
        self.slots = heartbeat.slots or self.slots
        self.cold_until = max(self.cold_until, now + heartbeat.cold_s)
        if self.phase is messages.Phase.READY and self.incarnation == incarnation:
            return HeartbeatResult.READY
        if self.phase is messages.Phase.UNKNOWN and not self._confirmed(incarnation):
            # It may be older than a leaving that an earlier process of this daemon
            # acknowledged.
            self.probe(now)
            return HeartbeatResult.UNCONFIRMED
        self._open(now, incarnation, "report")
        return HeartbeatResult.READY

    def _confirmed(self, incarnation: str) -> bool:
        """Count a heartbeat; return whether there are enough without a health check."""
        same = incarnation == self._ready_incarnation
        self._ready_heartbeats = self._ready_heartbeats + 1 if same else 1
        self._ready_incarnation = incarnation
        return self._ready_heartbeats >= MIN_HEARTBEATS

    def _is_replaced(self, target_id: str) -> bool:
        """Return whether the box is open for a target of another id."""
        if not self.incarnation or self.phase is not messages.Phase.READY:
            return False
        return target_id != incarnations.id_of(self.incarnation)

    def _may_have_left(self, target_id: str) -> bool:
        """Return whether a health check may be that of an incarnation that leaves.

        A target states its id there and not when it was born: where an incarnation of
        this id has left, only a heartbeat shows that the one that answers is another.
        """
        born = self._newest.get(target_id, incarnations.UNKNOWN)
        if born and incarnations.name(target_id, born) not in self.left:
            return False
        return any(incarnations.id_of(one) == target_id for one in self.left)

    def _may_be_late(self, now: float, target_id: str) -> bool:
        """Return whether a heartbeat may be of one that left with no birth known.

        After some seconds it is of a new incarnation of the same id.
        """
        return now - self._left_unborn.get(target_id, float("-inf")) < LATE_S

    def _remember(self, incarnation: str, sequence: int) -> None:
        """Remember an incarnation's newest heartbeat, and forget the oldest ones."""
        target_id = incarnations.id_of(incarnation)
        newest = self._newest.get(target_id, incarnations.UNKNOWN)
        self._newest[target_id] = max(newest, incarnations.born(incarnation))
        self._sequences.pop(incarnation, None)
        self._sequences[incarnation] = sequence
        if len(self._sequences) > MAX_INCARNATIONS:
            self._forget(next(iter(self._sequences)))

    def _forget(self, incarnation: str) -> None:
        del self._sequences[incarnation]
        target_id = incarnations.id_of(incarnation)
        if self._newest.get(target_id) == incarnations.born(incarnation):
            del self._newest[target_id]

    def _open(self, now: float, incarnation: str, why: str) -> None:
        """Take work for an incarnation of the target."""
        self.phase = messages.Phase.READY
        self.incarnation = incarnation
        self.ready_at = now
        self.ctx.note(
            "server-ready", instance=incarnation, reason=why, slots=self.slots
        )
        self.opened(now)

    def _leave(self, now: float, incarnation: str, why: str) -> None:
        """Close for an incarnation of the target that leaves, for good."""
        if incarnation in self.left:
            return
        self.left.add(incarnation)
        if not incarnations.born(incarnation):
            self._left_unborn[incarnation] = now
        self.ctx.note("server-leaving", instance=incarnation, reason=why)
        if not self.incarnation or self._is_current(incarnation):
            self.incarnation = incarnation
            self.phase = messages.Phase.LEAVING
            self.closed(now, messages.Reason.CLOSED)

    def _is_current(self, incarnation: str) -> bool:
        """Return whether an incarnation is the one that is open.

        After a health check the id alone is known, until a heartbeat states when the
        target was born.
        """
        target_id = incarnations.id_of(incarnation)
        return self.incarnation in (incarnation, target_id)

    def _service(self) -> policy.Service | None:
        if self.ctx.policy is None:
            return None
        return self.ctx.policy.services.get(self.ctx.identity.service)


def _is_repeated(heartbeat: events.Heartbeat, last: int) -> bool:
    """Return whether a newer heartbeat came before; a stop is never too old."""
    return heartbeat.sequence <= last and not heartbeat.gone
