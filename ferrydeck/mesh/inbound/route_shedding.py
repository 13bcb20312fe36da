"""Adaptive shedding of routes whose runs fail at other services.

A request whose calls fail has used its target in vain. While many runs of a route fail
or end late, a growing ratio of its requests of the lowest priority is rejected on
arrival, until the remaining ones succeed.

Owns the control of each route. Relies on `load_shedding` to count the answers.
"""

from __future__ import annotations

import attrs

WINDOW_S = 0.25
"""Interval between updates of the shed ratio, seconds."""
MIN_ANSWERS = 3
"""Answers in a window below which it is extended to the next one."""
MAX_FAILED_RATIO = 0.1
"""Ratio of failed answers above which the shed ratio increases."""
GAIN = 0.5
"""Part of the failed ratio that is added to the shed ratio."""
DECAY_RATIO = 0.65
"""Factor of the shed ratio per window without too many failures."""
MAX_RATIO = 0.95
"""Highest shed ratio; some requests are always admitted, to detect a recovery."""
MIN_RATIO = 0.02
"""A lower shed ratio counts as 0."""


@attrs.define(kw_only=True)
class RouteShedding:
    """Controls the shed ratio of one route."""

    shed_ratio: float = 0.0
    """Ratio of requests that are shed."""
    answered: int = 0
    """Answers in the current window."""
    failed: float = 0.0
    """Failed answers in the current window; late ones count in part."""
    window_ends: float = 0.0
    _accumulated: float = 0.0
    """Sum of the shed ratios since a request was shed; at 1 the next one is shed."""

    def count_answer(self, now: float, failed: float) -> None:
        """Count an answer; `failed` is 1 for a failure and less for a late answer."""
        self.answered += 1
        self.failed += failed
        self._update(now)

    def shed_next(self, now: float, min_ratio: float = 0.0) -> bool:
        """Return whether the next request is shed; shed requests are spread evenly.

        `min_ratio` is the lower limit of the ratio, which follows from the price.
        """
        self._update(now)
        ratio = min(MAX_RATIO, max(self.shed_ratio, min_ratio))
        if ratio < MIN_RATIO:
            return False
        self._accumulated += ratio
        if self._accumulated < 1.0:
            return False
        self._accumulated -= 1.0
        return True

    def _update(self, now: float) -> None:
        """Update the shed ratio at the end of a window."""
        if now < self.window_ends:
            return
        if 0 < self.answered < MIN_ANSWERS and now < self.window_ends + WINDOW_S:
            return
        failed_ratio = self.failed / self.answered if self.answered else 0.0
        if failed_ratio > MAX_FAILED_RATIO:
            self.shed_ratio = min(MAX_RATIO, self.shed_ratio + GAIN * failed_ratio)
        else:
            self.shed_ratio *= DECAY_RATIO
        self.shed_ratio *= DECAY_RATIO ** ((now - self.window_ends) / WINDOW_S)
        self.answered = 0
        self.failed = 0.0
        self.window_ends = now + WINDOW_S


@attrs.define(kw_only=True)
class RouteTable:
    """The controls of all routes."""

    routes: dict[str, RouteShedding] = attrs.Factory(dict)

    def route(self, name: str) -> RouteShedding:
        """Return the control of a route."""
        control = self.routes.get(name)
        if control is None:
            control = self.routes[name] = RouteShedding()
        return control
