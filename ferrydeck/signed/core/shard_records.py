"""The records of shards and holders in the platform, as far as this box knows them."""

from __future__ import annotations

import functools

import attrs
import msgspec

from ferrydeck.signed import bundle as bundles
from ferrydeck.signed.core import context, effects, hashes, leases, platform

ASK_TIMEOUT_S = 5.0


@attrs.define(kw_only=True, frozen=True)
class ShardRecord:
    """The value of the key `shard/<service>/<number>`."""

    holder: str
    epoch: int
    quarantine_s: float
    sending: int = 0
    """The sending of the table that the holder has; 0 where it was given none."""


@attrs.define(kw_only=True, frozen=True)
class Known:
    """A shard record as last read, with the version of its key."""

    record: ShardRecord
    version: int


@attrs.define(kw_only=True)
class Records:
    """Reads and changes the records, one request a key at a time."""

    ctx: context.Context
    lease: leases.Lease
    known: dict[int, Known] = attrs.Factory(dict)
    alive: dict[str, leases.Alive] = attrs.Factory(dict)
    listed: bool = False
    """Whether the records have been read at least once."""
    stale: bool = True
    """Whether they are to be read again at the next renewal."""
    _asked: dict[str, float] = attrs.Factory(dict)
    _tried: dict[int, ShardRecord] = attrs.Factory(dict)

    @property
    def alive_prefix(self) -> str:
        """The prefix of the keys of holders."""
        return f"alive/{self.ctx.identity.service}/"

    @property
    def shard_prefix(self) -> str:
        """The prefix of the keys of shards."""
        return f"shard/{self.ctx.identity.service}/"

    def list_alive(self, now: float) -> None:
        """Read which holders are alive."""
        self._ask(now, platform.List(prefix=self.alive_prefix))

    def list_shards(self, now: float) -> None:
        """Read all records of shards."""
        self._ask(now, platform.List(prefix=self.shard_prefix))

    def made_here(self, shard: int, record: ShardRecord) -> bool:
        """Return whether a record is the first of its shard and was written here."""
        return record.epoch == 1 and self._tried.get(shard) == record

    def holder_of(self, shard: int) -> str:
        """Return the box that a record names; empty where there is none."""
        known = self.known.get(shard)
        return leases.parse_holder(known.record.holder).box if known else ""

    def dead(self, now: float, holder: leases.Alive) -> bool:
        """Return whether a holder can renew no more; fence it where it lapsed."""
        alive = self.alive.get(holder.box)
        if alive is not None:
            return alive.fence or alive.age > holder.age
        if not self.lease.may_fence(now):
            return False
        fence = attrs.evolve(holder, fence=True)
        key = f"{self.alive_prefix}{holder.box}"
        self._ask(
            now, platform.Write(key=key, value=leases.encode(fence), expected_version=0)
        )
        return False

    def swap(
        self, now: float, shard: int, holder: str, epoch: int, sending: int = 0
    ) -> None:
        """Change the record of a shard by compare-and-swap."""
        known = self.known.get(shard)
        quarantine_s = self.ctx.active.bundle.quarantine_s
        if known is not None:
            quarantine_s = max(quarantine_s, known.record.quarantine_s)
        record = ShardRecord(
            holder=holder, epoch=epoch, quarantine_s=quarantine_s, sending=sending
        )
        request = platform.Write(
            key=f"{self.shard_prefix}{shard}",
            value=msgspec.json.encode(record).decode(),
            expected_version=known.version if known else 0,
        )
        if self._ask(now, request):
            self._tried[shard] = record

    def alive_answered(
        self, now: float, request: platform.Request, result: platform.Result
    ) -> None:
        """Take the answer to a request about holders."""
        self._asked.pop(key_of(request), None)
        if not isinstance(result, platform.Listed):
            if isinstance(request, platform.Write):
                self.list_alive(now)
            return
        before = {box: alive.holder for box, alive in self.alive.items()}
        decoded = [leases.decode(entry.value) for entry in result.entries]
        self.alive = {alive.box: alive for alive in decoded if alive is not None}
        if before != {box: alive.holder for box, alive in self.alive.items()}:
            self.stale = True
            self.list_shards(now)

    def shard_answered(
        self, now: float, request: platform.Request, result: platform.Result
    ) -> list[int]:
        """Take the answer to a request about shards; return those to look at."""
        key = key_of(request)
        self._asked.pop(key, None)
        match request, result:
            case platform.List(), platform.Listed(entries=entries):
                self.listed = True
                self.stale = False
                return [one for entry in entries for one in self._read(entry)]
            case platform.Write(), platform.Written(version=version):
                entry = platform.Entry(key=key, value=request.value, version=version)
                return self._read(entry)
            case platform.Write(), _:
                self._ask(now, platform.Read(key=key))
            case platform.Read(), platform.Found(entry=entry):
                return self._read(entry)
            case platform.Read(), platform.Absent():
                self.known.pop(shard_of(key), None)
        return []

    def _read(self, entry: platform.Entry) -> list[int]:
        """Take in a record, which may be older than one known already."""
        shard = shard_of(entry.key)
        try:
            record = msgspec.json.decode(entry.value, type=ShardRecord)
        except msgspec.DecodeError:
            self.ctx.count("platform_faults", "shard-record")
            return []
        known = self.known.get(shard)
        if known is not None and entry.version < known.version:
            self.ctx.count("platform_faults", "older-record")
            return []
        self.known[shard] = Known(record=record, version=entry.version)
        return [shard]

    def _ask(self, now: float, request: platform.Request) -> bool:
        """Ask the platform, one request a key at a time; return whether it was sent."""
        key = key_of(request)
        if now - self._asked.get(key, -ASK_TIMEOUT_S) < ASK_TIMEOUT_S:
            return False
        self._asked[key] = now
        self.ctx.emit(effects.AskPlatform(request=request))
        return True


def shard_of(key: str) -> int:
    """Return the number of the shard that a key is the record of."""
    return int(key.rsplit("/", 1)[1])


@functools.lru_cache(maxsize=256)
def assignment(service: str, boxes: tuple[str, ...]) -> dict[int, str]:
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


def key_of(request: platform.Request) -> str:
    """Return the key or prefix that a request is about."""
    match request:
        case platform.List(prefix=prefix):
            return prefix
        case platform.ListBoxes():
            return "boxes"
        case _:
            return request.key
