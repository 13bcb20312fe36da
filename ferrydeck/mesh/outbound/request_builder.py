"""Builds the outbound request for a request from a caller on this box.

The inbound side finds the parent of a nested request.
"""

from __future__ import annotations

import attrs

from ferrydeck.mesh import context, events, policy
from ferrydeck.mesh.inbound import inbound, inbound_request
from ferrydeck.mesh.outbound import outbound_request, traffic_split
from ferrydeck.mesh.teams import keys

CALLER_RETRY_S = 0.3
"""A deadline that is shorter than the longest of its route by more than this marks a
caller's retry, seconds. It is the minimum `Retry-After`."""


@attrs.define(kw_only=True)
class RequestBuilder:
    """Determines a request's service, priority, parent and deadlines."""

    ctx: context.Context
    inbound: inbound.Inbound
    splits: traffic_split.TrafficSplits = attrs.Factory(traffic_split.TrafficSplits)
    max_stated_s: dict[str, float] = attrs.Factory(dict)
    """Longest deadline stated by a caller, by route, seconds."""

    def build(
        self,
        now: float,
        request: events.RequestReceived,
        route: policy.Route,
        team: keys.Team | None = None,
    ) -> outbound_request.OutboundRequest:
        """Return the outbound request for a caller's request."""
        timeout_s = route.timeout_s
        if request.deadline_s is not None:
            timeout_s = min(timeout_s, request.deadline_s - request.age_s)
        service = self.splits.next_service(route, self.ctx.rng.random())
        parent = self._parent(now, request, route)
        waited_s = self._waited_s(route, request) if parent is None else 0.0
        priorities = self.ctx.policy.priorities
        priority = priorities.of(team, route.priority)
        if parent is not None and self.ctx.switches.pass_rank_on:
            priority = priorities.of_call(parent.call_priority, route.priority)
        return outbound_request.OutboundRequest(
            number=self.ctx.next_number(),
            conn=request.conn,
            route=route,
            service=service,
            received=request,
            started=now,
            deadline=now + timeout_s,
            objective_at=now + route.objective_s - waited_s,
            give_up_at=now
            + self._useful_s(
                now,
                route,
                timeout_s,
                waited_s,
                parent,
                high_priority=priority < priorities.lowest,
            ),
            policy_version=self.ctx.version,
            priority=priority,
            sheddable=parent is None and priority >= priorities.lowest,
            parent=parent,
            team=team,
            caller_retry=waited_s > CALLER_RETRY_S,
        )

    def _parent(
        self, now: float, request: events.RequestReceived, route: policy.Route
    ) -> inbound_request.InboundRequest | None:
        """Return the parent of a nested request, `None` if it has none."""
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
        """Return the time since a caller's first try, seconds.

        A caller that retries states what is left of its original deadline.
        """
        if request.deadline_s is None:
            return 0.0
        longest_s = max(self.max_stated_s.get(route.name, 0.0), request.deadline_s)
        self.max_stated_s[route.name] = longest_s
        return longest_s - request.deadline_s

    def _useful_s(
        self,
        now: float,
        route: policy.Route,
        timeout_s: float,
        waited_s: float,
        parent: inbound_request.InboundRequest | None,
        *,
        high_priority: bool,
    ) -> float:
        """Return for how long a response would be useful, seconds.

        Nested requests are assumed to be sequential and share their parent's time. If
        the latency objective has passed or priority is high, the timeout applies.
        """
        if parent is not None:
            expected = self.inbound.costs.route(parent.forward.route).calls
            share_s = (parent.deadline - now) / max(1.0, expected - parent.ended_calls)
            return min(timeout_s, share_s)
        objective_left_s = route.objective_s - waited_s
        if high_priority or objective_left_s <= 0:
            return timeout_s
        return min(objective_left_s, timeout_s)
