"""A team's usage and grant, as sent between daemons.

Parts of messages (`messages.TeamUsages`, `messages.TeamGrants`), encoded as arrays: the
order and types of the fields are the protocol.
"""

from __future__ import annotations

import msgspec


class TeamUsage(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Requests of a team at the sender since its last report."""

    team: str
    asked: int
    run: int
    """Requests admitted, less those that were not run; may be negative."""


class TeamGrant(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The fraction of a team's requests that each daemon admits."""

    team: str
    fraction: float
    """0 to 1."""
    retry_after_s: float
    """When a rejected caller may retry, seconds."""
