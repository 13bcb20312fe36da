"""What this daemon does in the platform's store: it reads the policy and the records of
the other daemons, and keeps its own record under a lease.

Calls are made from state, not from a queue: each step requests what is due and not yet
requested. While the store does not answer, only one cheap call probes whether it is
back; calls are priced, rejected ones too.

Owns the lease, the revisions and the times of the calls; relies on its driver to make
them, and hands policies to `policy_distribution` and records to `peer_table`. When the
store's era changes, all numbers that it gave before are dropped.
"""

from __future__ import annotations

import typing
from collections.abc import Callable

import attrs

from ferrydeck.mesh import context, effects, policy, store
from ferrydeck.mesh.teams import policy_freshness

LEASE_S = 30.0
"""Life of this box's record without a renewal, seconds: longer than the outages of the
store that the users have had, so that most pass without a trace."""
RENEW_EVERY_S = 2.0
"""Pause between renewals, seconds: the users want records that lapsed while the store
was away back two seconds after its return, and a renewal costs a tenth of a call."""
BOXES_FIRST_S = 1.0
BOXES_EVERY_S = 5.0
"""Pause between reads of the records, doubled from the first figure to the second,
seconds. Changes come at once on links; the records only join daemons that know
nothing of each other."""
MISSING_S = 5.0
"""A stale read that lacks this box's record this long after it was written shows
that it was taken away, seconds; such reads are up to three seconds old."""
POLICY_WAIT_S = 10.0
"""How long one watch of the policy waits, seconds. A watch whose connection was cut
receives nothing for that long; other daemons announce a change sooner."""
WATCHERS = 4
"""Daemons of a data centre that watch the policy; the others receive it on links, and
watch for themselves while their data centre is cut off."""
GATHER_S = 0.4
"""Pause before the policy is asked for anew after a change, seconds: changes that come
together then cost one call. The users want a change in force within two seconds."""
WATCH_AFTER_S = 1.0
"""From the start until a daemon with a policy may watch, seconds: its links, which
show how many others do, take less."""
CONFIRM_AGE_S = 1.0
"""Age of the confirmation that the policy is the newest at which the first daemon of a
data centre asks for a new one, seconds. Requests with keys are to be served for three
seconds after a daemon has lost its way to the store, and none are to run after five:
with the passing on, confirmations are then one to one and a half seconds old when it is
lost."""
CONFIRM_STAGGER_S = 0.25
"""How much later each further daemon of a data centre asks, seconds: by then it has
mostly received the confirmation that the one before got."""
CONFIRM_RANKS = 6
"""Daemons after which pauses grow no longer, so that a confirmation never gets too old
while any daemon that can be reached can ask."""
RETRY_S = 0.25
RETRY_MOST_S = 0.5
"""Pause after a call that was not answered, doubled up to the second figure, seconds:
with the client's limit of 1.5 s, records are back two seconds after the store's
return."""
REJECTED_S = 1.7
"""The longest time from one call that was rejected at once to the next, seconds.
Rejected calls are priced as well: at half a second, 68 of 194 boxes that the store
rejected for nine seconds made 1,500 of the day's 4,155 priced calls."""


