"""Graceful shutdown: closes the inbound side, waits for callers, then exits.

Requests of callers are served throughout; callers move to another box once the
readiness check fails. Shortly before the exit, requests that wait in a queue anywhere
are withdrawn, so that their callers get a rejection that they can rely on. Every caller
that has received nothing yet gets an answer before the exit.
"""

from __future__ import annotations

import attrs

from ferrydeck.mesh import context, effects
from ferrydeck.mesh.inbound import body_assembly, inbound
from ferrydeck.mesh.outbound import outbound

INBOUND_CLOSE_DELAY_S = 2.4
"""Time from the signal until the inbound side rejects new requests, seconds. Requests
admitted until then finish before the process may exit, which stays for its callers
anyway; the target idles for half as long as if it closed at once."""
MIN_SHUTDOWN_S = 3.0
"""Minimum time from the signal to the exit, seconds: callers move elsewhere after two
failed readiness checks, a second apart."""
EXIT_MARGIN_S = 0.9
"""Time before the end of the grace period at which open requests are ended, seconds."""
TEARDOWN_S = 0.7
"""Time before the end of the grace period at which the process no longer waits for
answers that are being sent, seconds; its end takes up to half a second."""
WITHDRAWAL_MARGIN_S = 0.3
"""Time for the withdrawal of a queued request, in addition to its service time,
seconds; from then on no attempt is started."""
SERVICE_TIME_FACTOR = 1.5
"""Allowance for runs that take longer than the mean, as a factor on the mean service
time: a queued request is withdrawn rather than cut off while it runs."""
UNKNOWN_SERVICE_TIME_S = 1.0
"""Assumed mean service time of a target that has not reported one yet, seconds."""
CHECK_INTERVAL_S = 0.1
"""Interval of the shutdown timer, seconds."""


@attrs.define(kw_only=True, frozen=True)
class ShutdownTimer:
    """Timer that advances the shutdown."""


@attrs.define(kw_only=True, frozen=True)
class Progress:
    """Progress of a shutdown."""

    since_s: float
    """Time since the signal, seconds."""
    grace_s: float
    """Time from the signal until the process is killed, seconds."""
    idle: bool
    """Whether no request is open on the inbound or outbound side."""


def may_exit(progress: Progress) -> bool:
    """Return whether the process may exit: it is idle, or its grace period ends."""
    if progress.since_s >= progress.grace_s - EXIT_MARGIN_S:
        return True
    return progress.since_s >= MIN_SHUTDOWN_S and progress.idle


@attrs.define(kw_only=True)
class Shutdown:
    """Carries out the graceful shutdown of a daemon."""

    ctx: context.Context
    inbound: inbound.Inbound
    outbound: outbound.Outbound
    body_assembly: body_assembly.BodyAssembly
    _stop_at: float = 0.0

    def begin(self, now: float) -> None:
        """Start the shutdown; repeated calls have no effect."""
        if self.ctx.stopping:
            return
        self.ctx.stopping = True
        self._stop_at = now
        exit_at = now + self.ctx.limits.grace_s - EXIT_MARGIN_S
        self.outbound.last_send_at = exit_at - WITHDRAWAL_MARGIN_S
        self.ctx.note(
            "stop", outcome="asked", calls=len(self.outbound.requests.by_conn)
        )
        self.ctx.set_timer(now + CHECK_INTERVAL_S, ShutdownTimer())

    def check(self, now: float) -> None:
        """Carry out the steps of the shutdown that are due."""
        since_s = now - self._stop_at
        if since_s >= INBOUND_CLOSE_DELAY_S and not self.inbound.stopping:
            self.inbound.stop(now)
            self.body_assembly.check(now)
            self.ctx.emit(effects.DisableKeepAlive())
        self.outbound.stopping = since_s >= MIN_SHUTDOWN_S
        self._withdraw_queued(now)
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
        self.outbound.exit_reached(now)
        flush_s = self.ctx.limits.grace_s - TEARDOWN_S - since_s
        self.ctx.emit(effects.Exit(flush_s=max(0.0, flush_s)))

    def _withdraw_queued(self, now: float) -> None:
        """Withdraw the requests that, if queued, would not end before the exit."""
        for req in list(self.outbound.requests.by_number.values()):
            mean_s = self.outbound.attempts.service_time_s(req)
            mean_s = mean_s or UNKNOWN_SERVICE_TIME_S
            if now + SERVICE_TIME_FACTOR * mean_s >= self.outbound.last_send_at:
                self.outbound.attempts.withdraw(now, req)
