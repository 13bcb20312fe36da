"""What a daemon makes of a request that begins on its box, before it is sent.

Owns the longest time that callers of each route state, and the traffic splits; relies
on the inbound side to find the run that a call belongs to.
"""

from __future__ import annotations

import attrs

from ferrydeck.mesh import context, events, policy
from ferrydeck.mesh.inbound import inbound, inbound_request
from ferrydeck.mesh.outbound import outbound_request, traffic_split
from ferrydeck.mesh.teams import keys

CAME_BACK_S = 0.3
"""A caller that states this much less than the most that callers of the route state
has waited before, seconds: no rejection lets callers return sooner."""


@attrs.define(kw_only=True)
class RequestBuilder:
    """Finds a request's service, priority, parent run and time of use."""

    ctx: context.Context
    inbound: inbound.Inbound
    splits: traffic_split.TrafficSplits = attrs.Factory(traffic_split.TrafficSplits)
    stated_s: dict[str, float] = attrs.Factory(dict)
    """The longest time that a caller of each route said it waits, seconds."""

    def make(
        self,
        now: float,
        request: events.RequestReceived,
        route: policy.Route,
        team: keys.Team | None = None,
    ) -> outbound_request.OutboundRequest:
        """Return the outbound request of what a caller sent; `team` is whose it is."""
        held_s = route.timeout_s
        if request.deadline_s is not None:
            held_s = min(held_s, request.deadline_s)
        service = self.splits.service(route, self.ctx.rng.random())
        parent = self._parent(now, request, route)
        waited_s = self._waited_s(route, request) if parent is None else 0.0
        priorities = self.ctx.policy.priorities
        priority = priorities.of(team, route.priority)
        if parent is not None and self.ctx.switches.pass_rank_on:
            priority = priorities.of_call(parent.call_priority, route.priority)
        return outbound_request.OutboundRequest(
            number=self.ctx.number(),
            conn=request.conn,
            route=route,
            service=service,
            received=request,
            started=now,
            deadline=now + held_s,
            late_at=now + route.objective_s - waited_s,
            give_up_at=now
            + self._patience_s(
                now,
                route,
                held_s,
                waited_s,
                parent,
                urgent=priority < priorities.lowest,
            ),
            policy_version=self.ctx.version,
            priority=priority,
            lowest=parent is None and priority >= priorities.lowest,
            parent=parent,
            team=team,
            came_back=waited_s > CAME_BACK_S,
        )

    def _parent(
        self, now: float, request: events.RequestReceived, route: policy.Route
    ) -> inbound_request.InboundRequest | None:
        """Return the run that a request is a call of, `None` for a caller's own."""
        if request.deadline_s is None:
            return None
        match = self.inbound.find_parent(
            now, route.name, request.deadline_s, request.run_id
        )
        if match is None:
            return None
        match.run.call_started(match.priority)
        return match.run

    def _waited_s(self, route: policy.Route, request: events.RequestReceived) -> float:
        """Return how long a caller has waited since its first try, seconds.

        A caller that comes back states what is left of the time that it began with.
        """
        if request.deadline_s is None:
            return 0.0
        most_s = max(self.stated_s.get(route.name, 0.0), request.deadline_s)
        self.stated_s[route.name] = most_s
        return most_s - request.deadline_s

    def _patience_s(
        self,
        now: float,
        route: policy.Route,
        held_s: float,
        waited_s: float,
        parent: inbound_request.InboundRequest | None,
        *,
        urgent: bool,
    ) -> float:
        """Return by when a request is to be served if it is to be of use, seconds.

        The calls of a run come in turn, as far as is seen: each has its part of the
        time that the run has left. An urgent request is of use as long as its caller
        waits; others make room when they would be late, unless they are already.
        """
        if parent is not None:
            known = self.inbound.costs.route(parent.forward.route).calls
            part_s = (parent.deadline - now) / max(1.0, known - parent.calls)
            return min(held_s, part_s)
        in_time_s = route.objective_s - waited_s
        if urgent or in_time_s <= 0:
            return held_s
        return min(in_time_s, held_s)
