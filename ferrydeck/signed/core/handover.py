"""Handing the keys of a shard over: the parts of a table, sent and received.

Owns the tables that predecessors are handing over. A sending is known by its random
number, so parts of an earlier one that failed are of no use.
"""

from __future__ import annotations

import attrs

from ferrydeck.signed.core import ownership
from ferrydeck.signed.wire import messages

MAX_ENTRIES_PER_PART = 256
"""Keys in one message, to bound its length."""
STEP_TIMEOUT_S = 2.0
"""How long either side waits for the next step of a move, seconds."""


@attrs.define(kw_only=True)
class IncomingTable:
    """A table that a predecessor is handing over."""

    transfer_id: int
    quarantine_s: float
    confirmed_at: float = float("-inf")
    """When this box confirmed to the predecessor that the table is here."""
    parts: dict[int, tuple[messages.KeyEntry, ...]] = attrs.Factory(dict)


@attrs.define(kw_only=True)
class IncomingTables:
    """The tables on their way to this box, by shard."""

    tables: dict[int, IncomingTable] = attrs.Factory(dict)

    def add(self, part: messages.ShardHand) -> IncomingTable:
        """Add a part; one of another sending begins the table anew."""
        incoming = self.tables.get(part.shard)
        if incoming is None or incoming.transfer_id != part.sending:
            incoming = IncomingTable(
                transfer_id=part.sending, quarantine_s=part.quarantine_ms / 1000
            )
            self.tables[part.shard] = incoming
        incoming.parts[part.part] = part.entries
        return incoming

    def has_transfer(self, shard: int, transfer_id: int) -> bool:
        """Return whether parts of a sending are here."""
        incoming = self.tables.get(shard)
        return incoming is not None and incoming.transfer_id == transfer_id

    def ownership_pending(self, now: float, shard: int) -> bool:
        """Return whether a whole table is here and its record is being changed."""
        incoming = self.tables.get(shard)
        return incoming is not None and now - incoming.confirmed_at < STEP_TIMEOUT_S

    def pop(self, shard: int, transfer_id: int) -> IncomingTable | None:
        """Remove the table of a shard; return it if it is that sending's."""
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
    """Return the messages that hand a shard's table over."""
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
