"""State shared by the components of a daemon's core.

Owns the active policy, the timers and the effects that the driver has not collected
yet. Reads no clock: callers pass the time.
"""

from __future__ import annotations

import heapq
import random
from typing import Any

import attrs

from ferrydeck.mesh import effects, messages, policy, switches


@attrs.define(kw_only=True, frozen=True)
class Identity:
    """Identity of a daemon."""

    box: str
    incarnation: int
    """Increases with each start of the daemon on its box."""
    address: str
    """Host and port at which it accepts links."""
    data_centre: str
    service: str
    """Service of the target on this box."""
    target_address: str
    """Host and port at which the target accepts requests."""


@attrs.define(kw_only=True, frozen=True)
class Limits:
    """Limits agreed for a deployment."""

    retry_ratio: float = 0.2
    """Retries per request of a service, over all its targets."""
    retry_slack: float = 48.0
    """Retries per window in excess of that ratio, over all its targets."""
    retry_window_s: float = 10.0
    """Length of the window in which retries are counted, seconds."""
    grace_s: float = 6.0
    """Time from the shutdown signal until the process is killed, seconds."""
    heartbeat_s: float = 1.5
    """Interval between heartbeats of a target, seconds."""
    quota_window_s: float = 5.0
    """Length of the window for the rate and burst of a team, seconds."""
    revoke_s: float | None = None
    """Longest time until a revoked key is rejected everywhere, seconds; `None` if there
    is no limit."""


@attrs.define(kw_only=True)
class Context:
    """State shared by the components of one daemon's core."""

    identity: Identity
    rng: random.Random
    limits: Limits = Limits()
    switches: switches.Switches = switches.Switches()
    policy: policy.Policy | None = None
    stopping: bool = False
    pending_effects: list[effects.Effect] = attrs.Factory(list)
    _timers: list[tuple[float, int, Any]] = attrs.Factory(list)
    _last: int = 0

    @property
    def version(self) -> int:
        """Version of the active policy; 0 if none."""
        return self.policy.version if self.policy is not None else 0

    def next_number(self) -> int:
        """Return a number that is unique in this process."""
        self._last += 1
        return self._last

    def emit(self, effect: effects.Effect) -> None:
        """Queue an effect for the driver."""
        self.pending_effects.append(effect)

    def send(self, address: str, message: messages.AnyMessage) -> None:
        """Send a message on the outgoing link to a daemon."""
        self.pending_effects.append(
            effects.SendOutgoing(address=address, message=message)
        )

    def note(
        self,
        kind: str,
        *,
        request_id: str = "",
        outcome: str = "",
        reason: str = "",
        **inputs: object,
    ) -> None:
        """Log and count a decision."""
        self.pending_effects.append(
            effects.Decision(
                kind=kind,
                request_id=request_id,
                outcome=outcome,
                reason=reason,
                inputs=inputs,
            )
        )

    def set_timer(self, when: float, timer: Any) -> None:
        """Schedule `timer` for `when`; its handler must ignore an outdated one."""
        heapq.heappush(self._timers, (when, self.next_number(), timer))

    def pop_due_timer(self, now: float) -> Any | None:
        """Remove and return the next due timer, or return `None`."""
        if not self._timers or self._timers[0][0] > now:
            return None
        return heapq.heappop(self._timers)[2]

    def next_wake(self) -> float | None:
        """Return the time of the next timer, or `None` if there is none."""
        return self._timers[0][0] if self._timers else None
