"""Splits the requests of a route between services by weight.

The weights come from the policy.
"""

from __future__ import annotations

import attrs

from ferrydeck.mesh import policy


@attrs.define(kw_only=True)
class TrafficSplits:
    """Smooth weighted round robin for each route and its split."""

    _current_weights: dict[tuple[str, tuple[policy.SplitPart, ...]], list[float]] = (
        attrs.Factory(dict)
    )

    def clear(self) -> None:
        """Reset all round robins after a policy change."""
        self._current_weights.clear()

    def next_service(self, route: policy.Route, offset: float) -> str:
        """Return the service for the next request of a route.

        `offset` (0 to 1) shifts the start of a new round robin, so that daemons that
        start together do not all send their first requests to the same service.
        """
        if len(route.parts) == 1:
            return route.parts[0].service
        key = (route.name, route.parts)
        current = self._current_weights.get(key)
        if current is None:
            current = [one.weight * offset for one in route.parts]
            self._current_weights[key] = current
        total = 0.0
        for index, part in enumerate(route.parts):
            current[index] += part.weight
            total += part.weight
        best = max(range(len(current)), key=current.__getitem__)
        current[best] -= total
        return route.parts[best].service
