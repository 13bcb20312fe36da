"""A request on the inbound side, from its arrival to the end of its run.

`runs` and `request_queue` hold these requests. The outbound side of this daemon records
the calls that their runs make.
"""

from __future__ import annotations

import collections

import attrs

from ferrydeck.mesh import messages


@attrs.define(kw_only=True, eq=False)
class InboundRequest:
    """A request for the local target."""

    dispatch: int
    """Number of its run, unique in this process."""
    link: int
    """Number of the link on which it was received."""
    forward: messages.Forward
    arrived_at: float
    deadline: float
    """Deadline of the caller, on this daemon's clock."""
    start_by: float
    """Time after which it is rejected if it has not been started."""
    started_at: float = 0.0
    streaming: bool = False
    """Whether its answer is being read in parts."""
    unbounded: bool = False
    """Whether its streamed answer may have no end, as its length is unknown."""
    progress_at: float = 0.0
    """When a part of a streamed answer was last read, or credit for it granted."""
    abandoned: bool = False
    """Whether its caller is gone while it runs, so that nobody gets its answer."""
    ended_calls: int = 0
    """Number of ended calls of its run."""
    expected_calls: float = 0.0
    """Calls per run of its route; 0 while unknown."""
    call_priority: int = attrs.field(init=False)
    """Priority of its calls."""
    open_calls: int = 0
    """Number of calls of its run that have not ended."""
    resumed_at: float = 0.0
    """Time of the start of its run or of the end of its last call."""
    answered_calls: collections.Counter[str] = attrs.Factory(collections.Counter)
    """Answered calls of its run, by route."""

    def __attrs_post_init__(self) -> None:
        self.call_priority = self.priority

    def call_started(self, priority: int) -> None:
        """Record the start of a call, which may raise the priority of further calls."""
        self.open_calls += 1
        self.call_priority = min(self.call_priority, priority)

    def call_ended(self, now: float) -> None:
        """Record the end of a call."""
        self.ended_calls += 1
        self.open_calls -= 1
        self.resumed_at = now

    @property
    def team(self) -> str:
        """Name of the team that sent it; empty for none."""
        return self.forward.team_name

    @property
    def priority(self) -> int:
        """Shedding priority; 0 is shed last."""
        return self.forward.priority
