"""The lease of a box that owns shards: one key in the platform, kept alive.

The key `alive/<service>/<box>` names the holder: box, incarnation and term.
It is renewed by compare-and-swap and lapses on its own. A box that wants the
shards of a lapsed holder first writes a fence in the place of the key. So a
holder that is fenced finds out at its next renewal, and its lease, counted
from before the last renewal was sent, has ended before the fence could stand.
"""

from __future__ import annotations

import attrs
import msgspec

from ferrydeck.signed.core import context, effects, platform

RENEWALS_PER_LEASE = 3
"""Renewals sent in the time of one lease."""
RENEWAL_SLACK_S = 0.05
MIN_HELD_RATIO = 0.5
"""Share of a lease for which a box must have held its own before it fences others."""
CLOCK_DRIFT_RATIO = 0.05
"""Share of the lease given up for clocks that run at different rates."""


@attrs.define(kw_only=True, frozen=True)
class LeaseRecord:
    """The value of the lease key."""

    box: str
    incarnation: int
    term: int
    beat: int = 0
    fence: bool = False
    """Whether the holder was declared dead by another box."""

    @property
    def holder(self) -> str:
        """The holder as shard records name it."""
        return holder_name(self.box, self.incarnation, self.term)

    @property
    def order(self) -> tuple[int, int, bool]:
        """Order of the values that one key takes over time."""
        return (self.incarnation, self.term, self.fence)


def holder_name(box: str, incarnation: int, term: int) -> str:
    """Return the name of a holder."""
    return f"{box}/{incarnation}/{term}"


def parse_holder(holder: str) -> LeaseRecord:
    """Return the box, incarnation and term that a holder's name holds."""
    box, incarnation, term = holder.rsplit("/", 2)
    return LeaseRecord(box=box, incarnation=int(incarnation), term=int(term))


def decode(value: str) -> LeaseRecord | None:
    """Return the value of a lease key, or `None` where it is none of ours."""
    try:
        return msgspec.json.decode(value, type=LeaseRecord)
    except msgspec.DecodeError:
        return None


def encode(record: LeaseRecord) -> str:
    """Return the text that is stored for a lease key."""
    return msgspec.json.encode(record).decode()


@attrs.define(kw_only=True)
class Lease:
    """This box's own lease."""

    ctx: context.Context
    term: int = 1
    valid_until: float = float("-inf")
    """Monotonic time up to which new keys may be taken."""
    superseded: bool = False
    """Whether a later incarnation of this box holds the key."""
    _key_version: int | None = None
    _last_beat: int = 0
    _renewal_sent_at: float = 0.0
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
        """The name of this holder."""
        identity = self.ctx.identity
        return holder_name(identity.box, identity.incarnation, self.term)

    def valid(self, now: float) -> bool:
        """Return whether the lease holds now."""
        return now < self.valid_until

    def renew_if_due(self, now: float, lease_s: float) -> None:
        """Renew when a share of the lease has passed, or it was not confirmed."""
        confirmed = self.valid(now) and self._key_version is not None
        if (
            not confirmed
            or now - self._renewal_sent_at
            >= lease_s / RENEWALS_PER_LEASE - RENEWAL_SLACK_S
        ):
            self.renew(now, lease_s)

    def renew(self, now: float, lease_s: float) -> None:
        """Send a renewal, or first read the key where its version is not known."""
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
        """Take the answer to a request about the key; return whether a term ended."""
        self._request_pending = False
        match result:
            case platform.Written(version=version):
                self._confirm(version)
            case platform.Conflict() | platform.NoAnswer():
                # The next renewal reads the key first. To read at once would
                # flood a platform that serves old values.
                self._key_version = None
            case platform.Absent():
                self._key_version = 0
                self._rewrite(now)
            case platform.Found(entry=entry):
                return self._check_stored(now, entry)
        return False

    def _check_stored(self, now: float, entry: platform.Entry) -> bool:
        """Compare what stands in the key with what this box wrote."""
        stored = decode(entry.value)
        mine = self.ctx.identity.incarnation
        if stored is not None and stored.incarnation > mine:
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
        """Return whether this box may declare others dead.

        After an outage of the platform every lease has lapsed, and the holders
        are given the time to come back before anyone takes their shards.
        """
        return (
            self.valid(now) and now - self._held_since >= self._lease_s * MIN_HELD_RATIO
        )

    def _confirm(self, version: int) -> None:
        self._key_version = version
        if self._renewal_sent_at >= self.valid_until:
            self._held_since = self._renewal_sent_at
        self.valid_until = self._renewal_sent_at + self._lease_s * (
            1 - CLOCK_DRIFT_RATIO
        )

    def _rewrite(self, now: float) -> None:
        self._request_pending = True
        self._write(now, self._lease_s)

    def _write(self, now: float, lease_s: float) -> None:
        self._last_beat += 1
        self._renewal_sent_at = now
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
