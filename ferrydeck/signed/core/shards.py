"""Ownership of shards: which box may start calls that must not run twice.

Owns the shards of this box. Relies on `leases` and `shard_records` for what the
platform has, and on `handover` for the tables that predecessors send.

A shard record in the platform names one holder and an epoch and changes by
compare-and-swap only. The holder takes new keys while its lease holds. A box
that takes a shard over from a dead holder does not know what that one ran, so
it takes no unknown key for the quarantine. A shard that is handed over with its
table has none.
"""

from __future__ import annotations

import attrs

from ferrydeck.signed import bundle as bundles
from ferrydeck.signed.core import (
    context,
    handover,
    keys,
    leases,
    membership,
    ownership,
    platform,
    shard_records,
)
from ferrydeck.signed.wire import messages

REBALANCE_INTERVAL_S = 0.2
"""How often ownership is compared with what it should be, seconds."""
MAX_RENEWAL_INTERVAL_S = 3.0
"""How often a box reads who is alive at least, however long the lease, seconds."""
RENEWALS_PER_RECORD_LIST = 10
"""Every so many renewals the shard records are read even if nothing changed."""
MAX_CONCURRENT_MOVES = 8
"""Shards that a box hands over at a time; their new keys wait meanwhile."""
RECENT_PEER_TIMEOUT_S = 5.0
"""How long a box that sent a message counts as one that may soon hold a lease."""
TRANSFER_ID_BITS = 53


@attrs.define(kw_only=True, frozen=True)
class LeaseTimer:
    """Time to renew the lease."""


@attrs.define(kw_only=True, frozen=True)
class RebalanceTimer:
    """Time to compare who owns what with who should."""


