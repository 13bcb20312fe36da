"""Handover of a shard: transfer of its key table to the new owner in parts.

Each transfer has a random id, so parts of an earlier, failed transfer are never mixed
with those of a later one.
"""

from __future__ import annotations

import attrs

from ferrydeck.signed.core import ownership
from ferrydeck.signed.wire import messages

MAX_ENTRIES_PER_PART = 256
"""Bounds the size of one message."""
STEP_TIMEOUT_S = 2.0
"""How long either box waits for the next step of a handover."""


@attrs.define(kw_only=True)
class IncomingTable:
    """A key table that the previous owner of a shard is transferring."""

    transfer_id: int
    quarantine_s: float
    confirmed_at: float = float("-inf")
    """When this box confirmed to the previous owner that the table is complete."""
    parts: dict[int, tuple[messages.KeyEntry, ...]] = attrs.Factory(dict)


@attrs.define(kw_only=True)
class IncomingTables:
    """The key tables in transfer to this box, by shard."""

    tables: dict[int, IncomingTable] = attrs.Factory(dict)

    def add(self, part: messages.ShardHand) -> IncomingTable:
        """Add a part; a part of a new transfer replaces the parts of an earlier one."""
        incoming = self.tables.get(part.shard)
        if incoming is None or incoming.transfer_id != part.sending:
            incoming = IncomingTable(
                transfer_id=part.sending, quarantine_s=part.quarantine_ms / 1000
            )
            self.tables[part.shard] = incoming
        incoming.parts[part.part] = part.entries
        return incoming

    def has_transfer(self, shard: int, transfer_id: int) -> bool:
        """Return whether parts of a transfer have arrived."""
        incoming = self.tables.get(shard)
        return incoming is not None and incoming.transfer_id == transfer_id

    def ownership_pending(self, now: float, shard: int) -> bool:
        """Return whether the table was just confirmed, so that ownership may follow."""
        incoming = self.tables.get(shard)
        return incoming is not None and now - incoming.confirmed_at < STEP_TIMEOUT_S

    def pop(self, shard: int, transfer_id: int) -> IncomingTable | None:
        """Remove the table of a shard; return it if it belongs to the transfer."""
        incoming = self.tables.pop(shard, None)
        if incoming is None or not transfer_id or incoming.transfer_id != transfer_id:
            return None
        return incoming


def split_table(
    service: str,
    shard: int,
    owned: ownership.OwnedShard,
    entries: tuple[messages.KeyEntry, ...],
    now: float,
) -> list[messages.ShardHand]:
    """Return the messages that transfer a shard's key table."""
    count = max(1, -(-len(entries) // MAX_ENTRIES_PER_PART))
    return [
        messages.ShardHand(
            service=service,
            shard=shard,
            epoch=owned.epoch + 1,
            sending=owned.transfer_id,
            quarantine_ms=max(0.0, owned.quarantine_until - now) * 1000,
            part=number,
            parts=count,
            entries=entries[
                number * MAX_ENTRIES_PER_PART : (number + 1) * MAX_ENTRIES_PER_PART
            ],
        )
        for number in range(count)
    ]
