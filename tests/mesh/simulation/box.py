"""State of a simulated box: the core of its daemon and its target."""

from __future__ import annotations

import attrs
import simpy

from ferrydeck.mesh import core


@attrs.define(kw_only=True, frozen=True)
class Calls:
    """Calls that each run of a route makes, one after the other."""

    of: str
    """Path prefix of the runs that make the calls."""
    path: str
    times: int
    deadline_s: float
    """Timeout of a call, which also ends with its run, seconds."""


@attrs.define(kw_only=True)
class Target:
    """The target on a box."""

    target_id: str
    service: str
    started_ms: int = 0
    """Start time, milliseconds; 0 for a target that does not report it."""
    slots: int = 8
    work_s: float = 0.05
    work_s_by_prefix: tuple[tuple[str, float], ...] = ()
    """Path prefixes with a different service time, in seconds."""
    up: bool = True
    draining: bool = False
    health: bool | None = None
    """Result of a false health check; `None` for a correct one."""
    answer_parts: int = 0
    """Parts of its answers that are read by credit, after the first; 0 for none."""
    loses_answers: bool = False
    sheds: bool = False
    shed_ratio: float = 0.0
    fails: bool = False
    says_leaving: bool = False
    """Whether its answers state that it leaves, whatever its heartbeats state."""
    rate_limit: float | None = None
    """Requests a second that it states to accept; `None` for no limit."""
    calls: tuple[Calls, ...] = ()
    lethal: tuple[str, ...] = ()
    """Path prefixes of requests that crash the target."""
    down_s: float = 1.0
    """Restart time after such a crash, seconds."""
    reuse_id: bool = False
    """Whether it restarts under the same id."""
    crashes: int = 0
    """Number of crashes of all its incarnations."""
    running: dict[int, simpy.Event] = attrs.Factory(dict)
    parts_left: dict[int, int] = attrs.Factory(dict)
    """Unread parts of its answers, by dispatch number."""

    @property
    def leaving(self) -> bool:
        """Whether its answers state that it leaves."""
        return self.draining or self.says_leaving

    def service_time_s(self, path: str) -> float:
        """Return the mean service time of a run without its calls, seconds."""
        return next(
            (s for of, s in self.work_s_by_prefix if path.startswith(of)), self.work_s
        )


@attrs.define(kw_only=True)
class Box:
    """A daemon and its target."""

    name: str
    data_centre: str
    address: str
    core: core.Core
    target: Target
    up: bool = True
    frozen_until: float = 0.0
    outgoing_links: dict[str, int] = attrs.Factory(dict)
    """Link numbers at the other side, by address of the other box."""
    incoming_links: dict[int, str] = attrs.Factory(dict)
    """Addresses of the connected boxes, by link number."""
    wake_at: float | None = None
    sequence: int = 0
    incarnation: int = 0
    """Increases with each start of the daemon."""
    clock_offset_s: float = 0.0
    """Offset of its clock from simulated time, seconds."""
