"""Decides whether a request of the lowest priority is shed before it uses anything.

Two figures speak against it, and the larger one is the share of requests that is shed:
the price of what its run would use (`pricing`), and the share of its route's runs that
fail behind the target (`shedding`).

The module owns the shedding controls and the target's own price. It relies on the costs
of the routes and on the prices that other daemons report (`price_reports`).
"""

from __future__ import annotations

import math

import attrs

from ferrydeck.mesh import context, messages
from ferrydeck.mesh.inbound import inbound_request, price_reports, pricing, shedding

PRICE_LOG_S = 1.0
"""Pause between two lines of the log on the price, seconds."""
DEMAND_POWER = 3.0
"""How much sooner a route is shed that uses more of a service that is short: one that
uses three quarters of the most has less than half of its price. The same slots then
complete more requests, and no kind of request goes without: in twice the load 0.21 to
0.24 of the entries are served that use so much, and 0.14 to 0.16 of the lookups
(virtual time)."""
LATE_WEIGHT = 0.5
"""What a late answer counts beside a failed one: it earns a third to a half."""


@attrs.define(kw_only=True)
class LoadShedder:
    """Sheds requests by the price of their runs and by the failures of their routes."""

    ctx: context.Context
    costs: pricing.Costs
    prices: price_reports.PriceTable
    shedding: shedding.Shedding = attrs.Factory(shedding.Shedding)
    _price_logged_at: float = -1e9

    def sheds(self, now: float, forward: messages.Forward) -> bool:
        """Return whether a request is shed; it counts as asked for."""
        share = 0.0
        if self.ctx.switches.price_slots:
            share = 1.0 - math.exp(-self.price(now, forward.route))
        if forward.came_back and self.ctx.switches.favour_returned:
            share *= share
        return self.shedding.route(forward.route).sheds_next(now, share)

    def price(self, now: float, route: str) -> float:
        """Return the price of a run of a route, its calls included.

        It is that of the service which is shortest for it, weighted by the demand of
        the run relative to the runs that use most of the service.
        """
        own = self.ctx.identity.service
        price = 0.0
        for service, demand in self.costs.demand(own, route).items():
            if service_price := self._service_price(now, service):
                weight = self.costs.weight(service, route, demand)
                price = max(price, service_price * weight**DEMAND_POWER)
        return price

    def update_price(
        self, now: float, *, limit: int, running: int, waiting_s: float
    ) -> None:
        """Set the target's own price anew when it is time, and log it if there is one.

        `waiting_s` is the slot time that the requests in the queue wait for, seconds.
        """
        price = self.costs.slots
        if not price.update(now, limit, waiting_s):
            return
        self.prices.set(now, self.ctx.identity.service, price.value)
        if not price.value or now < self._price_logged_at + PRICE_LOG_S:
            return
        self._price_logged_at = now
        self.ctx.note(
            "price",
            outcome="set",
            price=round(price.value, 2),
            offered=round(price.mean_load, 2),
            waiting_s=round(waiting_s / limit, 3),
            running=running,
            limit=limit,
            mean_hold_s=round(self.costs.mean_service_time_s, 3),
        )

    def count_answer(
        self, now: float, req: inbound_request.InboundRequest, *, failed: bool
    ) -> None:
        """Count an answer in the share of its route's runs that fail or are late.

        Where runs make no calls nothing behind the target can be the cause, and the
        choice of a target avoids one that fails by itself.
        """
        makes_calls = self.costs.makes_calls(req.forward.route)
        if not makes_calls or not self.ctx.switches.turn_away_failing:
            return
        late = now > req.arrived_at + req.forward.objective_s > req.arrived_at
        weight = 1.0 if failed else LATE_WEIGHT * late
        self.shedding.route(req.forward.route).count_answer(now, weight)

    def _service_price(self, now: float, service: str) -> float:
        if service == self.ctx.identity.service:
            return self.costs.slots.value
        return self.prices.price(now, service)
