"""Simulated store with faults.

A restore from a backup loses later writes and reuses revisions and lease ids.
"""

from __future__ import annotations

import collections
from collections.abc import Callable

import attrs

from ferrydeck.mesh import events, policy
from ferrydeck.mesh import store as requests
from tests.mesh.simulation import box as boxes
from tests.mesh.simulation import timeline

STORE_LATENCY_S = 0.004
REQUEST_TIMEOUT_S = 1.0
"""Time after which a daemon gives up on a request to the store, seconds."""
LEASE_S = 30.0


@attrs.define(kw_only=True)
class Watch:
    """A daemon that watches the policy."""

    box: boxes.Box
    incarnation: int
    request: requests.WatchPolicy
    ends: float


@attrs.define(kw_only=True, frozen=True)
class Copy:
    """Backup of the store."""

    policy: policy.Policy | None
    records: dict[str, requests.BoxRecord]
    revision: int
    policy_revision: int
    leases: set[int]
    last_lease: int


@attrs.define(kw_only=True)
class Store:
    """Stores the policy, box records and leases, and serves daemons."""

    timeline: timeline.Timeline
    policy: policy.Policy | None = None
    records: dict[str, requests.BoxRecord] = attrs.Factory(dict)
    calls: collections.Counter[str] = attrs.Factory(collections.Counter)
    """Number of requests of daemons, by class."""
    up: bool = True
    cut: Callable[[boxes.Box], bool] = lambda box: False
    """Returns whether requests of a daemon get no answer."""
    rejects: Callable[[boxes.Box], bool] = lambda box: False
    """Returns whether requests of a daemon are rejected at once."""
    era: int = 1
    replica_era: int | None = None
    """Era stated in stale answers; `None` for the current one."""
    revision: int = 1
    _policy_revision: int = 0
    _leases: set[int] = attrs.Factory(set)
    _last_lease: int = 100
    _watches: list[Watch] = attrs.Factory(list)

    def set_policy(self, new: policy.Policy) -> None:
        """Write a policy."""
        self.policy = new
        self.revision += 1
        self._policy_revision = self.revision
        new.revision = self.revision
        self._answer_watches()

    def write(self, changes: int) -> None:
        """Make changes to keys that no daemon reads."""
        self.revision += changes
        self._answer_watches()

    def expire_leases(self) -> None:
        """Expire all leases, which deletes the records."""
        self._leases.clear()
        self.records.clear()

    def copy(self) -> Copy:
        """Return a backup of the store."""
        return Copy(
            policy=self.policy,
            records=dict(self.records),
            revision=self.revision,
            policy_revision=self._policy_revision,
            leases=set(self._leases),
            last_lease=self._last_lease,
        )

    def restore(self, copy: Copy, *, close_watches: bool = True) -> None:
        """Restore a backup in a new era; by default this ends all watches."""
        self.era += 1
        self.policy = copy.policy
        self.records = dict(copy.records)
        self.revision = copy.revision
        self._policy_revision = copy.policy_revision
        self._leases = set(copy.leases)
        self._last_lease = copy.last_lease
        if not close_watches:
            return
        waiting, self._watches = self._watches, []
        for watch in waiting:
            if watch.box.incarnation == watch.incarnation:
                lost = requests.NoAnswer(detail="connection ended")
                self._answer(watch.box, watch.request, lost)

    def ask(self, box: boxes.Box, request: requests.Request) -> None:
        """Answer the request of a daemon after the latency of the store."""
        incarnation = box.incarnation
        self.calls[type(request).__name__] += 1

        def serve() -> None:
            if box.incarnation == incarnation:
                self._serve(box, request)

        rejected = self.rejects(box)
        if rejected or not self.up or self.cut(box):
            result = requests.NoAnswer(detail="refused" if rejected else "down")
            self._answer(
                box, request, result, STORE_LATENCY_S if rejected else REQUEST_TIMEOUT_S
            )
            return
        self.timeline.after(STORE_LATENCY_S, serve)

    def _serve(self, box: boxes.Box, request: requests.Request) -> None:
        if isinstance(request, requests.WatchPolicy):
            self._watch(box, request)
            return
        result = self._result(request)
        stale = getattr(request, "stale", False) and self.replica_era is not None
        era = self.replica_era if stale else self.era
        answered = events.StoreAnswered(request=request, result=result, era=era)
        self.timeline.feed(box, answered)

    def _answer(
        self,
        box: boxes.Box,
        request: requests.Request,
        result: requests.Result,
        after_s: float = STORE_LATENCY_S,
    ) -> None:
        """Feed a result later; a failure states no era."""
        era = 0 if isinstance(result, requests.NoAnswer) else self.era
        answered = events.StoreAnswered(request=request, result=result, era=era)
        self.timeline.feed_later(box, answered, after_s)

    def _result(self, request: requests.Request) -> requests.Result:
        match request:
            case requests.ReadPolicy():
                return self._found()
            case requests.ProvePolicy(revision=revision):
                unchanged = revision == self._policy_revision
                return requests.PolicyProved() if unchanged else self._found()
            case requests.ReadBoxes():
                return requests.BoxesFound(records=tuple(self.records.values()))
            case requests.GrantLease(ttl_s=ttl_s):
                self._last_lease += 1
                self._leases.add(self._last_lease)
                return requests.Leased(lease=self._last_lease, ttl_s=ttl_s)
            case requests.KeepLease(lease=lease) | requests.PutBox(lease=lease) if (
                lease not in self._leases
            ):
                return requests.LeaseOver()
            case requests.KeepLease(lease=lease):
                return requests.Leased(lease=lease, ttl_s=LEASE_S)
            case requests.PutBox(record=record):
                self.records[record.box] = record
                self.revision += 1
                return requests.Done()

    def _found(self) -> requests.PolicyFound:
        if self.policy is None:
            return requests.PolicyFound(policy=None, at=self.revision)
        # Daemons set the revision of their policy, so each gets a copy.
        found = attrs.evolve(self.policy, revision=self._policy_revision)
        return requests.PolicyFound(policy=found, at=self.revision)

    def _watch(self, box: boxes.Box, request: requests.WatchPolicy) -> None:
        if request.after > self.revision:
            self._answer(box, request, requests.HistoryGone(), 0.0)
            return
        watch = Watch(
            box=box,
            incarnation=box.incarnation,
            request=request,
            ends=self.timeline.now + request.wait_s,
        )
        self._watches.append(watch)
        self.timeline.after(request.wait_s + STORE_LATENCY_S, self._answer_watches)
        self._answer_watches()

    def _answer_watches(self) -> None:
        waiting, self._watches = self._watches, []
        for watch in waiting:
            if watch.box.incarnation != watch.incarnation:
                continue
            if not self.up or self.cut(watch.box):
                result = requests.NoAnswer(detail="down")
            else:
                result = self._watched(watch)
            if result is None:
                self._watches.append(watch)
                continue
            self._answer(watch.box, watch.request, result)

    def _watched(self, watch: Watch) -> requests.Result | None:
        if self._policy_revision > watch.request.after:
            return self._found()
        if self.timeline.now >= watch.ends:
            return requests.PolicyFound(policy=None, at=self.revision)
        return None
