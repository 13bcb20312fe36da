"""Finds the run that a nested call belongs to, by the token in its header.

Owns the table of the runs at the target beside this daemon, and the levels that
nested calls impose on the routes of their runs. A token is random, handed to the
target with the request, and valid until the target begins to answer.
"""

from __future__ import annotations

import attrs

from ferrydeck.signed.core import levels, retry_limits


@attrs.define(kw_only=True)
class Run:
    """What the calls that a target makes during one run inherit from it."""

    token: str
    request_id: str
    priority: int
    depth: int
    expires: float
    """When the time of the request is over, on this box's clock."""
    allowance: retry_limits.RetryAllowance
    path_key: str
    """The route of the request, as `levels.path_key` names it."""


@attrs.define(kw_only=True)
class Correlation:
    """The runs by token, and the levels of their routes."""

    runs: dict[str, Run] = attrs.Factory(dict)
    path_levels: levels.PathLevels = attrs.Factory(levels.PathLevels)

    def add(self, run: Run) -> None:
        """Add a run that starts."""
        self.runs[run.token] = run

    def find(self, token: str) -> Run | None:
        """Return the run of a token, or `None`."""
        return self.runs.get(token) if token else None

    def remove(self, token: str) -> int:
        """Remove a run; return what is left of its allowance."""
        run = self.runs.pop(token, None)
        if run is None:
            return 0
        left = run.allowance.remaining
        run.allowance.remaining = 0
        return left