@attrs.define(kw_only=True)
class ShardOwner:
    """The shards of this box's service, as far as this box owns them."""

    ctx: context.Context
    members: membership.Membership
    table: keys.KeyTable
    lease: leases.Lease = attrs.field(init=False)
    owned: dict[int, ownership.OwnedShard] = attrs.Factory(dict)
    records: shard_records.ShardRecords = attrs.field(init=False)
    _incoming_tables: handover.IncomingTables = attrs.Factory(handover.IncomingTables)
    _renewals: int = 0

    def __attrs_post_init__(self) -> None:
        self.lease = leases.Lease(ctx=self.ctx)
        self.records = shard_records.ShardRecords(ctx=self.ctx, lease=self.lease)

    @property
    def service(self) -> str:
        """The service whose shards these are."""
        return self.ctx.identity.service

    @property
    def needs_shards(self) -> bool:
        """Return whether the bundle has calls to this service that may not repeat."""
        active = self.ctx.active
        return active is not None and self.service in active.once_services

    def can_leave(self, now: float) -> bool:
        """Return whether no shard is left that another box could take."""
        if not self.owned:
            return True
        return not self._other_holders() and not self._seen_recently(now)

    def start(self, now: float) -> None:
        """Begin to renew and to plan."""
        if self.service:
            self.ctx.at(now, LeaseTimer())
            self.ctx.at(now, RebalanceTimer())

    def key_authority(
        self, now: float, shard: int
    ) -> ownership.AcceptsNewKeys | ownership.KnownKeysOnly | ownership.NotOwner:
        """Return how far this box may answer for the keys of a shard."""
        owned = self.owned.get(shard)
        if owned is None and self._incoming_tables.ownership_pending(now, shard):
            return ownership.MOVING
        if owned is None:
            owner = self.records.owner_box(shard)
            return ownership.NotOwner(reason=messages.Reason.NOT_OWNER, owner=owner)
        if not self.lease.valid(now):
            return ownership.NotOwner(reason=messages.Reason.NO_LEASE, owner="")
        moving = owned.move is not ownership.MoveState.NONE
        if moving or self.ctx.leaving and self._other_holders():
            return ownership.MOVING
        if now < owned.quarantine_until:
            left_s = owned.quarantine_until - now
            reason = messages.Reason.QUARANTINE
            return ownership.KnownKeysOnly(reason=reason, retry_after_s=left_s)
        return ownership.AcceptsNewKeys()

    def may_start(self, now: float, shard: int) -> bool:
        """Return whether a queued key of the shard may still be started."""
        return shard in self.owned and self.lease.valid(now)

    def apply_bundle(self, now: float) -> None:
        """Ask for the lease at once where the first bundle calls for one."""
        if self.needs_shards and not self.lease.valid(now):
            self.lease.renew(now, self.ctx.active.bundle.once.lease_s)
            self.records.list_leases(now)

    def renew(self, now: float) -> None:
        """Renew the lease and read who is alive."""
        once = self.ctx.active.bundle.once if self.ctx.active else None
        every = once.lease_s / leases.RENEWALS_PER_LEASE if once else 1.0
        self.ctx.at(now + min(every, MAX_RENEWAL_INTERVAL_S), LeaseTimer())
        if not self.needs_shards or once is None:
            return
        self.lease.renew_if_due(now, once.lease_s)
        self.records.list_leases(now)
        self._renewals += 1
        if self.records.stale or self._renewals % RENEWALS_PER_RECORD_LIST == 0:
            self.records.list_shards(now)

    def rebalance(self, now: float) -> None:
        """Take the free shards that fall to this box; hand over those that don't."""
        self.ctx.at(now + REBALANCE_INTERVAL_S, RebalanceTimer())
        self.table.expire(now)
        if not self.needs_shards or not self.records.listed:
            return
        boxes = self._other_holders()
        if not self.ctx.leaving and self.lease.valid(now):
            boxes.append(self.own_box)
        wanted = shard_records.assign_shards(self.service, tuple(sorted(boxes)))
        for shard in range(bundles.SHARDS):
            if shard in self.owned:
                self._rebalance_owned(now, shard, wanted.get(shard, ""))
            elif wanted.get(shard) == self.own_box:
                self._claim_free(now, shard)

    @property
    def own_box(self) -> str:
        """The name of this box."""
        return self.ctx.identity.box

    def handle_result(
        self, now: float, request: platform.Request, result: platform.Result
    ) -> bool:
        """Take the platform's answer; return whether the request was one of these."""
        key = shard_records.request_key(request)
        if key == self.lease.key:
            if self.lease.handle_result(now, request, result):
                self._give_up_all("lease ended")
            return True
        if key.startswith(self.records.lease_prefix):
            self.records.handle_lease_result(now, request, result)
            return True
        if key.startswith(self.records.shard_prefix):
            for shard in self.records.handle_shard_result(now, request, result):
                self._apply_record(now, shard)
            return True
        return False

    def check_claims(self, now: float, member: messages.Member) -> None:
        """Give up a shard of which another box claims a higher epoch."""
        if member.service != self.service or member.box == self.own_box:
            return
        if self.needs_shards and member.box not in self.records.lease_records:
            self.records.list_leases(now)
        for claim in member.shards:
            owned = self.owned.get(claim.shard)
            if owned is not None and claim.epoch > owned.epoch:
                self._give_up(claim.shard, f"{member.box} claims epoch {claim.epoch}")

    def handle_table_part(self, now: float, box: str, part: messages.ShardHand) -> None:
        """Take a part of a table that a predecessor hands over."""
        if part.service != self.service or self.ctx.leaving:
            return
        incoming = self._incoming_tables.add(part)
        peer = self.members.peers.get(box)
        if len(incoming.parts) < part.parts or peer is None:
            return
        if not self.lease.valid(now):
            return
        taken = messages.ShardTaken(
            service=part.service,
            shard=part.shard,
            epoch=part.epoch,
            sending=part.sending,
            holder=self.lease.holder,
        )
        incoming.confirmed_at = now
        self.members.send(peer, taken)
        self.records.stale = True

    def handle_table_confirmed(
        self, now: float, box: str, message: messages.ShardTaken
    ) -> None:
        """Name the successor in the record, now that it holds the table."""
        owned = self.owned.get(message.shard)
        if owned is None or owned.move is not ownership.MoveState.SENT:
            return
        if owned.move_to != box or message.sending != owned.transfer_id:
            return
        owned.move = ownership.MoveState.SWAPPING
        owned.successor_holder = message.holder
        self._swap_to_successor(now, message.shard, owned)

    def handle_ownership_notice(self, now: float, message: messages.ShardYours) -> None:
        """Own a shard whose table is here and whose record names this box."""
        if message.service != self.service:
            return
        if self._incoming_tables.has_transfer(message.shard, message.sending):
            self._take_ownership(now, message.shard, message.epoch, message.sending)

    def _rebalance_owned(self, now: float, shard: int, wanted: str) -> None:
        owned = self.owned[shard]
        match owned.move:
            case ownership.MoveState.NONE:
                self._start_move(now, shard, owned, wanted)
            case ownership.MoveState.DRAINING:
                self._send_table(now, shard, owned)
            case ownership.MoveState.SENT if (
                now - owned.table_sent_at > handover.STEP_TIMEOUT_S
            ):
                owned.move = ownership.MoveState.NONE
                self.ctx.count("shard_moves", "timeout")
            case ownership.MoveState.SWAPPING:
                self._swap_to_successor(now, shard, owned)

    def _start_move(
        self, now: float, shard: int, owned: ownership.OwnedShard, wanted: str
    ) -> None:
        if now < owned.quarantine_until and not self.ctx.leaving:
            return
        moving = sum(
            one.move is not ownership.MoveState.NONE for one in self.owned.values()
        )
        if wanted in ("", self.own_box) or moving >= MAX_CONCURRENT_MOVES:
            return
        if shard not in self.records.known:
            self.records.stale = True
            return
        owned.move = ownership.MoveState.DRAINING
        owned.move_to = wanted
        self._send_table(now, shard, owned)

    def _send_table(self, now: float, shard: int, owned: ownership.OwnedShard) -> None:
        """Send the table once nothing in it is in flight any more."""
        if self.table.has_in_flight(shard):
            return
        peer = self.members.peers.get(owned.move_to)
        if peer is None or not peer.takes_work:
            owned.move = ownership.MoveState.NONE
            return
        owned.transfer_id = self.ctx.rng.getrandbits(TRANSFER_ID_BITS)
        entries = self.table.export_shard(shard, now)
        for part in handover.split_table(self.service, shard, owned, entries, now):
            self.members.send(peer, part)
        owned.move = ownership.MoveState.SENT
        owned.table_sent_at = now

    def _claim_free(self, now: float, shard: int) -> None:
        known = self.records.known.get(shard)
        if known is None:
            self.records.compare_and_swap(now, shard, self.lease.holder, 1)
            return
        if known.record.holder == self.lease.holder:
            self._own_by_record(now, shard, known.record)
            return
        holder = leases.parse_holder(known.record.holder)
        if self.records.check_dead(now, holder):
            self.records.compare_and_swap(
                now, shard, self.lease.holder, known.record.epoch + 1
            )

    def _swap_to_successor(
        self, now: float, shard: int, owned: ownership.OwnedShard
    ) -> None:
        """Name the successor, again and again until the outcome is known.

        A swap whose answer was lost may take effect later, so there is no way
        back to taking new keys: the successor may own the table any moment.
        """
        self.records.compare_and_swap(
            now, shard, owned.successor_holder, owned.epoch + 1, owned.transfer_id
        )

    def _apply_record(self, now: float, shard: int) -> None:
        """Act on what a record holds now."""
        record = self.records.known[shard].record
        owned = self.owned.get(shard)
        if owned is None:
            if record.holder == self.lease.holder:
                self._own_by_record(now, shard, record)
            return
        if record.epoch <= owned.epoch:
            return
        if (
            owned.move is ownership.MoveState.SWAPPING
            and record.sending == owned.transfer_id
        ):
            self._complete_move(now, shard, owned, record)
            return
        self._give_up(shard, f"record names {record.holder}")

    def _own_by_record(
        self, now: float, shard: int, record: shard_records.ShardRecord
    ) -> None:
        """Own a shard whose record names this holder."""
        fresh = self.records.created_here(shard, record)
        quarantine_s = 0.0 if fresh else record.quarantine_s
        self._take_ownership(now, shard, record.epoch, record.sending, quarantine_s)

    def _take_ownership(
        self,
        now: float,
        shard: int,
        epoch: int,
        transfer_id: int,
        quarantine_s: float = 0.0,
    ) -> None:
        """Own a shard: with its table if that was handed over, else in quarantine."""
        if shard in self.owned:
            return
        incoming = self._incoming_tables.pop(shard, transfer_id)
        self.table.drop_shard(shard)
        how = "fresh"
        if incoming is not None:
            how = "with its table"
            quarantine_s = incoming.quarantine_s
            for entries in incoming.parts.values():
                self.table.import_entries(entries, now)
        until = now + quarantine_s
        self.owned[shard] = ownership.OwnedShard(epoch=epoch, quarantine_until=until)
        if quarantine_s:
            how += f", in quarantine for {quarantine_s:g} s"
        self.ctx.audit("shard-owned", f"{self.service}/{shard} epoch {epoch} {how}")
        self._announce_owned(now)

    def _complete_move(
        self,
        now: float,
        shard: int,
        owned: ownership.OwnedShard,
        record: shard_records.ShardRecord,
    ) -> None:
        """Let go of a shard whose record names the successor."""
        del self.owned[shard]
        self.table.drop_shard(shard)
        detail = f"{self.service}/{shard} to {owned.move_to} epoch {record.epoch}"
        self.ctx.audit("shard-handed", detail)
        peer = self.members.peers.get(owned.move_to)
        if peer is not None:
            yours = messages.ShardYours(
                service=self.service,
                shard=shard,
                epoch=record.epoch,
                sending=record.sending,
            )
            self.members.send(peer, yours)
        self._announce_owned(now)

    def _give_up_all(self, why: str) -> None:
        for shard in list(self.owned):
            self._give_up(shard, why)
        self.records.stale = True

    def _give_up(self, shard: int, why: str) -> None:
        """Stop owning a shard; what is in flight ends, but nothing new starts."""
        del self.owned[shard]
        self.records.stale = True
        self.ctx.audit("shard-lost", f"{self.service}/{shard}: {why}")

    def _announce_owned(self, now: float) -> None:
        claims = tuple(
            messages.ShardClaim(shard=shard, epoch=owned.epoch)
            for shard, owned in sorted(self.owned.items())
        )
        self.members.change_own(now, shards=claims)

    def _other_holders(self) -> list[str]:
        """Return the other boxes that hold a lease and take work."""
        found = []
        for box, lease_record in self.records.lease_records.items():
            peer = self.members.peers.get(box)
            if lease_record.fence or peer is None or not peer.takes_work:
                continue
            if peer.member.incarnation == lease_record.incarnation:
                found.append(box)
        return found

    def _seen_recently(self, now: float) -> bool:
        """Return whether a box of the service lives that may have no lease yet."""
        return any(
            peer.takes_work
            and peer.member.service == self.service
            and now - peer.last_message < RECENT_PEER_TIMEOUT_S
            for peer in self.members.peers.values()
        )
