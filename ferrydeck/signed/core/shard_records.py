"""Local copies of the shard records and leases that the platform stores."""

from __future__ import annotations

import functools

import attrs
import msgspec

from ferrydeck.signed import bundle as bundles
from ferrydeck.signed.core import context, effects, hashes, leases, platform

REQUEST_TIMEOUT_S = 5.0


@attrs.define(kw_only=True, frozen=True)
class ShardRecord:
    """The value of the key `shard/<service>/<number>`."""

    holder: str
    epoch: int
    quarantine_s: float
    sending: int = 0
    """Id of the transfer that gave the holder its key table; 0 for none."""


@attrs.define(kw_only=True, frozen=True)
class VersionedRecord:
    """A shard record as last read, with the version of its key."""

    record: ShardRecord
    version: int


@attrs.define(kw_only=True)
class ShardRecords:
    """Reads and writes the records, with at most one pending request per key."""

    ctx: context.Context
    lease: leases.Lease
    known: dict[int, VersionedRecord] = attrs.Factory(dict)
    lease_records: dict[str, leases.LeaseRecord] = attrs.Factory(dict)
    listed: bool = False
    """Whether the shard records have been read at least once."""
    stale: bool = True
    """Whether to read the shard records again at the next lease renewal."""
    _pending: dict[str, float] = attrs.Factory(dict)
    _written: dict[int, ShardRecord] = attrs.Factory(dict)

    @property
    def lease_prefix(self) -> str:
        """The prefix of lease keys."""
        return f"alive/{self.ctx.identity.service}/"

    @property
    def shard_prefix(self) -> str:
        """The prefix of shard keys."""
        return f"shard/{self.ctx.identity.service}/"

    def list_leases(self, now: float) -> None:
        """Request the leases of all boxes."""
        self._request(now, platform.List(prefix=self.lease_prefix))

    def list_shards(self, now: float) -> None:
        """Request all shard records."""
        self._request(now, platform.List(prefix=self.shard_prefix))

    def created_here(self, shard: int, record: ShardRecord) -> bool:
        """Return whether this box created the record, as the first one of the shard."""
        return record.epoch == 1 and self._written.get(shard) == record

    def owner_box(self, shard: int) -> str:
        """Return the box that a shard's record names, or an empty string."""
        known = self.known.get(shard)
        return leases.parse_holder(known.record.holder).box if known else ""

    def check_dead(self, now: float, holder: leases.LeaseRecord) -> bool:
        """Return whether a holder is dead; write a fence if its lease has expired."""
        stored = self.lease_records.get(holder.box)
        if stored is not None:
            return stored.fence or stored.order > holder.order
        if not self.lease.may_fence(now):
            return False
        fence = attrs.evolve(holder, fence=True)
        key = f"{self.lease_prefix}{holder.box}"
        self._request(
            now, platform.Write(key=key, value=leases.encode(fence), expected_version=0)
        )
        return False

    def write(
        self, now: float, shard: int, holder: str, epoch: int, transfer_id: int = 0
    ) -> None:
        """Write the record of a shard by compare-and-swap."""
        known = self.known.get(shard)
        quarantine_s = self.ctx.active.bundle.quarantine_s
        if known is not None:
            quarantine_s = max(quarantine_s, known.record.quarantine_s)
        record = ShardRecord(
            holder=holder, epoch=epoch, quarantine_s=quarantine_s, sending=transfer_id
        )
        request = platform.Write(
            key=f"{self.shard_prefix}{shard}",
            value=msgspec.json.encode(record).decode(),
            expected_version=known.version if known else 0,
        )
        if self._request(now, request):
            self._written[shard] = record

    def handle_lease_result(
        self, now: float, request: platform.Request, result: platform.Result
    ) -> None:
        """Handle the result of a request about leases."""
        self._pending.pop(request_key(request), None)
        if not isinstance(result, platform.Listed):
            if isinstance(request, platform.Write):
                self.list_leases(now)
            return
        holders = {box: lease.holder for box, lease in self.lease_records.items()}
        decoded = [leases.decode(entry.value) for entry in result.entries]
        self.lease_records = {one.box: one for one in decoded if one is not None}
        if holders != {box: lease.holder for box, lease in self.lease_records.items()}:
            self.stale = True
            self.list_shards(now)

    def handle_shard_result(
        self, now: float, request: platform.Request, result: platform.Result
    ) -> list[int]:
        """Handle the result of a shard request; return shards whose record was read."""
        key = request_key(request)
        self._pending.pop(key, None)
        match request, result:
            case platform.List(), platform.Listed(entries=entries):
                self.listed = True
                self.stale = False
                return [one for entry in entries for one in self._store_entry(entry)]
            case platform.Write(), platform.Written(version=version):
                entry = platform.Entry(key=key, value=request.value, version=version)
                return self._store_entry(entry)
            case platform.Write(), _:
                self._request(now, platform.Read(key=key))
            case platform.Read(), platform.Found(entry=entry):
                return self._store_entry(entry)
            case platform.Read(), platform.Absent():
                self.known.pop(shard_number(key), None)
        return []

    def _store_entry(self, entry: platform.Entry) -> list[int]:
        """Store a record unless a newer one is known; return its shard if stored."""
        shard = shard_number(entry.key)
        try:
            record = msgspec.json.decode(entry.value, type=ShardRecord)
        except msgspec.DecodeError:
            self.ctx.count("platform_faults", "shard-record")
            return []
        known = self.known.get(shard)
        if known is not None and entry.version < known.version:
            self.ctx.count("platform_faults", "older-record")
            return []
        self.known[shard] = VersionedRecord(record=record, version=entry.version)
        return [shard]

    def _request(self, now: float, request: platform.Request) -> bool:
        """Send a request unless one for its key is pending; return whether sent."""
        key = request_key(request)
        if now - self._pending.get(key, -REQUEST_TIMEOUT_S) < REQUEST_TIMEOUT_S:
            return False
        self._pending[key] = now
        self.ctx.emit(effects.AskPlatform(request=request))
        return True


def shard_number(key: str) -> int:
    """Return the shard number in the key of a shard record."""
    return int(key.rsplit("/", 1)[1])


@functools.lru_cache(maxsize=256)
def assign_shards(service: str, boxes: tuple[str, ...]) -> dict[int, str]:
    """Return the box that should own each shard; every box computes the same result.

    Uses rendezvous hashing, bounded by the mean number of shards per box, rounded up.
    """
    if not boxes:
        return {}
    max_shards = -(-bundles.SHARD_COUNT // len(boxes))
    free_slots = dict.fromkeys(boxes, max_shards)
    assigned = {}
    for shard in range(bundles.SHARD_COUNT):
        free = [box for box in boxes if free_slots[box]]
        best = max(free, key=lambda box: hashes.hash64(f"{service}/{shard}/{box}"))
        assigned[shard] = best
        free_slots[best] -= 1
    return assigned


def request_key(request: platform.Request) -> str:
    """Return the key or prefix of a request."""
    match request:
        case platform.List(prefix=prefix):
            return prefix
        case platform.ListBoxes():
            return "boxes"
        case _:
            return request.key
