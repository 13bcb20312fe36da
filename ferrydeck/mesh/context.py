"""What the parts of a daemon's core share.

Owns the policy in force, the timers and the effects that are not yet handed to the
driver. It reads no clock: each part is given the time.
"""

from __future__ import annotations

import heapq
import random
from typing import Any

import attrs

from ferrydeck.mesh import effects, messages, policy, switches


@attrs.define(kw_only=True, frozen=True)
class Identity:
    """Who this daemon is."""

    box: str
    incarnation: int
    """Grows with each start of the daemon on its box."""
    address: str
    """Where it takes links, host and port."""
    data_centre: str
    service: str
    """The service of this box's target."""
    target_address: str
    """Where the target takes requests, host and port."""


@attrs.define(kw_only=True, frozen=True)
class Limits:
    """What was agreed for a deployment."""

    retry_ratio: float = 0.2
    """Retries for each request of a service, over all its targets."""
    retry_slack: float = 48.0
    """Retries in a window beyond that ratio, over all its targets."""
    retry_window_s: float = 10.0
    """The window in which retries are counted, seconds."""
    grace_s: float = 6.0
    """From the signal to stop until the process is killed, seconds."""
    heartbeat_s: float = 1.5
    """Pause between a target's heartbeats, seconds."""
    quota_window_s: float = 5.0
    """The window in which a team's rate and burst are counted, seconds."""
    revoke_s: float | None = None
    """From when a key is taken away until it runs nothing anywhere, seconds; `None`
    where nothing was agreed."""


@attrs.define(kw_only=True)
class Context:
    """Shared by the parts of one daemon's core."""

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
        """The version of the policy in force; 0 for none."""
        return self.policy.version if self.policy is not None else 0

    def next_number(self) -> int:
        """Return a number that this process has not used before."""
        self._last += 1
        return self._last

    def emit(self, effect: effects.Effect) -> None:
        """Ask for an effect."""
        self.pending_effects.append(effect)

    def send(self, address: str, message: messages.AnyMessage) -> None:
        """Send a message on the link to a daemon."""
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
        """Have a decision logged and counted."""
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
        """Have `timer` handled at `when`; its handler ignores a stale one."""
        heapq.heappush(self._timers, (when, self.next_number(), timer))

    def pop_due_timer(self, now: float) -> Any | None:
        """Remove and return a timer that is due, or return `None`."""
        if not self._timers or self._timers[0][0] > now:
            return None
        return heapq.heappop(self._timers)[2]

    def next_wake(self) -> float | None:
        """Return the time of the next timer, or `None`."""
        return self._timers[0][0] if self._timers else None
