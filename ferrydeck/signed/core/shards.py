"""Ownership of shards: which box may start requests that must not run twice.

`leases` and `shard_records` mirror the platform's state; `handover` receives the key
tables of previous owners.

A shard record in the platform names one holder and an epoch and changes only by
compare-and-swap. The holder accepts new keys while its lease is valid. A box that
takes over without the key table refuses unknown keys during a quarantine.
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
MAX_LIST_INTERVAL_S = 3.0
"""Maximum time between reads of all leases, however long a lease is."""
RENEWALS_PER_RECORD_LIST = 10
"""Renewals after which the shard records are read even if nothing changed."""
MAX_CONCURRENT_MOVES = 8
"""Shards in handover at a time; requests with new keys wait meanwhile."""
RECENT_PEER_TIMEOUT_S = 5.0
"""How long after its last message a box is expected to acquire a lease."""
TRANSFER_ID_BITS = 53


@attrs.define(kw_only=True, frozen=True)
class LeaseTimer:
    """Fires when the lease may need a renewal."""


@attrs.define(kw_only=True, frozen=True)
class RebalanceTimer:
    """Fires when shard ownership is to be rebalanced."""


@attrs.define(kw_only=True)
class ShardOwner:
    """Acquires, hands over and gives up the shards of this box's service."""

    ctx: context.Context
    members: membership.Membership
    table: keys.KeyTable
    lease: leases.Lease = attrs.field(init=False)
    owned: dict[int, ownership.OwnedShard] = attrs.Factory(dict)
    records: shard_records.ShardRecords = attrs.field(init=False)
    _incoming: handover.IncomingTables = attrs.Factory(handover.IncomingTables)
    _renewals: int = 0

    def __attrs_post_init__(self) -> None:
        self.lease = leases.Lease(ctx=self.ctx)
        self.records = shard_records.ShardRecords(ctx=self.ctx, lease=self.lease)

    @property
    def service(self) -> str:
        """The service of the target beside this daemon."""
        return self.ctx.identity.service

    @property
    def needs_shards(self) -> bool:
        """Return whether the bundle has non-repeatable routes to this service."""
        active = self.ctx.active
        return active is not None and self.service in active.once_services

    def can_leave(self, now: float) -> bool:
        """Return whether this box owns no shard that another box could take over."""
        if not self.owned:
            return True
        return not self._other_holders() and not self._seen_recently(now)

    def start(self, now: float) -> None:
        """Start lease renewal and rebalancing."""
        if self.service:
            self.ctx.schedule(now, LeaseTimer())
            self.ctx.schedule(now, RebalanceTimer())

    def key_authority(
        self, now: float, shard: int
    ) -> ownership.AllKeys | ownership.KnownKeys | ownership.NotOwner:
        """Return which keys of a shard this box may answer for."""
        owned = self.owned.get(shard)
        if owned is None and self._incoming.ownership_pending(now, shard):
            return ownership.MOVING
        if owned is None:
            owner = self.records.owner_box(shard)
            return ownership.NotOwner(reason=messages.Reason.NOT_OWNER, owner=owner)
        if not self.lease.valid(now):
            return ownership.NotOwner(reason=messages.Reason.NO_LEASE, owner="")
        moving = owned.move is not ownership.Move.NONE
        if moving or self.ctx.leaving and self._other_holders():
            return ownership.MOVING
        if now < owned.quarantine_until:
            left_s = owned.quarantine_until - now
            reason = messages.Reason.QUARANTINE
            return ownership.KnownKeys(reason=reason, retry_after_s=left_s)
        return ownership.AllKeys()

    def may_start(self, now: float, shard: int) -> bool:
        """Return whether a queued request of the shard may still start."""
        return shard in self.owned and self.lease.valid(now)

    def apply_bundle(self, now: float) -> None:
        """Acquire the lease at once if the new bundle needs one."""
        if self.needs_shards and not self.lease.valid(now):
            self.lease.renew(now, self.ctx.active.bundle.once.lease_s)
            self.records.list_leases(now)

    def renew(self, now: float) -> None:
        """Renew the lease if due, and read the leases of all boxes."""
        once = self.ctx.active.bundle.once if self.ctx.active else None
        interval_s = once.lease_s / leases.RENEWALS_PER_LEASE if once else 1.0
        self.ctx.schedule(now + min(interval_s, MAX_LIST_INTERVAL_S), LeaseTimer())
        if not self.needs_shards or once is None:
            return
        self.lease.renew_if_due(now, once.lease_s)
        self.records.list_leases(now)
        self._renewals += 1
        if self.records.stale or self._renewals % RENEWALS_PER_RECORD_LIST == 0:
            self.records.list_shards(now)

    def rebalance(self, now: float) -> None:
        """Claim free shards assigned to this box; hand over those of other boxes."""
        self.ctx.schedule(now + REBALANCE_INTERVAL_S, RebalanceTimer())
        self.table.expire(now)
        if not self.needs_shards or not self.records.listed:
            return
        boxes = self._other_holders()
        if not self.ctx.leaving and self.lease.valid(now):
            boxes.append(self.own_box)
        assigned = shard_records.assign_shards(self.service, tuple(sorted(boxes)))
        for shard in range(bundles.SHARD_COUNT):
            if shard in self.owned:
                self._rebalance_owned(now, shard, assigned.get(shard, ""))
            elif assigned.get(shard) == self.own_box:
                self._claim_free(now, shard)

    @property
    def own_box(self) -> str:
        """The name of this box."""
        return self.ctx.identity.box

    def handle_result(
        self, now: float, request: platform.Request, result: platform.Result
    ) -> bool:
        """Handle a platform result; return whether it concerns leases or shards."""
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
        """Give up shards that another box claims with a higher epoch."""
        if member.service != self.service or member.box == self.own_box:
            return
        if self.needs_shards and member.box not in self.records.lease_records:
            self.records.list_leases(now)
        for claim in member.shards:
            owned = self.owned.get(claim.shard)
            if owned is not None and claim.epoch > owned.epoch:
                self._give_up(claim.shard, f"{member.box} claims epoch {claim.epoch}")

    def handle_table_part(self, now: float, box: str, part: messages.ShardHand) -> None:
        """Store a part of a key table; confirm the table when all parts are here."""
        if part.service != self.service or self.ctx.leaving:
            return
        incoming = self._incoming.add(part)
        peer = self.members.peers.get(box)
        if len(incoming.parts) < part.parts or peer is None:
            return
        if not self.lease.valid(now):
            return
        confirmation = messages.ShardTaken(
            service=part.service,
            shard=part.shard,
            epoch=part.epoch,
            sending=part.sending,
            holder=self.lease.holder,
        )
        incoming.confirmed_at = now
        self.members.send(peer, confirmation)
        self.records.stale = True

    def handle_table_confirmed(
        self, now: float, box: str, message: messages.ShardTaken
    ) -> None:
        """Write the new owner to the shard record, now that it has the table."""
        owned = self.owned.get(message.shard)
        if owned is None or owned.move is not ownership.Move.SENT:
            return
        if owned.move_to != box or message.sending != owned.transfer_id:
            return
        owned.move = ownership.Move.SWAPPING
        owned.successor_holder = message.holder
        self._swap_to_successor(now, message.shard, owned)

    def handle_ownership_notice(self, now: float, message: messages.ShardYours) -> None:
        """Take ownership of a shard whose previous owner has changed its record."""
        if message.service != self.service:
            return
        if self._incoming.has_transfer(message.shard, message.sending):
            self._take_ownership(now, message.shard, message.epoch, message.sending)

    def _rebalance_owned(self, now: float, shard: int, assigned: str) -> None:
        owned = self.owned[shard]
        match owned.move:
            case ownership.Move.NONE:
                self._start_move(now, shard, owned, assigned)
            case ownership.Move.DRAINING:
                self._send_table(now, shard, owned)
            case ownership.Move.SENT if now - owned.sent_at > handover.STEP_TIMEOUT_S:
                owned.move = ownership.Move.NONE
                self.ctx.count("shard_moves", "timeout")
            case ownership.Move.SWAPPING:
                self._swap_to_successor(now, shard, owned)

    def _start_move(
        self, now: float, shard: int, owned: ownership.OwnedShard, assigned: str
    ) -> None:
        if now < owned.quarantine_until and not self.ctx.leaving:
            return
        moving = sum(one.move is not ownership.Move.NONE for one in self.owned.values())
        if assigned in ("", self.own_box) or moving >= MAX_CONCURRENT_MOVES:
            return
        if shard not in self.records.known:
            self.records.stale = True
            return
        owned.move = ownership.Move.DRAINING
        owned.move_to = assigned
        self._send_table(now, shard, owned)

    def _send_table(self, now: float, shard: int, owned: ownership.OwnedShard) -> None:
        """Send the key table if none of its requests is in flight."""
        if self.table.has_in_flight(shard):
            return
        peer = self.members.peers.get(owned.move_to)
        if peer is None or not peer.accepts_work:
            owned.move = ownership.Move.NONE
            return
        owned.transfer_id = self.ctx.rng.getrandbits(TRANSFER_ID_BITS)
        entries = self.table.export_shard(shard, now)
        for part in handover.split_table(self.service, shard, owned, entries, now):
            self.members.send(peer, part)
        owned.move = ownership.Move.SENT
        owned.sent_at = now

    def _claim_free(self, now: float, shard: int) -> None:
        known = self.records.known.get(shard)
        if known is None:
            self.records.write(now, shard, self.lease.holder, 1)
            return
        if known.record.holder == self.lease.holder:
            self._own_by_record(now, shard, known.record)
            return
        holder = leases.parse_holder(known.record.holder)
        if self.records.check_dead(now, holder):
            self.records.write(now, shard, self.lease.holder, known.record.epoch + 1)

    def _swap_to_successor(
        self, now: float, shard: int, owned: ownership.OwnedShard
    ) -> None:
        """Write the new holder to the shard record, repeatedly until it is confirmed.

        A write whose answer was lost may still take effect, so this box must not
        accept new keys again: the new holder may own the shard at any moment.
        """
        self.records.write(
            now, shard, owned.successor_holder, owned.epoch + 1, owned.transfer_id
        )

    def _apply_record(self, now: float, shard: int) -> None:
        """Take, hand over or give up a shard as its record now requires."""
        record = self.records.known[shard].record
        held = self.owned.get(shard)
        if held is None:
            if record.holder == self.lease.holder:
                self._own_by_record(now, shard, record)
            return
        if record.epoch <= held.epoch:
            return
        if held.move is ownership.Move.SWAPPING and record.sending == held.transfer_id:
            self._complete_move(now, shard, held, record)
            return
        self._give_up(shard, f"record names {record.holder}")

    def _own_by_record(
        self, now: float, shard: int, record: shard_records.ShardRecord
    ) -> None:
        first = self.records.created_here(shard, record)
        quarantine_s = 0.0 if first else record.quarantine_s
        self._take_ownership(now, shard, record.epoch, record.sending, quarantine_s)

    def _take_ownership(
        self,
        now: float,
        shard: int,
        epoch: int,
        transfer_id: int,
        quarantine_s: float = 0.0,
    ) -> None:
        """Take ownership, with the table that was handed over or else in quarantine."""
        if shard in self.owned:
            return
        incoming = self._incoming.pop(shard, transfer_id)
        self.table.drop_shard(shard)
        origin = "fresh"
        if incoming is not None:
            origin = "with its table"
            quarantine_s = incoming.quarantine_s
            for entries in incoming.parts.values():
                self.table.import_entries(entries, now)
        until = now + quarantine_s
        self.owned[shard] = ownership.OwnedShard(epoch=epoch, quarantine_until=until)
        if quarantine_s:
            origin += f", in quarantine for {quarantine_s:g} s"
        self.ctx.audit("shard-owned", f"{self.service}/{shard} epoch {epoch} {origin}")
        self._announce_owned(now)

    def _complete_move(
        self,
        now: float,
        shard: int,
        owned: ownership.OwnedShard,
        record: shard_records.ShardRecord,
    ) -> None:
        """Release a shard whose record names the new holder, and notify that box."""
        del self.owned[shard]
        self.table.drop_shard(shard)
        detail = f"{self.service}/{shard} to {owned.move_to} epoch {record.epoch}"
        self.ctx.audit("shard-handed", detail)
        peer = self.members.peers.get(owned.move_to)
        if peer is not None:
            notice = messages.ShardYours(
                service=self.service,
                shard=shard,
                epoch=record.epoch,
                sending=record.sending,
            )
            self.members.send(peer, notice)
        self._announce_owned(now)

    def _give_up_all(self, reason: str) -> None:
        for shard in list(self.owned):
            self._give_up(shard, reason)
        self.records.stale = True

    def _give_up(self, shard: int, reason: str) -> None:
        """Stop owning a shard: running requests finish, but no new ones start."""
        del self.owned[shard]
        self.records.stale = True
        self.ctx.audit("shard-lost", f"{self.service}/{shard}: {reason}")

    def _announce_owned(self, now: float) -> None:
        claims = tuple(
            messages.ShardClaim(shard=shard, epoch=owned.epoch)
            for shard, owned in sorted(self.owned.items())
        )
        self.members.update_own_record(now, shards=claims)

    def _other_holders(self) -> list[str]:
        """Return the other boxes that hold a lease and accept work."""
        found = []
        for box, lease_record in self.records.lease_records.items():
            peer = self.members.peers.get(box)
            if lease_record.fence or peer is None or not peer.accepts_work:
                continue
            if peer.member.incarnation == lease_record.incarnation:
                found.append(box)
        return found

    def _seen_recently(self, now: float) -> bool:
        """Return whether a live box of the service may still acquire a lease."""
        return any(
            peer.accepts_work
            and peer.member.service == self.service
            and now - peer.last_message < RECENT_PEER_TIMEOUT_S
            for peer in self.members.peers.values()
        )
