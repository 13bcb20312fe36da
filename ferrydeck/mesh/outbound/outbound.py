"""Proxies requests from callers on this box to targets, with retries.

Coordinates the modules of the package: `request_builder` prepares a request,
`balancing` picks a target, `attempts` sends the request there, `retrying` decides what
to do when an attempt fails, and `open_requests` sends the final response.
"""

from __future__ import annotations

import attrs

from ferrydeck.mesh import context, effects, events, messages
from ferrydeck.mesh.inbound import inbound
from ferrydeck.mesh.members import failure_detector, peer_table, peers
from ferrydeck.mesh.outbound import (
    attempts,
    balancing,
    open_requests,
    outbound_request,
    replies,
    reports,
    request_builder,
    retry_after,
    retrying,
)
from ferrydeck.mesh.poison import records
from ferrydeck.mesh.teams import access, keys

DEADLINE_MARGIN_S = 0.02
"""Time before the deadline at which the final response is sent, seconds."""
SILENCE_CHECK_INTERVAL_S = 0.1
"""Interval between checks for requests at unresponsive boxes, seconds."""
MIN_FAILURE_STATUS = 500
"""Lowest HTTP status that counts as a failure of the target."""


@attrs.define(kw_only=True, frozen=True)
class DeadlineTimer:
    """Fires shortly before the deadline of a request."""

    number: int


@attrs.define(kw_only=True, frozen=True)
class TargetSearchTimer:
    """Fires when the search for an available target is to be repeated."""

    number: int


@attrs.define(kw_only=True, frozen=True)
class SilenceCheckTimer:
    """Fires when requests at unresponsive boxes are to be retried."""


