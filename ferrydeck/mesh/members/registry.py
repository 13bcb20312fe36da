"""Keeps this box's record in the store, and reads the policy and the other records.

Each step requests whatever is due and not yet requested; there is no queue of calls.
After a failed call only one cheap call at a time probes whether the store is back,
since the store charges for rejected calls too.

Owns the lease, the revisions and the schedule of the calls; the driver makes them. New
policies go to `policy_distribution`, records to `peer_table`. A change of the store's
era discards every lease and revision from before it.
"""

from __future__ import annotations

import typing
from collections.abc import Callable

import attrs

from ferrydeck.mesh import context, effects, policy, store
from ferrydeck.mesh.teams import policy_freshness

LEASE_TTL_S = 30.0
"""Lifetime of this box's record without renewal, seconds; outlasts most outages."""
LEASE_RENEWAL_INTERVAL_S = 2.0
"""Seconds between renewals. A record that lapsed while the store was away has to be
back two seconds after its return; a renewal costs a tenth of a call."""
MIN_READ_INTERVAL_S = 1.0
"""Seconds from the first read of the records to the second; doubles with each read."""
MAX_READ_INTERVAL_S = 5.0
"""Upper limit of that interval; changes arrive on links, records only add daemons."""
MISSING_TIMEOUT_S = 5.0
"""Seconds after the write from which a read without this box's record means that the
record was deleted; longer than the age of a stale read, up to three seconds."""
POLICY_WATCH_TIMEOUT_S = 10.0
"""Duration of one watch of the policy, seconds; a watch on a broken connection
receives nothing for that long, and other daemons announce a change sooner."""
MAX_POLICY_WATCHERS = 4
"""Daemons of a data centre that watch the policy. The others receive it on links, and
watch for themselves while their data centre is cut off."""
MIN_WATCH_INTERVAL_S = 0.4
"""Seconds from a policy change to the next watch, so that one call covers a burst of
changes; a change must be in force within two seconds."""
WATCH_START_DELAY_S = 1.0
"""Seconds from the start to the first watch; the links are up by then."""
CONFIRMATION_INTERVAL_S = 1.0
"""Age of a confirmation, seconds, at which the first daemon of a data centre requests a
new one. Requests with keys have to be served for three seconds after a daemon has lost
the store, and none may run after five; when it is lost, its confirmation is one to one
and a half seconds old."""
CONFIRMATION_STAGGER_S = 0.25
"""Additional delay of each further daemon of a data centre, seconds; most receive the
confirmation that the daemon before them requested."""
MAX_STAGGER_RANK = 6
"""Rank from which the delay no longer grows, so that confirmations stay fresh."""
MIN_RETRY_DELAY_S = 0.25
"""Delay before the first retry of a failed call, seconds; doubles with each failure."""
MAX_RETRY_DELAY_S = 0.5
"""Upper limit of that delay. With the timeout of a call of 1.5 s, records are back two
seconds after the return of the store."""
MAX_REJECTED_CALL_INTERVAL_S = 1.7
"""Upper limit of the time between calls that are rejected at once, seconds. The store
charges for them: at half a second, 68 boxes that it rejected for nine seconds made a
third of the calls of a day of 194 boxes."""


