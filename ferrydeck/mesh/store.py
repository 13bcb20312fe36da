"""Requests to the platform's store and their results.

The core creates requests (`registry`); the driver sends them and returns one result for
each. The class names are label values of a metric.

Revisions and lease ids are valid within one era of the store: after it is restored from
a backup, a new era begins and numbers are reused. Requests with such a number therefore
carry its era.
"""

from __future__ import annotations

import attrs

from ferrydeck.mesh import policy


@attrs.define(kw_only=True, frozen=True)
class ReadPolicy:
    """Read the policy."""

    stale: bool = False
    """Whether a cheaper read that may be seconds out of date is sufficient."""


@attrs.define(kw_only=True, frozen=True)
class ProvePolicy:
    """Confirm that the policy is unchanged since a revision, or read it if not.

    The read is always consistent, and the answer is short if nothing has changed.
    """

    version: int
    revision: int
    """Revision of the known policy; 0 if unknown, so that the policy is read."""
    era: int = 0
    """Store era of the revision."""
    asked_at: float = 0.0
    """Send time on this daemon's clock, from which the age of a confirmation counts."""


@attrs.define(kw_only=True, frozen=True)
class WatchPolicy:
    """Watch for a change of the policy after a revision."""

    after: int
    """Store revision after which to watch."""
    wait_s: float
    """Time that the store waits for a change, seconds."""
    era: int = 0
    """Store era of the revision."""


@attrs.define(kw_only=True, frozen=True)
class ReadBoxes:
    """Read the records of all boxes."""

    stale: bool = False
    """Whether a cheaper read that may be seconds out of date is sufficient."""


@attrs.define(kw_only=True, frozen=True)
class GrantLease:
    """Request a lease."""

    ttl_s: float
    """Time to live of the lease, seconds."""


@attrs.define(kw_only=True, frozen=True)
class KeepLease:
    """Renew a lease."""

    lease: int
    era: int = 0
    """Store era of the lease."""


@attrs.define(kw_only=True, frozen=True)
class PutBox:
    """Write the record of this box, bound to its lease."""

    record: BoxRecord
    lease: int
    era: int = 0
    """Store era of the lease."""


Request = (
    ReadPolicy | ProvePolicy | WatchPolicy | ReadBoxes | GrantLease | KeepLease | PutBox
)
EraScoped = ProvePolicy | WatchPolicy | KeepLease | PutBox
"""Requests with a revision or lease id, which are invalid in another era."""


@attrs.define(kw_only=True, frozen=True)
class BoxRecord:
    """Record by which other daemons discover a daemon."""

    box: str
    incarnation: int
    """Increases with each start of the daemon."""
    address: str
    """Address at which it accepts links."""
    data_centre: str
    service: str


@attrs.define(kw_only=True, frozen=True)
class PolicyFound:
    """The policy at a revision, or `None` if there is none or no change."""

    policy: policy.Policy | None
    at: int
    """Store revision of the read."""
    fault: str = ""
    """Why the stored policy is invalid; empty if it is valid."""


@attrs.define(kw_only=True, frozen=True)
class PolicyProved:
    """The policy is unchanged since the revision in the request."""


@attrs.define(kw_only=True, frozen=True)
class BoxesFound:
    """The records of all boxes."""

    records: tuple[BoxRecord, ...]
    odd: int = 0
    """Number of entries that are not valid records."""


@attrs.define(kw_only=True, frozen=True)
class Leased:
    """A lease was granted or renewed."""

    lease: int
    ttl_s: float


@attrs.define(kw_only=True, frozen=True)
class Done:
    """A write took effect."""


@attrs.define(kw_only=True, frozen=True)
class LeaseOver:
    """The lease has expired."""


@attrs.define(kw_only=True, frozen=True)
class HistoryGone:
    """The store no longer has the history since the requested revision."""


@attrs.define(kw_only=True, frozen=True)
class NoAnswer:
    """The request failed or was rejected; a write may still take effect."""

    detail: str


Result = (
    PolicyFound
    | PolicyProved
    | BoxesFound
    | Leased
    | Done
    | LeaseOver
    | HistoryGone
    | NoAnswer
)