@attrs.define(kw_only=True)
class Outbound:
    """Proxies requests of this box's callers to targets and returns the responses."""

    ctx: context.Context
    peers: peer_table.PeerTable
    picker: balancing.Picker
    inbound: inbound.Inbound
    builder: request_builder.RequestBuilder
    access: access.AccessControl
    attempts: attempts.Attempts = attrs.field(init=False)
    reports: reports.Reports = attrs.field(init=False)
    requests: open_requests.OpenRequests = attrs.field(init=False)
    stopping: bool = False
    """Whether new requests are rejected because the daemon is shutting down."""
    last_send_at: float = float("inf")
    """Time after which no attempt is started, since the daemon exits."""

    def __attrs_post_init__(self) -> None:
        self.attempts = attempts.Attempts(
            ctx=self.ctx, peers=self.peers, inbound=self.inbound
        )
        self.reports = reports.Reports(inbound=self.inbound)
        self.requests = open_requests.OpenRequests(
            ctx=self.ctx, quota_enforcer=self.access.quota_enforcer
        )

    def start(self, now: float) -> None:
        """Start the periodic check for requests at unresponsive boxes."""
        self.ctx.set_timer(now + SILENCE_CHECK_INTERVAL_S, SilenceCheckTimer())

    def request_received(self, now: float, request: events.RequestReceived) -> None:
        """Accept a caller's request, or reject it immediately."""
        if self.ctx.policy is None:
            replies.decline_unavailable(self.ctx, request, messages.Reason.NO_POLICY)
            return
        if self.stopping:
            replies.decline_unavailable(self.ctx, request, messages.Reason.STOPPING)
            return
        route = self.ctx.policy.find_route(request.host, request.path)
        if route is None:
            status = replies.NOT_FOUND
            replies.decline(self.ctx, request, status, messages.Reason.NO_ROUTE, None)
            return
        result = self.access.check(now, request, route)
        if isinstance(result, access.Denied):
            replies.decline(
                self.ctx,
                request,
                result.status,
                result.reason,
                result.retry_after_s,
                **result.inputs,
            )
            return
        team = result.team
        suspect = self._find_suspect(request, team)
        if suspect is not None and suspect.blocked:
            self._reject_blocked(now, request, team, suspect)
            return
        req = self.builder.build(now, request, route, team)
        self.requests.add(req)
        self.ctx.set_timer(
            req.deadline - DEADLINE_MARGIN_S, DeadlineTimer(number=req.number)
        )
        self._pick_and_send(now, req)

    def caller_disconnected(self, now: float, conn: int) -> None:
        """Cancel the request of a caller that has disconnected."""
        req = self.requests.by_conn.get(conn)
        if req is None:
            return
        self.attempts.cancel(now, req)
        self.requests.finish(now, req, "caller-gone", "")

    def caller_read(self, now: float, conn: int, size: int) -> None:
        """Extend flow control by the `size` bytes that the caller has read."""
        req = self.requests.by_conn.get(conn)
        if req is not None and req.current_attempt:
            self.attempts.send_credit(now, req, size)

    def answer_received(
        self, now: float, peer: peers.Peer | None, message: messages.Answer
    ) -> None:
        """Return the target's response to the caller, or retry at another target."""
        req = self.attempts.find(peer, message.number)
        if req is None:
            return
        self.reports.apply(now, req, peer, message)
        if message.status >= MIN_FAILURE_STATUS:
            step = self._after_failed_answer(now, req, peer, message)
            if isinstance(step, retrying.Retry):
                req.failed_answer = message
                self._retry(now, req, step.reason)
                return
        if message.more:
            req.streaming = True
            replies.reply(self.ctx, req, message)
            return
        self.attempts.end(req)
        replies.reply(self.ctx, req, message)
        self.requests.finish(now, req, "answered", str(message.status))

    def answer_part_received(
        self, now: float, peer: peers.Peer | None, message: messages.AnswerPart
    ) -> None:
        """Forward the next part of a streamed response."""
        req = self.attempts.find(peer, message.number)
        if req is None:
            return
        self.ctx.emit(
            effects.ReplyPart(conn=req.conn, data=message.data, last=message.last)
        )
        if message.last:
            self.attempts.end(req)
            self.requests.finish(now, req, "answered", "stream")

    def attempt_broken(
        self, now: float, peer: peers.Peer | None, message: messages.AttemptFailed
    ) -> None:
        """Handle an attempt that may have run but gives no complete response."""
        req = self.attempts.find(peer, message.number)
        if req is None:
            return
        self.reports.apply(now, req, peer, message)
        if message.reason == messages.Reason.SUSPECT:
            req.retry_as_suspect(self._address(peer))
        self._attempt_lost(now, req, message.reason)

    def attempt_rejected(
        self, now: float, peer: peers.Peer | None, message: messages.Rejected
    ) -> None:
        """Handle an attempt that was rejected without being run."""
        req = self.attempts.find(peer, message.number)
        if req is None:
            return
        self.reports.apply(now, req, peer, message)
        self.attempts.end(req)
        if message.reason == messages.Reason.RATE_LIMIT and peer is not None:
            peer.rate_limit_reached(now, message.retry_after_s)
        if message.rejected_by_target:
            self._rejected_by_target(now, req, peer, message)
            return
        req.attempts -= 1
        step = retrying.after_daemon_rejection(req.progress(now), message.reason)
        self._apply(now, req, step, message.retry_after_s)

    def link_down(self, now: float, peer: peers.Peer) -> None:
        """Handle the loss of a link, whose attempts may have run."""
        for number in list(peer.in_flight):
            req = self.attempts.by_number.get(number)
            if req is not None:
                self._attempt_lost(now, req, messages.Reason.LINK_LOST)
        peer.in_flight.clear()

    def deadline_reached(self, now: float, number: int) -> None:
        """Send the final response to a caller whose deadline has come."""
        req = self.requests.by_number.get(number)
        if req is not None:
            self._end_now(now, req, messages.Reason.TIMEOUT)

    def exit_reached(self, now: float) -> None:
        """Send the final responses to all callers, before the daemon exits."""
        for req in list(self.requests.by_number.values()):
            self._end_now(now, req, messages.Reason.STOPPING)

    def retry_search(self, now: float, number: int) -> None:
        """Repeat the search for an available target."""
        req = self.requests.by_number.get(number)
        if req is not None and not req.current_attempt:
            self._pick_and_send(now, req)

    def check_silent_boxes(self, now: float) -> None:
        """Retry requests of unresponsive boxes at other boxes."""
        self.ctx.set_timer(now + SILENCE_CHECK_INTERVAL_S, SilenceCheckTimer())
        for peer in self.peers.by_address.values():
            if not peer.in_flight or not failure_detector.is_silent(now, peer):
                continue
            for number in list(peer.in_flight):
                req = self.attempts.by_number.get(number)
                if req is not None and self.ctx.switches.move_from_silent:
                    self._retry_silent(now, req)

    def _end_now(
        self, now: float, req: outbound_request.OutboundRequest, reason: messages.Reason
    ) -> None:
        """Send the final response to a caller that has received nothing yet."""
        if req.streaming:
            return
        sent = bool(req.current_attempt) and not req.body_pending
        self.attempts.cancel(now, req)
        step = retrying.when_time_is_up(req.progress(now), reason, sent=sent)
        self._apply(now, req, step)

    def _retry_silent(self, now: float, req: outbound_request.OutboundRequest) -> None:
        if req.body_pending:
            self.attempts.cancel(now, req)
            self._not_offered(now, req, messages.Reason.LINK_LOST)
            return
        step = retrying.after_silence(req.progress(now))
        if isinstance(step, retrying.Retry):
            self.attempts.cancel(now, req)
            self._retry(now, req, step.reason)

    def _pick_and_send(self, now: float, req: outbound_request.OutboundRequest) -> None:
        """Send the request to a target, or handle that none is available."""
        if not retrying.has_time_for_attempt(now, req.deadline):
            self._apply(now, req, retrying.after_expiry(req.progress(now)))
            return
        if now >= self.last_send_at:
            reason = messages.Reason.STOPPING
            self._apply(now, req, retrying.end_unanswered(req.progress(now), reason))
            return
        suspect = self._find_suspect(req.received, req.team)
        if suspect is not None and suspect.blocked:
            step = retrying.end_unanswered(req.progress(now), messages.Reason.BLOCKED)
            self._apply(now, req, step, suspect.remaining_s(now))
            return
        match self._pick(now, req, suspect):
            case balancing.NoTarget():
                self._no_target(now, req)
            case balancing.Local(incarnation=incarnation):
                self.attempts.send(now, req, None, incarnation)
            case balancing.Remote(peer=peer, incarnation=incarnation):
                self.attempts.send(now, req, peer, incarnation)

    def _pick(
        self,
        now: float,
        req: outbound_request.OutboundRequest,
        suspect: records.SuspectRecord | None,
    ) -> balancing.Choice:
        """Pick a target whose daemon takes the body of the request."""
        while True:
            choice = self._pick_any(now, req, suspect)
            match choice:
                case balancing.Remote(peer=peer) if not attempts.may_carry(
                    peer, req.received.body
                ):
                    req.tried.add(peer.address)
                case _:
                    return choice

    def _pick_any(
        self,
        now: float,
        req: outbound_request.OutboundRequest,
        suspect: records.SuspectRecord | None,
    ) -> balancing.Choice:
        at_limit = len(req.rejected_by) >= req.route.max_attempts
        allowed = req.rejected_by if at_limit else None
        if suspect is None:
            return self.picker.pick(now, req.service, req.tried, allowed)
        return self.picker.pick_for_suspect(
            now, req.service, suspect.fingerprint, req.tried, allowed
        )

    def _find_suspect(
        self, request: events.RequestReceived, team: keys.Team | None
    ) -> records.SuspectRecord | None:
        """Return the crash record of a request, or `None` if it has none."""
        if self.inbound.suspects.records.empty:
            return None
        return self.inbound.suspects.records.find(
            method=request.method,
            fields=request.fields,
            path=request.path,
            team="" if team is None else team.name,
            body=lambda: request.body,
        )

    def _apply(
        self,
        now: float,
        req: outbound_request.OutboundRequest,
        step: retrying.Step,
        retry_after_s: float = retry_after.MIN_RETRY_AFTER_S,
    ) -> None:
        """Execute a retry decision; a rejection carries `retry_after_s`."""
        match step:
            case retrying.Retry(reason=reason):
                self._retry(now, req, reason)
            case retrying.TryElsewhere():
                self._pick_and_send(now, req)
            case retrying.SearchAgain():
                req.tried.clear()
                search_at = now + retrying.SEARCH_INTERVAL_S
                self.ctx.set_timer(search_at, TargetSearchTimer(number=req.number))
            case retrying.Reject(reason=reason):
                self.requests.reject(now, req, reason, retry_after_s)
            case retrying.GiveUp(status=status, reason=reason):
                self.requests.give_up(now, req, status, reason)
            case retrying.Abort(reason=reason):
                self.requests.abort(now, req, reason)

    def _after_failed_answer(
        self,
        now: float,
        req: outbound_request.OutboundRequest,
        peer: peers.Peer | None,
        message: messages.Answer,
    ) -> retrying.Retry | retrying.Deliver:
        outlier = self.picker.is_outlier(now, peer, req.service)
        return retrying.after_failed_answer(
            req.progress(now),
            outlier=outlier and self.ctx.switches.repeat_failed,
            complete=not message.more,
        )

    def _rejected_by_target(
        self,
        now: float,
        req: outbound_request.OutboundRequest,
        peer: peers.Peer | None,
        message: messages.Rejected,
    ) -> None:
        req.rejected_by.add(self._address(peer))
        step = retrying.after_target_rejection(
            req.progress(now), message.reason, retry_granted=message.retry_granted
        )
        resend = isinstance(step, retrying.TryElsewhere)
        if resend and len(req.rejected_by) >= req.route.max_attempts:
            req.tried = {self._address(peer)}
        self._apply(now, req, step, message.retry_after_s)

    def _no_target(self, now: float, req: outbound_request.OutboundRequest) -> None:
        step = retrying.after_no_target(req.progress(now))
        if isinstance(step, retrying.SearchAgain):
            self._apply(now, req, step)
            return
        jitter = self.ctx.rng.random()
        after_s = retry_after.no_target(req.objective_at - now, jitter)
        self._apply(now, req, step, after_s)

    def _attempt_lost(
        self, now: float, req: outbound_request.OutboundRequest, reason: str
    ) -> None:
        """Handle an attempt whose response will never arrive."""
        unsent = req.body_pending
        self.attempts.end(req)
        if unsent:
            self._not_offered(now, req, reason)
            return
        req.may_have_run = True
        self._apply(now, req, retrying.after_lost_attempt(req.progress(now), reason))

    def _not_offered(
        self, now: float, req: outbound_request.OutboundRequest, reason: str
    ) -> None:
        """Handle an attempt that ended before its body was sent, so it has not run."""
        req.attempts -= 1
        self._apply(
            now, req, retrying.after_daemon_rejection(req.progress(now), reason)
        )

    def _retry(
        self, now: float, req: outbound_request.OutboundRequest, reason: str
    ) -> None:
        """Retry a request that may have run at another target."""
        self.attempts.end(req)
        req.may_have_run = True
        req.log(self.ctx, "repeated", reason)
        self._pick_and_send(now, req)

    def _address(self, peer: peers.Peer | None) -> str:
        return self.ctx.identity.address if peer is None else peer.address

    def _reject_blocked(
        self,
        now: float,
        request: events.RequestReceived,
        team: keys.Team | None,
        suspect: records.SuspectRecord,
    ) -> None:
        """Reject a request that is blocked until its crash record expires."""
        if team is not None:
            self.access.quota_enforcer.refund(team)
        replies.decline_blocked(self.ctx, request, suspect, now)
