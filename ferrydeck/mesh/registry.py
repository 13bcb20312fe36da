"""What is kept in the platform's store: the policy, and how daemons are found."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from ferrydeck.mesh import effects, policy, runtime, store

LEASE_S = 30.0
"""Life of this box's record without a renewal, seconds: longer than the outages
of the store that the users' pages show, so that most pass without a trace."""
KEEP_EVERY_S = 10.0
POLICY_WAIT_S = 10.0
"""How long one watch of the policy waits, seconds. A watch that was cut without
a word hears nothing for that long; the other daemons tell sooner."""
BOXES_WAIT_S = 20.0
GATHER_S = 0.1
"""Pause before a watch is asked anew after a change, so that changes that come
together cost one call, seconds."""
RETRY_S = 0.25
RETRY_MOST_S = 1.0
"""Pause after a failed call, doubled up to the second figure, seconds: records
have to be back within two seconds of the store's return."""


@attrs.define(kw_only=True, frozen=True)
class AskTimer:
    """Time to send a request to the store."""

    request: store.Request


@attrs.define(kw_only=True)
class Registry:
    """Keeps this box's record, reads the others' and the policy."""

    rt: runtime.Runtime
    offer_policy: Callable[[float, policy.Policy, str], None]
    boxes_found: Callable[[float, tuple[store.BoxRecord, ...]], None]
    box_written: Callable[[float, store.BoxRecord], None]
    box_gone: Callable[[float, str], None]
    reached: bool = False
    """Whether the last call was answered."""
    answered_at: float = -1e9
    seen_boxes: bool = False
    """Whether the records were read at least once."""
    seen_policy: bool = False
    """Whether the policy was asked for and the store answered."""
    _lease: int = 0
    _boxes_at: int = 0
    _policy_at: int = 0
    _pauses: dict[type, float] = attrs.Factory(dict)

    def start(self, now: float) -> None:
        """Read the policy and the records, and write this box's own."""
        self._ask(store.ReadPolicy())
        self._ask(store.ReadBoxes())
        self._ask(store.GrantLease(ttl_s=LEASE_S))

    def leave(self) -> None:
        """Take this box's record out of the store."""
        if self._lease:
            self._ask(store.EndLease(lease=self._lease))
            self._lease = 0

    def due(self, request: store.Request) -> None:
        """Send a request whose time has come."""
        if isinstance(request, store.KeepLease) and request.lease != self._lease:
            return
        self._ask(request)

    def answered(
        self, now: float, request: store.Request, result: store.Result
    ) -> None:
        """Act on the store's answer."""
        if isinstance(result, store.NoAnswer):
            self._failed(now, request, result)
            return
        self._reached(now)
        self._pauses.pop(type(request), None)
        match request:
            case store.ReadPolicy() | store.WatchPolicy():
                self._policy_answered(now, request, result)
            case store.ReadBoxes() | store.WatchBoxes():
                self._boxes_answered(now, request, result)
            case store.GrantLease():
                self._granted(now, result)
            case store.KeepLease():
                self._kept(now, request, result)
            case store.PutBox():
                if isinstance(result, store.LeaseOver):
                    self._lease_over(now)
            case store.EndLease():
                pass

    def _policy_answered(
        self, now: float, request: store.Request, result: store.Result
    ) -> None:
        if isinstance(result, store.HistoryGone):
            self._ask(store.ReadPolicy())
            return
        if not isinstance(result, store.PolicyFound):
            return
        self.seen_policy = True
        self._policy_at = max(self._policy_at, result.at)
        if result.fault:
            self.rt.note("policy-rejected", reason=result.fault, source="store")
        if result.policy is not None:
            self.offer_policy(now, result.policy, "store")
        pause = GATHER_S if result.policy is not None else 0.0
        if isinstance(request, store.ReadPolicy) and self.rt.policy is None:
            pause = 0.0
        watch = store.WatchPolicy(after=self._policy_at, wait_s=POLICY_WAIT_S)
        self._ask_at(now + pause, watch)

    def _boxes_answered(
        self, now: float, request: store.Request, result: store.Result
    ) -> None:
        match result:
            case store.HistoryGone():
                self._ask(store.ReadBoxes())
                return
            case store.BoxesFound(records=records, at=at):
                self._boxes_at = at
                self.seen_boxes = True
                self.boxes_found(now, records)
                own = any(one.box == self.rt.identity.box for one in records)
                if self._lease and not own:
                    self._put()
            case store.BoxesChanged(written=written, gone=gone, at=at):
                self._boxes_at = max(self._boxes_at, at)
                self._take_changes(now, written, gone)
        watch = store.WatchBoxes(after=self._boxes_at, wait_s=BOXES_WAIT_S)
        self._ask_at(now + GATHER_S, watch)

    def _take_changes(
        self,
        now: float,
        written: tuple[store.BoxRecord, ...],
        gone: tuple[str, ...],
    ) -> None:
        for record in written:
            self.box_written(now, record)
        for box in gone:
            self.box_gone(now, box)
        if self.rt.identity.box in gone and not self.rt.stopping:
            # The lease may stand though the key was taken away.
            self._lease_over(now)

    def _granted(self, now: float, result: store.Result) -> None:
        if not isinstance(result, store.Leased) or self.rt.stopping:
            return
        self._lease = result.lease
        self._put()
        keep = min(KEEP_EVERY_S, result.ttl_s / 3)
        self._ask_at(now + keep, store.KeepLease(lease=self._lease))

    def _kept(self, now: float, request: store.KeepLease, result: store.Result) -> None:
        if request.lease != self._lease:
            return
        if isinstance(result, store.LeaseOver):
            self._lease_over(now)
            return
        self._ask_at(now + KEEP_EVERY_S, store.KeepLease(lease=self._lease))

    def _lease_over(self, now: float) -> None:
        if self.rt.stopping:
            return
        self.rt.note("lease-lost", reason="over", lease=self._lease)
        self._lease = 0
        self._ask(store.GrantLease(ttl_s=LEASE_S))

    def _put(self) -> None:
        identity = self.rt.identity
        record = store.BoxRecord(
            box=identity.box,
            incarnation=identity.incarnation,
            address=identity.address,
            zone=identity.zone,
            service=identity.service,
        )
        self._ask(store.PutBox(record=record, lease=self._lease))

    def _failed(
        self, now: float, request: store.Request, result: store.NoAnswer
    ) -> None:
        if self.reached:
            self.rt.note("store-lost", reason=result.detail)
        self.reached = False
        if isinstance(request, store.EndLease):
            return
        leased = isinstance(request, store.KeepLease | store.PutBox)
        if leased and request.lease != self._lease:
            return
        pause = self._pauses.get(type(request), RETRY_S)
        self._pauses[type(request)] = min(RETRY_MOST_S, 2 * pause)
        wait = pause * (0.5 + self.rt.rng.random() / 2)
        self._ask_at(now + wait, request)

    def _reached(self, now: float) -> None:
        if not self.reached:
            self.rt.note("store-regained", silent_s=round(now - self.answered_at, 3))
        self.reached = True
        self.answered_at = now

    def _ask(self, request: store.Request) -> None:
        self.rt.emit(effects.AskStore(request=request))

    def _ask_at(self, when: float, request: store.Request) -> None:
        self.rt.at(when, AskTimer(request=request))
