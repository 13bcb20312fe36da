"""A request at the gate of a server, from its arrival to its end there."""

from __future__ import annotations

import attrs

from ferrydeck.mesh import messages


@attrs.define(kw_only=True, eq=False)
class Job:
    """A request at the gate."""

    dispatch: int
    link: int
    forward: messages.Forward
    arrived: float
    deadline: float
    """When the caller waits no longer, on this daemon's clock."""
    wait_until: float
    """When it is refused if it has not been started."""
    started: float = 0.0
    streaming: bool = False
    calls: int = 0
    """Calls of its run that have ended."""
    price: float = 0.0
    """What these cost."""

    @property
    def rank(self) -> int:
        """Return its rank in the order of shedding."""
        return self.forward.priority
