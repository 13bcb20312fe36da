"""State of a request from a caller on this box, until its final response.

`outbound` updates the state; `retrying` makes decisions from it.
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
    """A request from a caller on this box without a final response yet."""

    number: int
    conn: int
    route: policy.Route
    service: str
    received: events.RequestReceived
    """The event with the request as its caller sent it."""
    started: float
    deadline: float
    give_up_at: float
    """When a response stops being useful and the search for a target ends."""
    objective_at: float
    """When the latency objective is missed, counted from the caller's first try."""
    tried: set[str] = attrs.Factory(set)
    """Addresses of daemons that are excluded from the next attempt."""
    rejected_by: set[str] = attrs.Factory(set)
    """Addresses of daemons whose targets rejected it, at most the route's attempts."""
    sends: int = 0
    """Number of daemons it was sent to."""
    attempts: int = 0
    """Number of targets it was offered to, including those that rejected it."""
    current_attempt: int = 0
    """Number of the attempt in progress; 0 for none."""
    body_pending: bool = False
    """Whether the target's daemon still lacks a part of the body, so that the current
    attempt cannot run."""
    withdrawn_attempt: int = 0
    """Number of the last attempt that was withdrawn; 0 for none."""
    peer: peers.Peer | None = None
    """Where the current attempt is; `None` for this box's own target."""
    retried_as_suspect: bool = False
    """Whether a run was cancelled because the request is suspected to crash targets."""
    may_have_run: bool = False
    failed_answer: messages.Answer | None = None
    """A target's error response, returned if no other target responds."""
    streaming: bool = False
    """Whether the caller has received part of the response."""
    policy_version: int = 0
    priority: int = 0
    """Priority for load shedding, from its route or its parent; 0 is shed last."""
    sheddable: bool = False
    """Whether it has the priority that is shed first and no parent request."""
    parent: inbound_request.InboundRequest | None = None
    """The request that this box's target was running when it made this one."""
    caller_retry: bool = False
    """Whether it is a caller's retry after an earlier rejection."""
    team: keys.Team | None = None
    """Team it belongs to; `None` for nested requests and those without a team."""

    @property
    def request_id(self) -> str:
        """Request id set by the caller."""
        return self.received.request_id

    @property
    def team_name(self) -> str:
        """Name of its team; empty for none."""
        return "" if self.team is None else self.team.name

    @property
    def retry_kind(self) -> messages.Retry:
        """The kind of retry that it counts as in the retry budget of a target."""
        if self.may_have_run:
            return messages.Retry.MAY_HAVE_RUN
        if self.rejected_by:
            return messages.Retry.REJECTED
        if self.parent is not None and self.parent.forward.retry:
            return messages.Retry.CALL
        return messages.Retry.NO

    def retry_as_suspect(self, address: str) -> None:
        """Allow a retry at `address`, whose daemon cancelled the run of a suspect.

        All copies of a suspect go to one daemon, which may be that one. The cancelled
        run counts as no attempt once, so that harmless suspects can be retried.
        """
        self.tried.discard(address)
        if self.route.max_attempts > 1 and not self.retried_as_suspect:
            self.retried_as_suspect = True
            self.attempts -= 1

    def progress(self, now: float) -> retrying.Progress:
        """Return the state that retry decisions depend on."""
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
            sheddable=self.sheddable,
        )

    def log(
        self, ctx: context.Context, outcome: str, reason: str, **more: object
    ) -> None:
        """Log and count a decision about this request."""
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
