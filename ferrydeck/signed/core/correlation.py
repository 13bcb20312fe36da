"""Correlates nested calls with the run that they belong to.

A random token identifies each run at the local target. The target receives it with the
request and sends it back in a header of its nested calls. It is valid until the target
starts to answer.
"""

from __future__ import annotations

import attrs

from ferrydeck.signed.core import levels, retry_limits


@attrs.define(kw_only=True)
class Run:
    """The attributes of a run that its nested calls inherit."""

    token: str
    request_id: str
    priority: int
    depth: int
    expires: float
    """The deadline of the request on this box's clock."""
    allowance: retry_limits.RetryAllowance
    path_key: str
    """The route of the request, see `levels.path_key`."""


@attrs.define(kw_only=True)
class Correlation:
    """The runs by token, and the admission levels that nested calls impose."""

    runs: dict[str, Run] = attrs.Factory(dict)
    path_levels: levels.PathLevels = attrs.Factory(levels.PathLevels)

    def add(self, run: Run) -> None:
        """Add a run when it starts."""
        self.runs[run.token] = run

    def find(self, token: str) -> Run | None:
        """Return the run with a token, or `None`."""
        return self.runs.get(token) if token else None

    def remove(self, token: str) -> int:
        """Remove a run and return its unused allowance."""
        run = self.runs.pop(token, None)
        if run is None:
            return 0
        unused = run.allowance.remaining
        run.allowance.remaining = 0
        return unused
