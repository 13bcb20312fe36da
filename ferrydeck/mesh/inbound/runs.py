"""The admitted requests until they end, and their runs at the target.

Owns the tables of admitted requests by link and number, and of runs by dispatch number
and request id. Relies on the driver to execute each `Dispatch`, and adds ended runs to
the costs of their routes.
"""

from __future__ import annotations

import attrs

from ferrydeck.mesh import context, effects, incarnations
from ferrydeck.mesh.inbound import (
    inbound_request,
    pricing,
    rate_limit,
    retry_budget,
    target_watch,
)
from ferrydeck.mesh.poison import isolation

USED_SLOTS_RATIO = 0.95
"""Fraction of the target's slots that is used: some targets slow down when nearly full,
and new connections and health checks may need slots too."""
DEFAULT_SLOTS = 8
"""Limit of concurrent runs while the slots of the target are unknown."""


@attrs.define(kw_only=True)
class Runs:
    """The requests admitted on this box, and their runs at the target."""

    ctx: context.Context
    target: target_watch.TargetWatch
    costs: pricing.Costs
    retry_budget: retry_budget.RetryBudget
    rate_limit: rate_limit.RateLimit
    isolation: isolation.IsolationQueue
    by_dispatch: dict[int, inbound_request.InboundRequest] = attrs.Factory(dict)
    """The runs at the target by dispatch number, the oldest first."""
    started: int = 0
    """Requests that were sent to the target."""
    answered_at: float = 0.0
    """Time of the target's last complete or partial answer."""
    _admitted: dict[tuple[int, int], inbound_request.InboundRequest] = attrs.Factory(
        dict
    )
    """Running and queued requests, by link and number."""
    _by_request_id: dict[str, inbound_request.InboundRequest] = attrs.Factory(dict)

    def __len__(self) -> int:
        """Return the number of requests that run at the target."""
        return len(self.by_dispatch)

    @property
    def limit(self) -> int:
        """Maximum number of concurrent runs."""
        slots = self.target.slots
        return max(1, int(USED_SLOTS_RATIO * slots)) if slots else DEFAULT_SLOTS

    @property
    def capacity(self) -> float:
        """Concurrent runs that the slots and the rate limit of the target sustain."""
        return self.rate_limit.capacity(self.limit, self.costs.mean_service_time_s)

    @property
    def has_free_slot(self) -> bool:
        """Whether a slot of the target is free."""
        return len(self.by_dispatch) < self.limit

    def may_start(self, now: float) -> bool:
        """Return whether another request may run."""
        return self.has_free_slot and self.rate_limit.may_start(now)

    def admit(self, req: inbound_request.InboundRequest) -> None:
        """Add a request that will run or be queued."""
        self._admitted[req.link, req.forward.number] = req

    def admitted(self, link: int, number: int) -> inbound_request.InboundRequest | None:
        """Return the request with a number on a link; `None` if it has ended."""
        return self._admitted.get((link, number))

    def numbers_on_link(self, link: int) -> list[int]:
        """Return the numbers of the unfinished requests of a link."""
        return [number for its_link, number in self._admitted if its_link == link]

    def forget(self, req: inbound_request.InboundRequest) -> None:
        """Remove a request that has ended or will not run."""
        self._admitted.pop((req.link, req.forward.number), None)

    def find(self, request_id: str) -> inbound_request.InboundRequest | None:
        """Return the run with a request id; `None` if unknown."""
        return self._by_request_id.get(request_id)

    def silent_s(self, now: float) -> float:
        """Return how long the target has had runs without answering any, seconds."""
        if not self.by_dispatch:
            return 0.0
        oldest = next(iter(self.by_dispatch.values()))
        return now - max(oldest.started_at, self.answered_at)

    def resumed(self, now: float, pause_s: float) -> None:
        """Count no time as silence of the target in which this process was paused."""
        self.answered_at = now
        for run in self.by_dispatch.values():
            run.progress_at += pause_s

    def oldest_run_s(self, now: float) -> float:
        """Return the age of the oldest run, seconds; 0 without runs."""
        oldest = next(iter(self.by_dispatch.values()), None)
        return 0.0 if oldest is None else now - oldest.started_at

    def start(self, now: float, req: inbound_request.InboundRequest) -> None:
        """Send a request to the target."""
        req.started_at = now
        req.resumed_at = now
        forward = req.forward
        req.expected_calls = self.costs.expected_calls(forward.route)
        self.retry_budget.count_dispatch(now)
        self.started += 1
        self.rate_limit.count_start(now)
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
                target_id=incarnations.target_id_of(forward.incarnation),
                caller=forward.caller,
                team=req.team,
                left_s=req.deadline - now,
            )
        )

    def end(
        self, now: float, req: inbound_request.InboundRequest, *, full: bool = False
    ) -> None:
        """End a run and free its slot; `full` if it made all of its calls."""
        self.by_dispatch.pop(req.dispatch, None)
        self.isolation.run_ended(req.dispatch)
        if self._by_request_id.get(req.forward.request_id) is req:
            del self._by_request_id[req.forward.request_id]
        self.forget(req)
        self.costs.count_run(
            req.forward.route,
            service_time_s=now - req.started_at,
            calls=req.ended_calls,
            callees=req.answered_calls,
            full=full,
        )
