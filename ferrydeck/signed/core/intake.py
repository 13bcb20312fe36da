"""Turns received requests into calls: route, class, deadline, retry allowance."""

from __future__ import annotations

import collections
import dataclasses

import attrs

from ferrydeck.signed import bundle as bundles
from ferrydeck.signed.core import (
    calls,
    context,
    correlation,
    events,
    hashes,
    headers,
    priority,
    retry_limits,
)
from ferrydeck.signed.wire import messages

MAX_KEY_LENGTH = 200
MAX_RESEND_RECORDS = 100_000
MAX_DEADLINE_DIGITS = 9


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rejected:
    """A request that is answered without being forwarded."""

    reason: messages.Reason
    class_name: str = ""
    may_have_run: bool = False


@attrs.define(kw_only=True)
class ResendRecord:
    """A known idempotency key and the retry allowance that its requests share."""

    allowance: retry_limits.RetryAllowance
    expires: float
    may_have_run: bool = False


@attrs.define(kw_only=True)
class Intake:
    """Validates requests and builds the calls for them."""

    ctx: context.Context
    correlation: correlation.Correlation
    resend_records: collections.OrderedDict[tuple[str, str, str], ResendRecord] = (
        attrs.Factory(collections.OrderedDict)
    )

    def admit(self, now: float, event: events.CallReceived) -> calls.Call | Rejected:
        """Return the call for a request, or the reason for its rejection."""
        if self.ctx.active is None:
            has_key = bool(headers.get(event.headers, headers.IDEMPOTENCY_KEY))
            return Rejected(reason=messages.Reason.NO_BUNDLE, may_have_run=has_key)
        service, _, rest = event.path[1:].partition("/")
        path = f"/{rest}"
        path_only = path.partition("?")[0]
        route = self.ctx.active.route(service, event.method, path_only)
        if route is None:
            return Rejected(reason=messages.Reason.NO_ROUTE)
        key = headers.get(event.headers, headers.IDEMPOTENCY_KEY)
        reason = validate(event, route, key)
        if reason is not None:
            return Rejected(reason=reason, class_name=route.class_name)
        parent = self._parent_run(event)
        call = self._build_call(now, event, route, path, key, parent)
        return self._charge_allowance(now, call, parent)

    def record_outcome(self, call: calls.Call, may_have_run: bool) -> None:
        """Remember for later requests with the same key whether it may have run."""
        record = self.resend_records.get(resend_key(call)) if call.key else None
        if record is not None:
            record.may_have_run |= may_have_run

    def _parent_run(self, event: events.CallReceived) -> correlation.Run | None:
        if not event.local:
            return None
        return self.correlation.find(headers.get(event.headers, headers.CONTEXT))

    def _build_call(
        self,
        now: float,
        event: events.CallReceived,
        route: bundles.Route,
        path: str,
        key: str,
        parent: correlation.Run | None,
    ) -> calls.Call:
        deadline = now + requested_deadline_s(event, route)
        request_id = f"{self.ctx.rng.getrandbits(64):016x}"
        rank = self.ctx.active.ranks[route.class_name]
        depth = 0
        if parent is not None:
            deadline = min(deadline, parent.expires)
            depth = parent.depth + 1
            rank = min(rank, priority.rank_of(parent.priority))
        if parent is not None and self.ctx.policy.same_hash:
            request_id = parent.request_id
        allowance = self.ctx.active.bundle.retry.allowance
        if event.local and parent is None and self.ctx.policy.share_retry_allowance:
            allowance = 0
        return calls.Call(
            conn=event.conn,
            number=self.ctx.next_number(),
            service=route.service,
            route=route,
            request=event,
            path=path,
            key=key,
            caller=caller_digest(event),
            request_id=request_id,
            priority=priority.for_request(rank, request_id),
            depth=depth,
            allowance=retry_limits.RetryAllowance(remaining=allowance),
            parent_path_key=parent.path_key if parent else "",
            started=now,
            deadline=deadline,
        )

    def _charge_allowance(
        self, now: float, call: calls.Call, parent: correlation.Run | None
    ) -> calls.Call | Rejected:
        """Charge a repeated call to the allowance of the first one."""
        if not self.ctx.policy.share_retry_allowance:
            return call
        if parent is not None:
            call.allowance = parent.allowance
            req = call.request
            fingerprint = hashes.fingerprint(
                call.service, req.method, call.path, call.key, req.body
            )
            if parent.allowance.is_new_call(fingerprint):
                return call
            if parent.allowance.try_spend():
                call.charged_as_retry = True
                return call
            return self._reject_spent(call, may_have_run=True)
        # Resends of a non-repeatable call are free: the key's owner runs it only once.
        if not call.key or not call.route.repeatable:
            return call
        return self._charge_resend(now, call)

    def _charge_resend(self, now: float, call: calls.Call) -> calls.Call | Rejected:
        self._evict_resend_records(now)
        record = self.resend_records.get(resend_key(call))
        if record is None:
            until = now + self.ctx.active.bundle.key_retention_s
            self.resend_records[resend_key(call)] = ResendRecord(
                allowance=call.allowance, expires=until
            )
            return call
        call.allowance = record.allowance
        if record.allowance.try_spend():
            call.charged_as_retry = True
            return call
        return self._reject_spent(call, may_have_run=record.may_have_run)

    def _reject_spent(self, call: calls.Call, *, may_have_run: bool) -> Rejected:
        return Rejected(
            reason=messages.Reason.RETRIES_SPENT,
            class_name=call.route.class_name,
            may_have_run=may_have_run or not call.route.repeatable,
        )

    def _evict_resend_records(self, now: float) -> None:
        while self.resend_records:
            oldest = next(iter(self.resend_records))
            full = len(self.resend_records) > MAX_RESEND_RECORDS
            if not full and self.resend_records[oldest].expires > now:
                return
            del self.resend_records[oldest]


def validate(
    event: events.CallReceived, route: bundles.Route, key: str
) -> messages.Reason | None:
    """Return why a request is invalid for a route, or `None`."""
    if len(event.body) > route.max_body:
        return messages.Reason.BODY_TOO_LARGE
    if not route.repeatable and not key:
        return messages.Reason.KEY_MISSING
    if len(key) > MAX_KEY_LENGTH:
        return messages.Reason.BAD_REQUEST
    deadline_ms = headers.get(event.headers, headers.DEADLINE_MS)
    if deadline_ms and not (deadline_ms.isascii() and deadline_ms.isdigit()):
        return messages.Reason.BAD_REQUEST
    if len(deadline_ms) > MAX_DEADLINE_DIGITS:
        return messages.Reason.BAD_REQUEST
    return None


def requested_deadline_s(event: events.CallReceived, route: bundles.Route) -> float:
    """Return the time that a caller waits, in seconds, at most the route's deadline."""
    header = headers.get(event.headers, headers.DEADLINE_MS)
    requested_ms = int(header) if header else route.deadline_ms
    return min(requested_ms, route.deadline_ms) / 1000


def caller_digest(event: events.CallReceived) -> str:
    """Return a digest of the caller's credentials, empty without any."""
    credentials = headers.get(event.headers, headers.AUTHORIZATION)
    return hashes.hash128_hex(credentials) if credentials else ""


def resend_key(call: calls.Call) -> tuple[str, str, str]:
    """Return what identifies the resends of one request."""
    return (call.service, call.caller, call.key)
