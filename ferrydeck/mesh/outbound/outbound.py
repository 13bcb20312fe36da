"""The outbound side: requests that begin on this box, from intake to final answer.

Takes each request through the parts that own something of it: `intake` makes it,
`choosing` finds a target, `attempts` sends it, `retrying` decides what follows where an
attempt brings no good answer, and `open_requests` gives it its final answer.
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
"""How long before its deadline a request gets its final answer, seconds."""
SILENT_EVERY_S = 0.1
"""How often requests at silent boxes are looked for, seconds."""
FAILED_STATUS = 500
"""The least status of an answer that states a failure of the target."""


@attrs.define(kw_only=True, frozen=True)
class DeadlineTimer:
    """A caller has waited as long as it may."""

    number: int


@attrs.define(kw_only=True, frozen=True)
class TargetSearchTimer:
    """Time to look for a target again."""

    number: int


@attrs.define(kw_only=True, frozen=True)
class SilenceCheckTimer:
    """Time to look for requests at silent boxes."""


@attrs.define(kw_only=True)
class Outbound:
    """Carries the requests that begin on this box to targets and back."""

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
    """Whether no further request is taken, since the daemon is about to end."""

    def __attrs_post_init__(self) -> None:
        self.attempts = attempts.Attempts(
            ctx=self.ctx, peers=self.peers, inbound=self.inbound
        )
        self.reports = reports.Reports(inbound=self.inbound)
        self.requests = open_requests.OpenRequests(
            ctx=self.ctx, quota_enforcer=self.access.quota_enforcer
        )

    def start(self, now: float) -> None:
        """Begin to look for requests at silent boxes."""
        self.ctx.at(now + SILENT_EVERY_S, SilenceCheckTimer())

    def request_received(self, now: float, request: events.RequestReceived) -> None:
        """Take a caller's request, or reject it at once."""
        if self.ctx.policy is None:
            self._decline(request, messages.Reason.NO_POLICY)
            return
        if self.stopping:
            self._decline(request, messages.Reason.STOPPING)
            return
        route = self.ctx.policy.find(request.host, request.path)
        if route is None:
            status = replies.NO_ROUTE_STATUS
            replies.decline(self.ctx, request, status, messages.Reason.NO_ROUTE, None)
            return
        checked = self.access.check(now, request, route)
        if isinstance(checked, access.Denied):
            replies.decline(
                self.ctx,
                request,
                checked.status,
                checked.reason,
                checked.retry_after_s,
                **checked.inputs,
            )
            return
        team = checked.team
        suspect = self._suspect(request, team)
        if suspect is not None and suspect.blocked:
            self._reject_blocked(now, request, team, suspect)
            return
        req = self.builder.make(now, request, route, team)
        self.requests.add(req)
        self.ctx.at(req.deadline - DEADLINE_MARGIN_S, DeadlineTimer(number=req.number))
        self._try(now, req)

    def caller_disconnected(self, now: float, conn: int) -> None:
        """Drop the request of a caller that went away."""
        req = self.requests.by_conn.get(conn)
        if req is None:
            return
        self.attempts.withdraw(now, req)
        self.requests.finish(now, req, "caller-gone", "")

    def caller_read(self, now: float, conn: int, size: int) -> None:
        """Have more of a long answer sent, since the caller has read `size` bytes."""
        req = self.requests.by_conn.get(conn)
        if req is not None and req.current_attempt:
            self.attempts.credit(now, req, size)

    def answer_received(
        self, now: float, peer: peers.Peer | None, message: messages.Answer
    ) -> None:
        """Give the caller the target's answer, or ask another target."""
        req = self.attempts.find(peer, message.number)
        if req is None:
            return
        self.reports.received(now, req, peer, message)
        if message.status >= FAILED_STATUS:
            step = self._after_failed_answer(now, req, peer, message)
            if isinstance(step, retrying.Retry):
                req.failed = message
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
        """Pass a further part of a long answer on."""
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
        self, now: float, peer: peers.Peer | None, message: messages.Broken
    ) -> None:
        """Act on an attempt that may have run and gives no whole answer."""
        req = self.attempts.find(peer, message.number)
        if req is None:
            return
        self.reports.received(now, req, peer, message)
        if message.reason == messages.Reason.SUSPECT:
            req.take_back(self._address(peer))
        self._lost(now, req, message.reason)

    def attempt_rejected(
        self, now: float, peer: peers.Peer | None, message: messages.Rejected
    ) -> None:
        """Act on an attempt that was not run."""
        req = self.attempts.find(peer, message.number)
        if req is None:
            return
        self.reports.received(now, req, peer, message)
        self.attempts.end(req)
        if message.target_asked:
            self._rejected_by_target(now, req, peer, message)
            return
        req.attempts -= 1
        step = retrying.after_daemon_rejection(req.progress(now), message.reason)
        self._follow(now, req, step, message.retry_after_s)

    def link_down(self, now: float, peer: peers.Peer) -> None:
        """Act on the loss of a link: its attempts may have run."""
        for number in list(peer.in_flight):
            req = self.attempts.by_number.get(number)
            if req is not None:
                self._lost(now, req, messages.Reason.LINK_LOST)
        peer.in_flight.clear()

    def deadline_reached(self, now: float, number: int) -> None:
        """Give a caller whose time is over its final answer."""
        req = self.requests.by_number.get(number)
        if req is None or req.streaming:
            return
        sent = bool(req.current_attempt)
        self.attempts.withdraw(now, req)
        self._follow(now, req, retrying.at_deadline(req.progress(now), sent=sent))

    def retry_search(self, now: float, number: int) -> None:
        """Look for a target again."""
        req = self.requests.by_number.get(number)
        if req is not None and not req.current_attempt:
            self._try(now, req)

    def check_silent_boxes(self, now: float) -> None:
        """Retry requests that are at silent boxes at other ones."""
        self.ctx.at(now + SILENT_EVERY_S, SilenceCheckTimer())
        for peer in self.peers.by_address.values():
            if not peer.in_flight or not failure_detector.is_silent(now, peer):
                continue
            for number in list(peer.in_flight):
                req = self.attempts.by_number.get(number)
                if req is not None and self.ctx.switches.move_from_silent:
                    self._check_silent(now, req)

    def _check_silent(self, now: float, req: outbound_request.OutboundRequest) -> None:
        step = retrying.after_silence(req.progress(now))
        if isinstance(step, retrying.Retry):
            self.attempts.withdraw(now, req)
            self._retry(now, req, step.reason)

    def _try(self, now: float, req: outbound_request.OutboundRequest) -> None:
        """Send the request to a target, or decide what follows if there is none."""
        if not retrying.enough_time(now, req.deadline):
            self._follow(now, req, retrying.without_time(req.progress(now)))
            return
        suspect = self._suspect(req.received, req.team)
        if suspect is not None and suspect.blocked:
            step = retrying.unserved(req.progress(now), messages.Reason.BLOCKED)
            self._follow(now, req, step, suspect.left_s(now))
            return
        match self._pick(now, req, suspect):
            case balancing.NoTarget():
                self._without_target(now, req)
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
        full = len(req.targets) >= req.route.max_attempts
        only = req.targets if full else None
        if suspect is None:
            return self.picker.pick(now, req.service, req.tried, only)
        return self.picker.pick_for_suspect(
            now, req.service, suspect.fingerprint, req.tried, only
        )

    def _suspect(
        self, request: events.RequestReceived, team: keys.Team | None
    ) -> records.SuspectRecord | None:
        """Return the record of a request under which targets crashed."""
        if self.inbound.suspects.records.empty:
            return None
        return self.inbound.suspects.records.find(
            method=request.method,
            fields=request.fields,
            path=request.path,
            team="" if team is None else team.name,
            body=lambda: request.body,
        )

    def _follow(
        self,
        now: float,
        req: outbound_request.OutboundRequest,
        step: retrying.Step,
        retry_after_s: float = retry_after.LEAST_S,
    ) -> None:
        """Carry out what was decided; `retry_after_s` goes with a rejection."""
        match step:
            case retrying.Retry(reason=reason):
                self._retry(now, req, reason)
            case retrying.TryElsewhere():
                self._try(now, req)
            case retrying.SearchAgain():
                req.tried.clear()
                again_at = now + retrying.SEARCH_PAUSE_S
                self.ctx.at(again_at, TargetSearchTimer(number=req.number))
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
        outlier = self.picker.outlier(now, peer, req.service)
        return retrying.after_failed_answer(
            req.progress(now),
            outlier=outlier and self.ctx.switches.repeat_failed,
            whole=not message.more,
        )

    def _rejected_by_target(
        self,
        now: float,
        req: outbound_request.OutboundRequest,
        peer: peers.Peer | None,
        message: messages.Rejected,
    ) -> None:
        req.targets.add(self._address(peer))
        step = retrying.after_target_rejection(
            req.progress(now), message.reason, retry_granted=message.retry_granted
        )
        again = isinstance(step, retrying.TryElsewhere)
        if again and len(req.targets) >= req.route.max_attempts:
            req.tried = {self._address(peer)}
        self._follow(now, req, step, message.retry_after_s)

    def _without_target(
        self, now: float, req: outbound_request.OutboundRequest
    ) -> None:
        step = retrying.without_target(req.progress(now))
        if isinstance(step, retrying.SearchAgain):
            self._follow(now, req, step)
            return
        draw = self.ctx.rng.random()
        after_s = retry_after.without_target(req.late_at - now, draw)
        self._follow(now, req, step, after_s)

    def _lost(
        self, now: float, req: outbound_request.OutboundRequest, reason: str
    ) -> None:
        """Act on an attempt of which no answer will come."""
        self.attempts.end(req)
        req.may_have_run = True
        self._follow(now, req, retrying.after_loss(req.progress(now), reason))

    def _retry(
        self, now: float, req: outbound_request.OutboundRequest, reason: str
    ) -> None:
        """Ask another target to run a request that may have run."""
        self.attempts.end(req)
        req.may_have_run = True
        req.note(self.ctx, "repeated", reason)
        self._try(now, req)

    def _address(self, peer: peers.Peer | None) -> str:
        return self.ctx.identity.address if peer is None else peer.address

    def _decline(
        self, request: events.RequestReceived, reason: messages.Reason
    ) -> None:
        """Reject a request that was not taken."""
        after_s = retry_after.for_reason(reason)
        status = replies.NOT_RUN_STATUS
        replies.decline(self.ctx, request, status, reason, after_s)

    def _reject_blocked(
        self,
        now: float,
        request: events.RequestReceived,
        team: keys.Team | None,
        suspect: records.SuspectRecord,
    ) -> None:
        """Reject a request that is run no more, until its record is forgotten."""
        if team is not None:
            self.access.quota_enforcer.refund(team)
        replies.decline(
            self.ctx,
            request,
            replies.NOT_RUN_STATUS,
            messages.Reason.BLOCKED,
            suspect.left_s(now),
            digest=suspect.fingerprint.hex(),
            ends=sorted(suspect.crashes),
            age_s=round(now - suspect.last_crash_at, 3),
        )
