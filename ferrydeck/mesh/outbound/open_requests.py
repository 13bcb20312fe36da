"""The table of this box's open requests, and their final responses.

A request is removed from the table with its final response, so it gets exactly one.
"""

from __future__ import annotations

import attrs

from ferrydeck.mesh import context, effects
from ferrydeck.mesh.outbound import outbound_request, replies
from ferrydeck.mesh.teams import quota


@attrs.define(kw_only=True)
class OpenRequests:
    """Tracks open requests and sends their final responses."""

    ctx: context.Context
    quota_enforcer: quota.QuotaEnforcer
    by_conn: dict[int, outbound_request.OutboundRequest] = attrs.Factory(dict)
    by_number: dict[int, outbound_request.OutboundRequest] = attrs.Factory(dict)

    def add(self, req: outbound_request.OutboundRequest) -> None:
        """Track a request until its final response."""
        self.by_conn[req.conn] = req
        self.by_number[req.number] = req

    def reject(
        self,
        now: float,
        req: outbound_request.OutboundRequest,
        reason: str,
        retry_after_s: float,
    ) -> None:
        """Respond that a request was not run, with a `Retry-After`."""
        self.ctx.emit(
            effects.Reject(
                conn=req.conn,
                status=replies.SERVICE_UNAVAILABLE,
                reason=reason,
                retry_after_s=retry_after_s,
            )
        )
        self.finish(now, req, "refused", reason)

    def give_up(
        self,
        now: float,
        req: outbound_request.OutboundRequest,
        status: int,
        reason: str,
    ) -> None:
        """Respond that a request may or may not have run.

        If a target responded with a server error, the caller gets that response.
        """
        if req.failed_answer is not None:
            replies.reply(self.ctx, req, req.failed_answer)
            self.finish(now, req, "answered", str(req.failed_answer.status))
            return
        self.ctx.emit(effects.Reject(conn=req.conn, status=status, reason=reason))
        self.finish(now, req, "unknown", reason)

    def abort(
        self, now: float, req: outbound_request.OutboundRequest, reason: str
    ) -> None:
        """Close the caller's connection in the middle of a response."""
        self.ctx.emit(effects.AbortReply(conn=req.conn))
        self.finish(now, req, "aborted", reason)

    def finish(
        self,
        now: float,
        req: outbound_request.OutboundRequest,
        outcome: str,
        reason: str,
    ) -> None:
        """Remove a request that has its final response, and log the outcome."""
        self.by_conn.pop(req.conn, None)
        self.by_number.pop(req.number, None)
        if req.team is not None and outcome == "refused":
            self.quota_enforcer.refund(req.team)
        if req.parent is not None:
            req.parent.call_ended(now)
        req.log(self.ctx, outcome, reason, ms=round(1000 * (now - req.started), 1))
        self.ctx.emit(
            effects.RequestFinished(
                route=req.route.name, outcome=outcome, seconds=now - req.started
            )
        )
