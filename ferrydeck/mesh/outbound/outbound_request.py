"""A request that began on this box, from its intake to its final answer.

Owns the state of one request; `outbound` changes it and `retrying` judges it.
"""

from __future__ import annotations

import attrs

from ferrydeck.mesh import context, events, messages, policy
from ferrydeck.mesh.inbound import inbound_request
from ferrydeck.mesh.members import peers
from ferrydeck.mesh.outbound import retrying
from ferrydeck.mesh.teams import keys


@attrs.define(kw_only=True, eq=False)
class OutboundRequest:
    """A request that began on this box and has no final answer yet."""

    number: int
    conn: int
    route: policy.Route
    service: str
    received: events.RequestReceived
    """What its caller sent."""
    started: float
    deadline: float
    give_up_at: float
    """By when it is to be served to be of use; until then a target is looked for."""
    late_at: float
    """From when an answer is late, counted from the caller's first try."""
    tried: set[str] = attrs.Factory(set)
    """Addresses of daemons that it is not sent to now."""
    targets: set[str] = attrs.Factory(set)
    """Addresses of daemons whose targets rejected it, at most the route's attempts."""
    sends: int = 0
    """Daemons that it was sent to."""
    attempts: int = 0
    """Targets that were asked, also those that rejected it."""
    current_attempt: int = 0
    """Number of the attempt that is out; 0 for none."""
    peer: peers.Peer | None = None
    """Where the attempt is; `None` for this box's own target."""
    taken_back: bool = False
    """Whether a daemon has ended its run as that of a suspect."""
    may_have_run: bool = False
    failed: messages.Answer | None = None
    """A target's failure, for the caller if no other target gives an answer."""
    streaming: bool = False
    """Whether its caller has a part of the answer."""
    policy_version: int = 0
    priority: int = 0
    """Place in the order of shedding: its route's, or that of the run it is made
    for."""
    lowest: bool = False
    """Whether it is a caller's own request of the priority that is shed first."""
    parent: inbound_request.InboundRequest | None = None
    """The run at this box's target that it is a call of."""
    came_back: bool = False
    """Whether its caller was rejected before and came back later."""
    team: keys.Team | None = None
    """Whose it is; `None` for a call of a run, and for nobody's in particular."""

    @property
    def request_id(self) -> str:
        """The id that the caller gave."""
        return self.received.request_id

    @property
    def team_name(self) -> str:
        """The name of the team whose it is; empty for none."""
        return "" if self.team is None else self.team.name

    @property
    def retry(self) -> messages.Retry:
        """Whether its arrival at a target counts against the bound on retries."""
        if self.may_have_run:
            return messages.Retry.MAY_HAVE_RUN
        if self.targets:
            return messages.Retry.REJECTED
        if self.parent is not None and self.parent.forward.retry:
            return messages.Retry.CALL
        return messages.Retry.NO

    def take_back(self, address: str) -> None:
        """Let a suspect go to the daemon where all copies of it meet again.

        That may be the one at `address`, which has just ended its run. The run counts
        for no attempt, once: a proper request that ran beside the suspect would have
        none left.
        """
        self.tried.discard(address)
        if self.route.max_attempts > 1 and not self.taken_back:
            self.taken_back = True
            self.attempts -= 1

    def progress(self, now: float) -> retrying.Progress:
        """Return how far it has come."""
        return retrying.Progress(
            now=now,
            started=self.started,
            give_up_at=self.give_up_at,
            deadline=self.deadline,
            retryable=self.route.retryable,
            max_attempts=self.route.max_attempts,
            attempts=self.attempts,
            sends=self.sends,
            may_have_run=self.may_have_run,
            streaming=self.streaming,
            lowest=self.lowest,
        )

    def note(
        self, ctx: context.Context, outcome: str, reason: str, **more: object
    ) -> None:
        """Have a decision about this request logged and counted."""
        ctx.note(
            "request",
            request_id=self.request_id,
            outcome=outcome,
            reason=reason,
            route=self.route.name,
            service=self.service,
            version=self.policy_version,
            team=self.team_name,
            peer=self.peer.box if self.peer is not None else "",
            offered=self.attempts,
            hops=self.sends,
            **more,
        )
