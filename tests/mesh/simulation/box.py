"""The state of a simulated box: its daemon's core, and the target beside it."""

from __future__ import annotations

import attrs
import simpy

from ferrydeck.mesh import core


@attrs.define(kw_only=True, frozen=True)
class Calls:
    """The calls that each run of a route makes, in turn."""

    of: str
    """Prefix of the paths whose runs make them."""
    path: str
    times: int
    deadline_s: float
    """How long a call waits at most; it also ends with its run, seconds."""


@attrs.define(kw_only=True)
class Target:
    """The target beside a daemon."""

    target_id: str
    service: str
    started_ms: int = 0
    """When it was born, milliseconds; 0 for one that does not report it."""
    slots: int = 8
    work_s: float = 0.05
    work_s_by_prefix: tuple[tuple[str, float], ...] = ()
    """Prefixes of paths whose runs take another time, with that time in seconds."""
    up: bool = True
    leaving: bool = False
    health: bool | None = None
    """What its health check says, where it is wrong; `None` where it is right."""
    loses_answers: bool = False
    sheds: bool = False
    shed_ratio: float = 0.0
    fails: bool = False
    calls: tuple[Calls, ...] = ()
    lethal: tuple[str, ...] = ()
    """Prefixes of paths whose runs crash the target in place of an answer."""
    down_s: float = 1.0
    """How long it is away when such a run has crashed it, seconds."""
    reuse_id: bool = False
    """Whether it starts again under its id."""
    crashes: int = 0
    """How often its incarnations have crashed."""
    running: dict[int, simpy.Event] = attrs.Factory(dict)

    def service_time_s(self, path: str) -> float:
        """Return how long a run takes at the mean, its calls not counted, seconds."""
        return next(
            (s for of, s in self.work_s_by_prefix if path.startswith(of)), self.work_s
        )


@attrs.define(kw_only=True)
class Box:
    """A daemon with the target beside it."""

    name: str
    data_centre: str
    address: str
    core: core.Core
    target: Target
    up: bool = True
    frozen_until: float = 0.0
    outgoing_links: dict[str, int] = attrs.Factory(dict)
    """Numbers, at the other side, of the links that this box dialled, by address."""
    incoming_links: dict[int, str] = attrs.Factory(dict)
    """Addresses of the boxes that dialled this one, by number of the link."""
    wake_at: float | None = None
    sequence: int = 0
    incarnation: int = 0
    """Rises with each start of the daemon."""
    clock_offset_s: float = 0.0
    """How far its clock is ahead of the world's, seconds: boxes' clocks differ."""
