"""The records of shards and holders in the platform, as far as this box knows them."""

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
    """The sending of the table that the holder has; 0 where it was given none."""


@attrs.define(kw_only=True, frozen=True)
class VersionedRecord:
    """A shard record as last read, with the version of its key."""

    record: ShardRecord
    version: int


@attrs.define(kw_only=True)
class ShardRecords:
    """Reads and changes the records, one request a key at a time."""

    ctx: context.Context
    lease: leases.Lease
    known: dict[int, VersionedRecord] = attrs.Factory(dict)
    lease_records: dict[str, leases.LeaseRecord] = attrs.Factory(dict)
    listed: bool = False
    """Whether the records have been read at least once."""
    stale: bool = True
    """Whether they are to be read again at the next renewal."""
    _pending_since: dict[str, float] = attrs.Factory(dict)
    _written: dict[int, ShardRecord] = attrs.Factory(dict)

    @property
    def lease_prefix(self) -> str:
        """The prefix of the keys of holders."""
        return f"alive/{self.ctx.identity.service}/"

    @property
    def shard_prefix(self) -> str:
        """The prefix of the keys of shards."""
        return f"shard/{self.ctx.identity.service}/"

    def list_leases(self, now: float) -> None:
        """Read which holders are alive."""
        self._request(now, platform.List(prefix=self.lease_prefix))

    def list_shards(self, now: float) -> None:
        """Read all records of shards."""
        self._request(now, platform.List(prefix=self.shard_prefix))

    def created_here(self, shard: int, record: ShardRecord) -> bool:
        """Return whether a record is the first of its shard and was written here."""
        return record.epoch == 1 and self._written.get(shard) == record

    def owner_box(self, shard: int) -> str:
        """Return the box that a record names; empty where there is none."""
        known = self.known.get(shard)
        return leases.parse_holder(known.record.holder).box if known else ""

    def check_dead(self, now: float, holder: leases.LeaseRecord) -> bool:
        """Return whether a holder can renew no more; fence it where it lapsed."""
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

    def compare_and_swap(
        self, now: float, shard: int, holder: str, epoch: int, transfer_id: int = 0
    ) -> None:
        """Change the record of a shard by compare-and-swap."""
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
        """Take the answer to a request about holders."""
        self._pending_since.pop(request_key(request), None)
        if not isinstance(result, platform.Listed):
            if isinstance(request, platform.Write):
                self.list_leases(now)
            return
        before = {box: lease.holder for box, lease in self.lease_records.items()}
        decoded = [leases.decode(entry.value) for entry in result.entries]
        self.lease_records = {
            lease.box: lease for lease in decoded if lease is not None
        }
        if before != {box: lease.holder for box, lease in self.lease_records.items()}:
            self.stale = True
            self.list_shards(now)

    def handle_shard_result(
        self, now: float, request: platform.Request, result: platform.Result
    ) -> list[int]:
        """Take the answer to a request about shards; return those to look at."""
        key = request_key(request)
        self._pending_since.pop(key, None)
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
        """Take in a record, which may be older than one known already."""
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
        """Ask the platform, one request a key at a time; return whether it was sent."""
        key = request_key(request)
        if now - self._pending_since.get(key, -REQUEST_TIMEOUT_S) < REQUEST_TIMEOUT_S:
            return False
        self._pending_since[key] = now
        self.ctx.emit(effects.AskPlatform(request=request))
        return True


def shard_number(key: str) -> int:
    """Return the number of the shard that a key is the record of."""
    return int(key.rsplit("/", 1)[1])


@functools.lru_cache(maxsize=256)
def assign_shards(service: str, boxes: tuple[str, ...]) -> dict[int, str]:
    """Return which box should own each shard, alike at every box.

    Each shard goes to the box with the highest hash that has room; no box gets
    more than its even share, rounded up.
    """
    if not boxes:
        return {}
    share = -(-bundles.SHARDS // len(boxes))
    room = dict.fromkeys(boxes, share)
    found = {}
    for shard in range(bundles.SHARDS):
        free = [box for box in boxes if room[box]]
        best = max(free, key=lambda box: hashes.hash64(f"{service}/{shard}/{box}"))
        found[shard] = best
        room[best] -= 1
    return found


def request_key(request: platform.Request) -> str:
    """Return the key or prefix that a request is about."""
    match request:
        case platform.List(prefix=prefix):
            return prefix
        case platform.ListBoxes():
            return "boxes"
        case _:
            return request.key
