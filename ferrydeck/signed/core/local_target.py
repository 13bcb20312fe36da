"""The target beside this daemon: its admission control and its load reports.

Admission control is rebuilt when a bundle changes the number of slots. The levels
that nested calls impose on a route come from `correlation`.
"""

from __future__ import annotations

import attrs

from ferrydeck.signed import bundle as bundles
from ferrydeck.signed.core import (
    admission,
    context,
    correlation,
    levels,
    priority,
)
from ferrydeck.signed.wire import messages


@attrs.define(kw_only=True)
class LocalTarget:
    """The target of this box; `admission` is `None` until a bundle defines it."""

    ctx: context.Context
    correlation: correlation.Correlation
    admission: admission.Admission | None = None

    def apply_bundle(self, now: float) -> None:
        """Set up admission control from the bundle in force."""
        service = self.ctx.active.services.get(self.ctx.identity.service)
        if service is None:
            return
        if self.admission is None or self.admission.slots != service.slots:
            self.admission = self._make_admission(now, service)
        self.admission.cold_start_s = service.cold_start_s

    def load(
        self, now: float, forward: messages.Forward | None = None
    ) -> messages.Load:
        """Return the load report, with the level of the route of `forward` if given."""
        if self.admission is None:
            return messages.Load()
        load = self.admission.load(now)
        if forward is None or not self.correlation.path_levels.levels:
            return load
        return attrs.evolve(load, path_level=self.path_level(now, forward))

    def path_level(self, now: float, forward: messages.Forward) -> int:
        """Return the admission level that nested calls impose on a request's route."""
        if not self.correlation.path_levels.levels:
            return priority.TOP_LEVEL
        return self.correlation.path_levels.value(now, self.path_key(forward))

    def path_key(self, forward: messages.Forward) -> str:
        """Return the `levels.path_key` of a request's route."""
        bare_path = forward.path.partition("?")[0]
        route = self.ctx.active.route(forward.service, forward.method, bare_path)
        path = route.path if route is not None else bare_path
        return levels.path_key(forward.method, path)

    def _make_admission(
        self, now: float, service: bundles.Service
    ) -> admission.Admission:
        rebuilt = admission.Admission(
            slots=service.slots,
            started_at=now if self.admission is None else self.admission.started_at,
            limited=self.ctx.policy.limited,
            ordered=self.ctx.policy.prioritised,
        )
        if self.admission is not None:
            rebuilt.running = self.admission.running
            rebuilt.queue = self.admission.queue
            rebuilt.mean_service_s = self.admission.mean_service_s
        return rebuilt
