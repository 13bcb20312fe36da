"""How a daemon stops: the inbound side closes, callers leave, then the process ends.

Owns the times of that sequence; relies on the two sides to say what is still open.
Callers are served all the while: they leave as they see that the box is not ready.
"""

from __future__ import annotations

import attrs

from ferrydeck.mesh import context, effects
from ferrydeck.mesh.inbound import inbound
from ferrydeck.mesh.outbound import outbound

INBOUND_CLOSE_DELAY_S = 2.4
"""From a signal to stop until the inbound side rejects new requests, seconds: the
process has to stay for its callers anyway, and what is admitted until then ends by the
time they have left. Its target then idles for half as long as if it closed at once."""
MIN_SHUTDOWN_S = 3.0
"""From a signal to stop until the process may end, seconds: callers go elsewhere after
two failed checks of readiness, a second apart, and what they sent before has to end."""
EXIT_MARGIN_S = 0.9
"""Time before the end of the grace at which the process begins to end at the latest,
seconds: the loop and the interpreter take up to half a second to end."""
CHECK_INTERVAL_S = 0.1
"""How often it is checked what is due, seconds."""


@attrs.define(kw_only=True, frozen=True)
class ShutdownTimer:
    """Time to check whether a daemon that stops may end."""


@attrs.define(kw_only=True, frozen=True)
class Progress:
    """How far a stop has come."""

    since_s: float
    """Time since the signal, seconds."""
    grace_s: float
    """From the signal until the process is killed, seconds."""
    idle: bool
    """Whether no request is open on either side."""


def may_exit(progress: Progress) -> bool:
    """Return whether the process may end: open requests are waited for in the grace."""
    if progress.since_s >= progress.grace_s - EXIT_MARGIN_S:
        return True
    return progress.since_s >= MIN_SHUTDOWN_S and progress.idle


@attrs.define(kw_only=True)
class Shutdown:
    """Carries out the stop of one daemon."""

    ctx: context.Context
    inbound: inbound.Inbound
    outbound: outbound.Outbound
    _stop_at: float = 0.0

    def begin(self, now: float) -> None:
        """Begin to stop; a further signal changes nothing."""
        if self.ctx.stopping:
            return
        self.ctx.stopping = True
        self._stop_at = now
        self.ctx.note(
            "stop", outcome="asked", calls=len(self.outbound.requests.by_conn)
        )
        self.ctx.set_timer(now + CHECK_INTERVAL_S, ShutdownTimer())

    def check(self, now: float) -> None:
        """Close the sides and end the process as it is due."""
        since_s = now - self._stop_at
        if since_s >= INBOUND_CLOSE_DELAY_S and not self.inbound.stopping:
            self.inbound.stop(now)
            self.ctx.emit(effects.StopAccepting())
        self.outbound.stopping = since_s >= MIN_SHUTDOWN_S
        progress = Progress(
            since_s=since_s,
            grace_s=self.ctx.limits.grace_s,
            idle=not self.outbound.requests.by_conn and not self.inbound.busy,
        )
        if not may_exit(progress):
            self.ctx.set_timer(now + CHECK_INTERVAL_S, ShutdownTimer())
            return
        self.ctx.note(
            "stop",
            outcome="ended",
            calls=len(self.outbound.requests.by_conn),
            jobs=self.inbound.busy,
        )
        self.ctx.emit(effects.Exit())
