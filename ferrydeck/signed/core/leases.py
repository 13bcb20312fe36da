"""The lease of a box that owns shards: one key in the platform, renewed until lost.

The key `alive/<service>/<box>` names the holder: box, incarnation and term. It is
renewed by compare-and-swap and expires by its TTL. Before another box takes over the
shards of an expired holder, it writes a fence to the key. The holder sees the fence
at its next renewal. Its own lease, counted from before its last renewal was sent,
ends before a fence can be written.
"""

from __future__ import annotations

import attrs
import msgspec

from ferrydeck.signed.core import context, effects, platform

RENEWALS_PER_LEASE = 3
"""Number of renewals sent during one lease period."""
SLACK_S = 0.05
FENCE_RATIO = 0.5
"""Share of a lease period that a box must hold its own lease before it fences."""
CLOCK_DRIFT_RATIO = 0.05
"""Share of the lease given up to allow for clocks that run at different rates."""


@attrs.define(kw_only=True, frozen=True)
class LeaseRecord:
    """The value of a lease key."""

    box: str
    incarnation: int
    term: int
    beat: int = 0
    fence: bool = False
    """Whether another box has declared the holder dead."""

    @property
    def holder(self) -> str:
        """The name of the holder in shard records."""
        return holder_name(self.box, self.incarnation, self.term)

    @property
    def order(self) -> tuple[int, int, bool]:
        """Sort key: later values of the same lease key sort higher."""
        return (self.incarnation, self.term, self.fence)


def holder_name(box: str, incarnation: int, term: int) -> str:
    """Return the name of a holder in shard records."""
    return f"{box}/{incarnation}/{term}"


def parse_holder(holder: str) -> LeaseRecord:
    """Return the box, incarnation and term in a holder's name."""
    box, incarnation, term = holder.rsplit("/", 2)
    return LeaseRecord(box=box, incarnation=int(incarnation), term=int(term))


def decode(value: str) -> LeaseRecord | None:
    """Return the decoded value of a lease key, or `None` if it is malformed."""
    try:
        return msgspec.json.decode(value, type=LeaseRecord)
    except msgspec.DecodeError:
        return None


def encode(record: LeaseRecord) -> str:
    """Return the encoded value of a lease key."""
    return msgspec.json.encode(record).decode()


@attrs.define(kw_only=True)
class Lease:
    """This box's own lease."""

    ctx: context.Context
    term: int = 1
    valid_until: float = float("-inf")
    """Monotonic time until which new keys may be accepted."""
    superseded: bool = False
    """Whether a later incarnation of this box holds the lease."""
    _key_version: int | None = None
    _last_beat: int = 0
    _sent_at: float = 0.0
    _held_since: float = 0.0
    _lease_s: float = 0.0
    _request_pending: bool = False

    @property
    def key(self) -> str:
        """The lease key."""
        identity = self.ctx.identity
        return f"alive/{identity.service}/{identity.box}"

    @property
    def holder(self) -> str:
        """The name of this holder in shard records."""
        identity = self.ctx.identity
        return holder_name(identity.box, identity.incarnation, self.term)

    def valid(self, now: float) -> bool:
        """Return whether the lease is valid."""
        return now < self.valid_until

    def renew_if_due(self, now: float, lease_s: float) -> None:
        """Renew if the renewal interval has passed or the lease is unconfirmed."""
        held = self.valid(now) and self._key_version is not None
        if not held or now - self._sent_at >= lease_s / RENEWALS_PER_LEASE - SLACK_S:
            self.renew(now, lease_s)

    def renew(self, now: float, lease_s: float) -> None:
        """Send a renewal, or read the key first if its version is unknown."""
        if self.superseded or self._request_pending:
            return
        self._request_pending = True
        self._lease_s = lease_s
        if self._key_version is None:
            self._emit_request(platform.Read(key=self.key))
            return
        self._write(now, lease_s)

    def handle_result(
        self, now: float, request: platform.Request, result: platform.Result
    ) -> bool:
        """Handle a result for the key; return whether a term ended."""
        self._request_pending = False
        match result:
            case platform.Written(version=version):
                self._confirm(version)
            case platform.Conflict() | platform.NoAnswer():
                # The next renewal reads the key first. An immediate read would
                # flood a platform that serves stale values.
                self._key_version = None
            case platform.Absent():
                self._key_version = 0
                self._rewrite(now)
            case platform.Found(entry=entry):
                return self._check_stored(now, entry)
        return False

    def _check_stored(self, now: float, entry: platform.Entry) -> bool:
        """Compare the stored value with the last one that this box wrote."""
        stored = decode(entry.value)
        own_incarnation = self.ctx.identity.incarnation
        if stored is not None and stored.incarnation > own_incarnation:
            self.superseded = True
            self.valid_until = float("-inf")
            self.ctx.audit("lease", "a later incarnation of this box holds the lease")
            return True
        ended = False
        if stored is not None and stored.holder == self.holder and stored.fence:
            self.term += 1
            self.valid_until = float("-inf")
            self.ctx.audit("lease", "fenced by another box after the lease lapsed")
            ended = True
        self._key_version = entry.version
        own = stored is not None and stored.holder == self.holder and not stored.fence
        if own and self._last_beat and stored.beat == self._last_beat:
            self._confirm(entry.version)
            return ended
        self._rewrite(now)
        return ended

    def may_fence(self, now: float) -> bool:
        """Return whether this box may declare other holders dead.

        After an outage of the platform every lease has expired; the delay gives the
        holders time to renew before another box takes over their shards.
        """
        return self.valid(now) and now - self._held_since >= self._lease_s * FENCE_RATIO

    def _confirm(self, version: int) -> None:
        self._key_version = version
        if self._sent_at >= self.valid_until:
            self._held_since = self._sent_at
        self.valid_until = self._sent_at + self._lease_s * (1 - CLOCK_DRIFT_RATIO)

    def _rewrite(self, now: float) -> None:
        self._request_pending = True
        self._write(now, self._lease_s)

    def _write(self, now: float, lease_s: float) -> None:
        self._last_beat += 1
        self._sent_at = now
        self._lease_s = lease_s
        identity = self.ctx.identity
        record = LeaseRecord(
            box=identity.box,
            incarnation=identity.incarnation,
            term=self.term,
            beat=self._last_beat,
        )
        self._emit_request(
            platform.Write(
                key=self.key,
                value=encode(record),
                expected_version=self._key_version or 0,
                ttl_s=lease_s,
            )
        )

    def _emit_request(self, request: platform.Request) -> None:
        self.ctx.emit(effects.AskPlatform(request=request))
