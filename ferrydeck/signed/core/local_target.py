"""The target beside this daemon: its admission, and its load as daemons see it.

Owns the admission control, which is rebuilt when a bundle changes the number of
slots. Relies on `correlation` for the levels that nested calls impose on a route.
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
    """The target of this box; `admission` is `None` while no bundle names it."""

    ctx: context.Context
    correlation: correlation.Correlation
    admission: admission.Admission | None = None

    def apply_bundle(self, now: float) -> None:
        """Take the target's size from the bundle in force."""
        service = self.ctx.active.services.get(self.ctx.identity.service)
        if service is None:
            return
        if self.admission is None or self.admission.slots != service.slots:
            self.admission = self._make_admission(now, service)
        self.admission.cold_start_s = service.cold_start_s

    def load(
        self, now: float, forward: messages.Forward | None = None
    ) -> messages.Load:
        """Return the target's load, for requests like `forward` where that is given."""
        if self.admission is None:
            return messages.Load()
        load = self.admission.load(now)
        if forward is None or not self.correlation.path_levels.levels:
            return load
        return attrs.evolve(load, path_level=self.path_level(now, forward))

    def path_level(self, now: float, forward: messages.Forward) -> int:
        """Return the level that the calls below a request's route impose on it."""
        if not self.correlation.path_levels.levels:
            return priority.TOP_LEVEL
        return self.correlation.path_levels.value(now, self.path_key(forward))

    def path_key(self, forward: messages.Forward) -> str:
        """Return the name of a request's route, as `levels.path_key` makes it."""
        bare = forward.path.partition("?")[0]
        route = self.ctx.active.route(forward.service, forward.method, bare)
        path = route.path if route is not None else bare
        return levels.path_key(forward.method, path)

    def _make_admission(
        self, now: float, service: bundles.Service
    ) -> admission.Admission:
        fresh = admission.Admission(
            slots=service.slots,
            started_at=now if self.admission is None else self.admission.started_at,
            limited=self.ctx.policy.limited,
            ordered=self.ctx.policy.prioritised,
        )
        if self.admission is not None:
            fresh.running = self.admission.running
            fresh.queue = self.admission.queue
            fresh.mean_service_s = self.admission.mean_service_s
        return fresh
