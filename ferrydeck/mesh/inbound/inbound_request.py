"""A request on the inbound side, from its arrival to the end of its run.

The tables that hold it are in `runs` and `request_queue`; the outbound side of this box
notes the calls that its run makes.
"""

from __future__ import annotations

import collections

import attrs

from ferrydeck.mesh import messages


@attrs.define(kw_only=True, eq=False)
class InboundRequest:
    """A request for the target of this box."""

    dispatch: int
    """Number of its run, unique in this process."""
    link: int
    """Number of the link that it came on."""
    forward: messages.Forward
    arrived_at: float
    deadline: float
    """When the caller stops waiting, on this daemon's clock."""
    start_by: float
    """When it is rejected if it has not been started."""
    started_at: float = 0.0
    streaming: bool = False
    """Whether the first part of a long answer was sent."""
    calls: int = 0
    """Calls of its run that have ended."""
    expected_calls: float = 0.0
    """Calls that runs of its route make, as far as known; 0 for none."""
    call_priority: int = attrs.field(init=False)
    """The priority that its calls have."""
    open_calls: int = 0
    """Calls of its run that have not ended."""
    resumed_at: float = 0.0
    """When its run was started, or when the last of its calls ended."""
    answered_calls: collections.Counter[str] = attrs.Factory(collections.Counter)
    """Calls of its run that were answered, by route."""

    def __attrs_post_init__(self) -> None:
        self.call_priority = self.priority

    def call_started(self, priority: int) -> None:
        """Note that its run makes a call, which may have a higher priority."""
        self.open_calls += 1
        self.call_priority = min(self.call_priority, priority)

    def call_ended(self, now: float) -> None:
        """Note that a call of its run has ended."""
        self.calls += 1
        self.open_calls -= 1
        self.resumed_at = now

    @property
    def team(self) -> str:
        """The team whose request it is; empty for none."""
        return self.forward.team_name

    @property
    def priority(self) -> int:
        """Its place in the order of shedding; 0 is shed last."""
        return self.forward.priority
