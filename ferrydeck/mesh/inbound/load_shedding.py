"""Load shedding: decides whether a request of the lowest priority is shed on arrival.

The shed ratio of a route is the larger one of two: by the price of the resources that
a run would use (`pricing`), and by the failures of its calls (`route_shedding`).

Owns the control of each route. Relies on route costs and on reported prices.
"""

from __future__ import annotations

import math

import attrs

from ferrydeck.mesh import context, messages
from ferrydeck.mesh.inbound import (
    inbound_request,
    price_reports,
    pricing,
    route_shedding,
)

PRICE_LOG_INTERVAL_S = 1.0
"""Minimum interval between log lines of the price, seconds."""
DEMAND_EXPONENT = 3.0
"""Exponent of the relative demand in the price of a route. Above 1, expensive routes
are shed much earlier than cheap ones, so that more requests complete. A route that uses
three quarters of the most has less than half of its price, so that no kind of request
is shed completely."""
LATE_ANSWER_WEIGHT = 0.5
"""Weight of a late answer, relative to a failed one."""


@attrs.define(kw_only=True)
class LoadShedder:
    """Sheds requests by the price and by the failure ratio of their routes."""

    ctx: context.Context
    costs: pricing.Costs
    prices: price_reports.PriceTable
    routes: route_shedding.RouteTable = attrs.Factory(route_shedding.RouteTable)
    _price_logged_at: float = -1e9

    def should_shed(self, now: float, forward: messages.Forward) -> bool:
        """Return whether a request is shed, and count it."""
        ratio = 0.0
        if self.ctx.switches.price_slots:
            ratio = 1.0 - math.exp(-self.price(now, forward.route))
        if forward.caller_retry and self.ctx.switches.favour_returned:
            ratio *= ratio
        return self.routes.route(forward.route).shed_next(now, ratio)

    def price(self, now: float, route: str) -> float:
        """Return the price of a run of a route, including its calls.

        It is the highest price of a service that the run uses, weighted by the demand
        of the run relative to the most expensive route.
        """
        local = self.ctx.identity.service
        price = 0.0
        for service, demand in self.costs.demand(local, route).items():
            if service_price := self._service_price(now, service):
                weight = self.costs.relative_demand(service, route, demand)
                price = max(price, service_price * weight**DEMAND_EXPONENT)
        return price

    def update_price(
        self, now: float, *, limit: float, running: int, waiting_s: float
    ) -> None:
        """Update the price of the local target if it is due, and log a price above 0.

        `waiting_s` is the slot time of the queued requests, seconds.
        """
        price = self.costs.slot_price
        if not price.update(now, limit, waiting_s):
            return
        self.prices.set(now, self.ctx.identity.service, price.value)
        if not price.value or now < self._price_logged_at + PRICE_LOG_INTERVAL_S:
            return
        self._price_logged_at = now
        self.ctx.note(
            "price",
            outcome="set",
            price=round(price.value, 2),
            offered=round(price.mean_load, 2),
            waiting_s=round(waiting_s / limit, 3),
            running=running,
            limit=round(limit, 2),
            mean_hold_s=round(self.costs.mean_service_time_s, 3),
        )

    def count_answer(
        self, now: float, req: inbound_request.InboundRequest, *, failed: bool
    ) -> None:
        """Count an answer in the failure ratio of its route; a late one counts in part.

        Routes without calls are not counted, since their failures are those of the
        target itself, which load balancing avoids.
        """
        makes_calls = self.costs.makes_calls(req.forward.route)
        if not makes_calls or not self.ctx.switches.turn_away_failing:
            return
        late = now > req.arrived_at + req.forward.objective_s > req.arrived_at
        weight = 1.0 if failed else LATE_ANSWER_WEIGHT * late
        self.routes.route(req.forward.route).count_answer(now, weight)

    def _service_price(self, now: float, service: str) -> float:
        if service == self.ctx.identity.service:
            return self.costs.slot_price.value
        return self.prices.price(now, service)