@attrs.define(kw_only=True)
class Registry:
    """Keeps this box's record in the store, reads the others' and the policy."""

    ctx: context.Context
    on_policy: Callable[[float, policy.Policy, str], None]
    on_records: Callable[[float, tuple[store.BoxRecord, ...]], None]
    data_centre_rank: Callable[[], int]
    """Returns how many linked daemons of this data centre come before this one."""
    is_partitioned: Callable[[], bool]
    """Returns whether no daemon of another data centre is linked, though some are
    known."""
    any_link_up: Callable[[], bool]
    """Returns whether this daemon is linked with any other one."""
    policy_freshness: policy_freshness.PolicyFreshness
    reachable: bool = False
    """Whether the last call was answered."""
    last_answer_at: float = -1e9
    era: int = 0
    """The newest era that the store has stated; 0 for none."""
    policy_revision: int | None = None
    """The revision from which the policy is watched; `None` where it is to be read."""
    records_read: bool = False
    """Whether the records were read at least once."""
    has_restarted: bool = False
    """Whether the first read had a record of an earlier daemon of this box."""
    _down: bool = False
    """Whether the last call failed, so that only one probes for the store's return."""
    _outstanding: dict[type, store.Request] = attrs.Factory(dict)
    """Requests without an answer, one a type."""
    _requested_at: float = 0.0
    """When the newest of them was made."""
    _stepped_at: float = 0.0
    """When it was last checked what is due."""
    _started: float = 0.0
    _quiet_until: float = 0.0
    _pause_s: float = RETRY_S
    _lease_id: int = 0
    _renew_at: float = 0.0
    _written_at: float | None = None
    _boxes_at: float = 0.0
    _unreadable: int = 0
    """Entries among the records that could not be read, at the last read."""
    _boxes_pause_s: float = BOXES_FIRST_S
    _boxes_may_be_stale: bool = True
    """Whether the next read of the records may be seconds old."""
    _policy_at: float = 0.0
    _watched_at: float = 0.0
    """When the watch of the policy was requested."""
    _policy_may_be_stale: bool = True
    """Whether the next read of the policy may be seconds old."""

    def start(self, now: float) -> None:
        """Read the policy and the records, and write this box's own."""
        self._started = now
        self.step(now)

    def step(self, now: float) -> None:
        """Request what is due; to be called often."""
        self._stepped_at = now
        if self.ctx.stopping or now < self._quiet_until:
            return
        if self._down:
            if not self._outstanding.keys() & {store.KeepLease, store.ReadBoxes}:
                self._probe()
            return
        self._step_policy(now)
        self._step_confirmation(now)
        self._step_record(now)
        if now >= self._boxes_at:
            self._request(store.ReadBoxes(stale=self._boxes_may_be_stale))

    def answer_received(
        self, now: float, request: store.Request, result: store.Result, era: int
    ) -> None:
        """Act on the store's answer, which states the store's era (0 for none)."""
        current = self._outstanding.get(type(request)) is request
        if current:
            del self._outstanding[type(request)]
        if isinstance(result, store.NoAnswer):
            if current:
                self._failed(now, result, now - self._requested_at)
            return
        self._reached(now)
        if era > self.era:
            self._era_changed(era)
        if self._of_another_era(request, era):
            self._act_on_outdated(now, request, result)
        else:
            self._act_on(now, request, result)
        self.step(now)

    def _act_on(self, now: float, request: store.Request, result: store.Result) -> None:
        """Act on an answer of the newest era."""
        match request:
            case store.ReadPolicy() | store.WatchPolicy():
                self._policy_answered(now, result)
            case store.ProvePolicy():
                self._confirmation_answered(now, request, result)
            case store.ReadBoxes():
                self._boxes_answered(now, request, result)
            case store.GrantLease():
                self._granted(now, result)
            case store.KeepLease(lease=lease) | store.PutBox(lease=lease):
                if lease == self._lease_id:
                    self._leased(now, request, result)

    def watch_age_s(self, now: float) -> float:
        """Return for how long the watch of the policy waits, seconds; -1 for none."""
        watched = store.WatchPolicy in self._outstanding
        return now - self._watched_at if watched else -1.0

    def _era_changed(self, era: int) -> None:
        """Drop all that hangs on numbers of an earlier era.

        The policy in force stays: what was accepted once is accepted again.
        """
        if self.era:
            self.ctx.note(
                "store-era",
                outcome="changed",
                era=era,
                old=self.era,
                revision=self.policy_revision,
                lease=self._lease_id,
            )
            self._policy_may_be_stale = False
        self.era = era
        self.policy_revision = None
        self._policy_at = 0.0
        if self.ctx.policy is not None:
            self.ctx.policy.revision = 0
        self._lease_id = 0
        self._written_at = None
        for kind in typing.get_args(store.Numbered):
            self._outstanding.pop(kind, None)

    def _of_another_era(self, request: store.Request, era: int) -> bool:
        """Return whether an answer, or the number it was asked with, is of another era.

        Such an answer may come late, from before the store was away. One that states
        no era is taken to be of the newest.
        """
        if not era:
            return False
        if era != self.era:
            return True
        return isinstance(request, store.Numbered) and request.era != era

    def _act_on_outdated(
        self, now: float, request: store.Request, result: store.Result
    ) -> None:
        """Take the policy of an answer that says nothing else of the newest era."""
        match request:
            case store.ReadBoxes():
                self._boxes_may_be_stale = False
            case store.ReadPolicy():
                self._policy_may_be_stale = False
        if isinstance(result, store.PolicyFound):
            if result.policy is not None:
                result.policy.revision = 0
            self._offer(now, result)

    def _offer(self, now: float, found: store.PolicyFound) -> None:
        if found.fault:
            self.ctx.note("policy-rejected", reason=found.fault, source="store")
        if found.policy is not None:
            self.on_policy(now, found.policy, "store")

    def _step_policy(self, now: float) -> None:
        if self._outstanding.keys() & {store.ReadPolicy, store.WatchPolicy}:
            return
        if not self._wants_policy(now):
            return
        if self.policy_revision is None:
            self._request(store.ReadPolicy(stale=self._policy_may_be_stale))
            return
        self._watched_at = now
        self._request(
            store.WatchPolicy(
                after=self.policy_revision, wait_s=POLICY_WAIT_S, era=self.era
            )
        )

    def _wants_policy(self, now: float) -> bool:
        if self.ctx.policy is None:
            return True
        if now < self._policy_at:
            return False
        if now - self._started < WATCH_AFTER_S:
            return False
        # Those who watch here may have lost the store, and nobody else tells of it.
        return self.data_centre_rank() < WATCHERS or self.is_partitioned()

    def _step_confirmation(self, now: float) -> None:
        """Ask whether the policy is still the newest, where keys depend on that."""
        held = self.ctx.policy
        if (
            held is None
            or not held.teams
            or self.policy_freshness.revocation_timeout_s is None
        ):
            return
        if store.ProvePolicy in self._outstanding:
            return
        age_s = self.policy_freshness.age_s(now) - CONFIRM_AGE_S
        if age_s < 0:
            return
        if age_s < CONFIRM_STAGGER_S * min(self.data_centre_rank(), CONFIRM_RANKS):
            return
        self._request(
            store.ProvePolicy(
                version=held.version,
                revision=held.revision,
                era=self.era,
                asked_at=now,
            )
        )

    def _step_record(self, now: float) -> None:
        """Request a lease, write the record under it, or renew the lease."""
        if not self._lease_id:
            self._request(store.GrantLease(ttl_s=LEASE_S))
        elif self._written_at is None:
            self._request(
                store.PutBox(record=self._record(), lease=self._lease_id, era=self.era)
            )
        elif now >= self._renew_at:
            self._request(store.KeepLease(lease=self._lease_id, era=self.era))

    def _probe(self) -> None:
        """Make the cheapest call there is, to see whether the store is back."""
        if self._lease_id:
            self._request(store.KeepLease(lease=self._lease_id, era=self.era))
        else:
            self._request(store.ReadBoxes(stale=True))

    def _policy_answered(self, now: float, result: store.Result) -> None:
        if isinstance(result, store.HistoryGone):
            # A stale read would lead to a revision that is forgotten as well.
            self.policy_revision = None
            self._policy_may_be_stale = False
            return
        if not isinstance(result, store.PolicyFound):
            return
        self.policy_revision = max(self.policy_revision or 0, result.at)
        self._offer(now, result)
        if result.policy is not None:
            self._policy_at = now + GATHER_S

    def _confirmation_answered(
        self, now: float, request: store.ProvePolicy, result: store.Result
    ) -> None:
        match result:
            case store.PolicyProved():
                self._confirmed(request.version, request.asked_at)
            case store.PolicyFound(policy=found) if found is not None:
                self._policy_answered(now, result)
                self._set_revision(found)
                # A store that holds an older policy has lost the one in force, and
                # perhaps a newer one.
                if found.version >= self.ctx.version:
                    self._confirmed(found.version, request.asked_at)
            case store.PolicyFound(fault=fault):
                self.ctx.note("policy-rejected", reason=fault, source="store")

    def _confirmed(self, version: int, asked_at: float) -> None:
        """Take a confirmation, which counts from when its question was sent."""
        self.policy_freshness.add_confirmation(self.ctx.version, version, asked_at)

    def _set_revision(self, found: policy.Policy) -> None:
        """Keep the revision of the policy in force, which another daemon sent."""
        held = self.ctx.policy
        if held is not None and held.version == found.version:
            held.revision = found.revision

    def _boxes_answered(
        self, now: float, request: store.ReadBoxes, result: store.Result
    ) -> None:
        if not isinstance(result, store.BoxesFound):
            return
        if not self.records_read:
            self.records_read = True
            self.has_restarted = self._earlier_record(result.records)
        if result.odd != self._unreadable:
            self._unreadable = result.odd
            self.ctx.note("records", outcome="odd", count=result.odd)
        self.on_records(now, result.records)
        if request.stale and not self._boxes_may_be_stale:
            return
        self._boxes_may_be_stale = True
        self._boxes_at = now + self._boxes_pause_s * (0.8 + 0.4 * self.ctx.rng.random())
        self._boxes_pause_s = min(BOXES_EVERY_S, 2 * self._boxes_pause_s)
        own = any(one.box == self.ctx.identity.box for one in result.records)
        written = self._written_at is not None and now - self._written_at > MISSING_S
        if written and not own:
            self.ctx.note("record-lost", reason="missing", lease=self._lease_id)
            self._written_at = None

    def _earlier_record(self, records: tuple[store.BoxRecord, ...]) -> bool:
        own = self.ctx.identity
        return any(
            one.box == own.box and one.incarnation != own.incarnation for one in records
        )

    def _granted(self, now: float, result: store.Result) -> None:
        if isinstance(result, store.Leased):
            self._lease_id = result.lease
            self._renew_at = now + RENEW_EVERY_S
            self._written_at = None

    def _leased(
        self,
        now: float,
        request: store.KeepLease | store.PutBox,
        result: store.Result,
    ) -> None:
        """Act on the answer to a call with the lease that is held."""
        if isinstance(result, store.LeaseOver):
            self.ctx.note("lease-lost", reason="over", lease=self._lease_id)
            self._lease_id = 0
            return
        if isinstance(request, store.KeepLease):
            self._renew_at = now + RENEW_EVERY_S
            return
        self._written_at = now
        if not self.any_link_up():
            # Of two daemons that start together, the one whose record comes later
            # sees the other's, if its read is not stale.
            self._boxes_may_be_stale = False
            self._boxes_at = now

    def _record(self) -> store.BoxRecord:
        identity = self.ctx.identity
        return store.BoxRecord(
            box=identity.box,
            incarnation=identity.incarnation,
            address=identity.address,
            data_centre=identity.data_centre,
            service=identity.service,
        )

    def _failed(self, now: float, result: store.NoAnswer, took_s: float) -> None:
        if self.reachable:
            self.ctx.note("store-lost", reason=result.detail)
        self.reachable = False
        self._down = True
        most_s = max(RETRY_MOST_S, REJECTED_S - took_s)
        self._pause_s = min(most_s, self._pause_s)
        self._quiet_until = now + self._pause_s * (0.5 + self.ctx.rng.random() / 2)
        self._pause_s *= 2

    def _reached(self, now: float) -> None:
        if not self.reachable:
            self.ctx.note(
                "store-regained", silent_s=round(now - self.last_answer_at, 3)
            )
        if self._down:
            # A watch from before may wait on a connection that is cut.
            self._outstanding.pop(store.WatchPolicy, None)
        self.reachable = True
        self._down = False
        self._quiet_until = 0.0
        self._pause_s = RETRY_S
        self.last_answer_at = now

    def _request(self, request: store.Request) -> None:
        if type(request) in self._outstanding:
            return
        self._outstanding[type(request)] = request
        self._requested_at = self._stepped_at
        self.ctx.emit(effects.AskStore(request=request))
