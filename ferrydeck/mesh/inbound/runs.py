"""The requests that were admitted here, until they end, and those that run.

Owns the table of admitted requests by link and number, and of runs by dispatch and by
request id. Relies on the driver to carry out each `Dispatch`, and feeds what a run has
used into the costs of its route.
"""

from __future__ import annotations

import attrs

from ferrydeck.mesh import context, effects, incarnations
from ferrydeck.mesh.inbound import (
    inbound_request,
    pricing,
    retry_budget,
    target_watch,
)
from ferrydeck.mesh.poison import isolation

USED_SLOTS = 0.95
"""Part of its slots that a target is given: some become slower when nearly full, and a
new connection or a health check may hold a slot too."""
UNKNOWN_SLOTS = 8
"""Requests that run at once while the slots of the target are not known."""


@attrs.define(kw_only=True)
class Runs:
    """The requests admitted on this box, and their runs at the target."""

    ctx: context.Context
    target: target_watch.TargetWatch
    costs: pricing.Costs
    retry_budget: retry_budget.RetryBudget
    isolation: isolation.IsolationQueue
    by_dispatch: dict[int, inbound_request.InboundRequest] = attrs.Factory(dict)
    """The runs at the target, the oldest first."""
    answered_at: float = 0.0
    """When the target last answered a run, in part or whole."""
    _admitted: dict[tuple[int, int], inbound_request.InboundRequest] = attrs.Factory(
        dict
    )
    """Requests that run or wait, by link and number."""
    _by_request_id: dict[str, inbound_request.InboundRequest] = attrs.Factory(dict)

    def __len__(self) -> int:
        """Return how many requests run at the target."""
        return len(self.by_dispatch)

    @property
    def limit(self) -> int:
        """Requests that may run at once."""
        slots = self.target.slots
        return max(1, int(USED_SLOTS * slots)) if slots else UNKNOWN_SLOTS

    @property
    def has_room(self) -> bool:
        """Whether one more request may run."""
        return len(self.by_dispatch) < self.limit

    def admit(self, req: inbound_request.InboundRequest) -> None:
        """Remember a request that will run, or wait until it may."""
        self._admitted[req.link, req.forward.number] = req

    def admitted(self, link: int, number: int) -> inbound_request.InboundRequest | None:
        """Return the request of a number on a link; `None` if it has ended."""
        return self._admitted.get((link, number))

    def numbers_of(self, link: int) -> list[int]:
        """Return the numbers of the requests of a link that have not ended."""
        return [number for at, number in self._admitted if at == link]

    def forget(self, req: inbound_request.InboundRequest) -> None:
        """Forget a request that will not run."""
        self._admitted.pop((req.link, req.forward.number), None)

    def find(self, request_id: str) -> inbound_request.InboundRequest | None:
        """Return the run of a request id; `None` if there is none here."""
        return self._by_request_id.get(request_id)

    def silent_s(self, now: float) -> float:
        """Return how long the target has runs and has answered nothing, seconds."""
        if not self.by_dispatch:
            return 0.0
        oldest = next(iter(self.by_dispatch.values()))
        return now - max(oldest.started_at, self.answered_at)

    def start(self, now: float, req: inbound_request.InboundRequest) -> None:
        """Send a request to the target."""
        req.started_at = now
        req.resumed_at = now
        forward = req.forward
        req.expected_calls = self.costs.expected_calls(forward.route)
        self.retry_budget.count_dispatch(now)
        self.by_dispatch[req.dispatch] = req
        self._by_request_id[forward.request_id] = req
        self.ctx.emit(
            effects.Dispatch(
                dispatch=req.dispatch,
                method=forward.method,
                path=forward.path,
                fields=forward.fields,
                body=forward.body,
                request_id=forward.request_id,
                target_id=incarnations.id_of(forward.incarnation),
                caller=forward.caller,
                team=req.team,
                left_s=req.deadline - now,
            )
        )

    def end(
        self, now: float, req: inbound_request.InboundRequest, *, whole: bool = False
    ) -> None:
        """Free the slot of a run; `whole` if it made all of its calls."""
        self.by_dispatch.pop(req.dispatch, None)
        self.isolation.run_ended(req.dispatch)
        if self._by_request_id.get(req.forward.request_id) is req:
            del self._by_request_id[req.forward.request_id]
        self.forget(req)
        self.costs.count_run(
            req.forward.route,
            service_time_s=now - req.started_at,
            calls=req.calls,
            calls_by_route=req.answered_calls,
            whole=whole,
        )