@attrs.define(kw_only=True)
class Registry:
    """Keeps this box's record in the store, and reads other records and the policy."""

    ctx: context.Context
    on_policy: Callable[[float, policy.Policy, str], None]
    on_records: Callable[[float, tuple[store.BoxRecord, ...]], None]
    data_centre_rank: Callable[[], int]
    """Returns how many linked daemons of this data centre precede this one."""
    is_partitioned: Callable[[], bool]
    """Returns whether other data centres are known, but none is linked."""
    any_link_up: Callable[[], bool]
    """Returns whether a link to any other daemon is up."""
    policy_freshness: policy_freshness.PolicyFreshness
    reachable: bool = False
    """Whether the last call was answered."""
    last_answer_at: float = -1e9
    era: int = 0
    """The newest era stated by the store; 0 for none."""
    policy_revision: int | None = None
    """The revision from which the policy is watched; `None` if it is to be read."""
    records_read: bool = False
    has_restarted: bool = False
    """Whether the first read had a record of an earlier daemon of this box."""
    _is_probing: bool = False
    """Whether the last call failed, so that only probes are sent."""
    _outstanding: dict[type, store.Request] = attrs.Factory(dict)
    """Unanswered requests, at most one of each type."""
    _last_request_at: float = 0.0
    _last_step_at: float = 0.0
    _started_at: float = 0.0
    _retry_at: float = 0.0
    """No call is made before this time."""
    _retry_delay_s: float = MIN_RETRY_DELAY_S
    _lease: int = 0
    """The lease of this box's record; 0 for none."""
    _next_renewal_at: float = 0.0
    _written_at: float | None = None
    _next_read_at: float = 0.0
    _unreadable_records: int = 0
    """Entries that could not be parsed as records at the last read."""
    _read_delay_s: float = MIN_READ_INTERVAL_S
    _allow_stale_records: bool = True
    """Whether the next read of the records may return data that is seconds old."""
    _next_watch_at: float = 0.0
    _watch_started_at: float = 0.0
    _allow_stale_policy: bool = True
    """Whether the next read of the policy may return data that is seconds old."""

    def start(self, now: float) -> None:
        """Read the policy and the records, and write this box's own."""
        self._started_at = now
        self.step(now)

    def step(self, now: float) -> None:
        """Make the calls that are due."""
        self._last_step_at = now
        if self.ctx.stopping or now < self._retry_at:
            return
        if self._is_probing:
            if not self._outstanding.keys() & {store.KeepLease, store.ReadBoxes}:
                self._probe_store()
            return
        self._request_policy(now)
        self._request_confirmation(now)
        self._maintain_record(now)
        if now >= self._next_read_at:
            self._send_request(store.ReadBoxes(stale=self._allow_stale_records))

    def answer_received(
        self, now: float, request: store.Request, result: store.Result, era: int
    ) -> None:
        """Handle the store's answer and the era that it states (0 for none)."""
        is_outstanding = self._outstanding.get(type(request)) is request
        if is_outstanding:
            del self._outstanding[type(request)]
        if isinstance(result, store.NoAnswer):
            if is_outstanding:
                self._call_failed(now, result, now - self._last_request_at)
            return
        self._call_answered(now)
        if era > self.era:
            self._switch_era(era)
        if self._is_from_other_era(request, era):
            self._handle_outdated_answer(now, request, result)
        else:
            self._handle_answer(now, request, result)
        self.step(now)

    def _handle_answer(
        self, now: float, request: store.Request, result: store.Result
    ) -> None:
        """Handle an answer of the newest era."""
        match request:
            case store.ReadPolicy() | store.WatchPolicy():
                self._handle_policy(now, result)
            case store.ProvePolicy():
                self._handle_confirmation(now, request, result)
            case store.ReadBoxes():
                self._handle_records(now, request, result)
            case store.GrantLease():
                self._handle_lease_grant(now, result)
            case store.KeepLease(lease=lease) | store.PutBox(lease=lease):
                if lease == self._lease:
                    self._handle_lease_use(now, request, result)

    def policy_watch_age_s(self, now: float) -> float:
        """Return the age of the running policy watch, seconds; -1 for none."""
        is_watching = store.WatchPolicy in self._outstanding
        return now - self._watch_started_at if is_watching else -1.0

    def _switch_era(self, era: int) -> None:
        """Discard leases and revisions of the earlier era.

        The policy in force stays: it is valid in the new era too.
        """
        if self.era:
            self.ctx.note(
                "store-era",
                outcome="changed",
                era=era,
                old=self.era,
                revision=self.policy_revision,
                lease=self._lease,
            )
            self._allow_stale_policy = False
        self.era = era
        self.policy_revision = None
        self._next_watch_at = 0.0
        if self.ctx.policy is not None:
            self.ctx.policy.revision = 0
        self._lease = 0
        self._written_at = None
        for request_type in typing.get_args(store.EraScoped):
            self._outstanding.pop(request_type, None)

    def _is_from_other_era(self, request: store.Request, era: int) -> bool:
        """Return whether an answer, or the number in its request, is of another era.

        Answers may be delayed from before the store was restored; one without an era
        counts as one of the newest era.
        """
        if not era:
            return False
        if era != self.era:
            return True
        return isinstance(request, store.EraScoped) and request.era != era

    def _handle_outdated_answer(
        self, now: float, request: store.Request, result: store.Result
    ) -> None:
        """Use only the policy of an answer of another era."""
        match request:
            case store.ReadBoxes():
                self._allow_stale_records = False
            case store.ReadPolicy():
                self._allow_stale_policy = False
        if isinstance(result, store.PolicyFound):
            if result.policy is not None:
                result.policy.revision = 0
            self._pass_on_policy(now, result)

    def _pass_on_policy(self, now: float, found: store.PolicyFound) -> None:
        if found.fault:
            self.ctx.note("policy-rejected", reason=found.fault, source="store")
        if found.policy is not None:
            self.on_policy(now, found.policy, "store")

    def _request_policy(self, now: float) -> None:
        if self._outstanding.keys() & {store.ReadPolicy, store.WatchPolicy}:
            return
        if not self._policy_request_due(now):
            return
        if self.policy_revision is None:
            self._send_request(store.ReadPolicy(stale=self._allow_stale_policy))
            return
        self._watch_started_at = now
        self._send_request(
            store.WatchPolicy(
                after=self.policy_revision, wait_s=POLICY_WATCH_TIMEOUT_S, era=self.era
            )
        )

    def _policy_request_due(self, now: float) -> bool:
        if self.ctx.policy is None:
            return True
        if now < self._next_watch_at:
            return False
        if now - self._started_at < WATCH_START_DELAY_S:
            return False
        # In a partition, the watchers may have lost the store and announce nothing.
        return self.data_centre_rank() < MAX_POLICY_WATCHERS or self.is_partitioned()

    def _request_confirmation(self, now: float) -> None:
        """Ask whether the policy is still the newest, if keys depend on it."""
        current = self.ctx.policy
        if current is None or not current.teams or self.policy_freshness.ttl_s is None:
            return
        if store.ProvePolicy in self._outstanding:
            return
        overdue_s = self.policy_freshness.age_s(now) - CONFIRMATION_INTERVAL_S
        if overdue_s < 0:
            return
        if overdue_s < CONFIRMATION_STAGGER_S * min(
            self.data_centre_rank(), MAX_STAGGER_RANK
        ):
            return
        self._send_request(
            store.ProvePolicy(
                version=current.version,
                revision=current.revision,
                era=self.era,
                asked_at=now,
            )
        )

    def _maintain_record(self, now: float) -> None:
        """Request a lease, write the record under it, or renew the lease."""
        if not self._lease:
            self._send_request(store.GrantLease(ttl_s=LEASE_TTL_S))
        elif self._written_at is None:
            self._send_request(
                store.PutBox(record=self._record(), lease=self._lease, era=self.era)
            )
        elif now >= self._next_renewal_at:
            self._send_request(store.KeepLease(lease=self._lease, era=self.era))

    def _probe_store(self) -> None:
        """Make the cheapest call, to find out whether the store is back."""
        if self._lease:
            self._send_request(store.KeepLease(lease=self._lease, era=self.era))
        else:
            self._send_request(store.ReadBoxes(stale=True))

    def _handle_policy(self, now: float, result: store.Result) -> None:
        if isinstance(result, store.HistoryGone):
            # A stale read may return a revision that the store has discarded too.
            self.policy_revision = None
            self._allow_stale_policy = False
            return
        if not isinstance(result, store.PolicyFound):
            return
        self.policy_revision = max(self.policy_revision or 0, result.at)
        self._pass_on_policy(now, result)
        if result.policy is not None:
            self._next_watch_at = now + MIN_WATCH_INTERVAL_S

    def _handle_confirmation(
        self, now: float, request: store.ProvePolicy, result: store.Result
    ) -> None:
        match result:
            case store.PolicyProved():
                self._add_confirmation(request.version, request.asked_at)
            case store.PolicyFound(policy=found) if found is not None:
                self._handle_policy(now, result)
                self._update_revision(found)
                # A store with an older policy than the one in force has lost changes,
                # possibly a newer policy too.
                if found.version >= self.ctx.version:
                    self._add_confirmation(found.version, request.asked_at)
            case store.PolicyFound(fault=fault):
                self.ctx.note("policy-rejected", reason=fault, source="store")

    def _add_confirmation(self, version: int, asked_at: float) -> None:
        """Record a confirmation, whose age counts from the time of its request."""
        self.policy_freshness.add_confirmation(self.ctx.version, version, asked_at)

    def _update_revision(self, found: policy.Policy) -> None:
        """Set the revision of the policy in force, which another daemon sent."""
        current = self.ctx.policy
        if current is not None and current.version == found.version:
            current.revision = found.revision

    def _handle_records(
        self, now: float, request: store.ReadBoxes, result: store.Result
    ) -> None:
        if not isinstance(result, store.BoxesFound):
            return
        if not self.records_read:
            self.records_read = True
            self.has_restarted = self._has_earlier_record(result.records)
        if result.odd != self._unreadable_records:
            self._unreadable_records = result.odd
            self.ctx.note("records", outcome="odd", count=result.odd)
        self.on_records(now, result.records)
        if request.stale and not self._allow_stale_records:
            return
        self._allow_stale_records = True
        self._next_read_at = now + self._read_delay_s * (
            0.8 + 0.4 * self.ctx.rng.random()
        )
        self._read_delay_s = min(MAX_READ_INTERVAL_S, 2 * self._read_delay_s)
        has_own = any(one.box == self.ctx.identity.box for one in result.records)
        expected = (
            self._written_at is not None and now - self._written_at > MISSING_TIMEOUT_S
        )
        if expected and not has_own:
            self.ctx.note("record-lost", reason="missing", lease=self._lease)
            self._written_at = None

    def _has_earlier_record(self, records: tuple[store.BoxRecord, ...]) -> bool:
        own = self.ctx.identity
        return any(
            one.box == own.box and one.incarnation != own.incarnation for one in records
        )

    def _handle_lease_grant(self, now: float, result: store.Result) -> None:
        if isinstance(result, store.Leased):
            self._lease = result.lease
            self._next_renewal_at = now + LEASE_RENEWAL_INTERVAL_S
            self._written_at = None

    def _handle_lease_use(
        self,
        now: float,
        request: store.KeepLease | store.PutBox,
        result: store.Result,
    ) -> None:
        """Handle the answer to a call that used the current lease."""
        if isinstance(result, store.LeaseOver):
            self.ctx.note("lease-lost", reason="over", lease=self._lease)
            self._lease = 0
            return
        if isinstance(request, store.KeepLease):
            self._next_renewal_at = now + LEASE_RENEWAL_INTERVAL_S
            return
        self._written_at = now
        if not self.any_link_up():
            # When two daemons start together, the later writer finds the other's
            # record, provided that its read is not stale.
            self._allow_stale_records = False
            self._next_read_at = now

    def _record(self) -> store.BoxRecord:
        identity = self.ctx.identity
        return store.BoxRecord(
            box=identity.box,
            incarnation=identity.incarnation,
            address=identity.address,
            data_centre=identity.data_centre,
            service=identity.service,
        )

    def _call_failed(self, now: float, result: store.NoAnswer, took_s: float) -> None:
        if self.reachable:
            self.ctx.note("store-lost", reason=result.detail)
        self.reachable = False
        self._is_probing = True
        max_delay_s = max(MAX_RETRY_DELAY_S, MAX_REJECTED_CALL_INTERVAL_S - took_s)
        self._retry_delay_s = min(max_delay_s, self._retry_delay_s)
        self._retry_at = now + self._retry_delay_s * (0.5 + self.ctx.rng.random() / 2)
        self._retry_delay_s *= 2

    def _call_answered(self, now: float) -> None:
        if not self.reachable:
            self.ctx.note(
                "store-regained", silent_s=round(now - self.last_answer_at, 3)
            )
        if self._is_probing:
            # An earlier watch may be waiting on a broken connection.
            self._outstanding.pop(store.WatchPolicy, None)
        self.reachable = True
        self._is_probing = False
        self._retry_at = 0.0
        self._retry_delay_s = MIN_RETRY_DELAY_S
        self.last_answer_at = now

    def _send_request(self, request: store.Request) -> None:
        if type(request) in self._outstanding:
            return
        self._outstanding[type(request)] = request
        self._last_request_at = self._last_step_at
        self.ctx.emit(effects.CallStore(request=request))
