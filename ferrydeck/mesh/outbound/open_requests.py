"""The requests of this box's callers that have no final answer yet, and those answers.

Owns the table of open requests; relies on `retrying` to decide that a request is over.
A request leaves the table with its final answer, so it gets exactly one.
"""

from __future__ import annotations

import attrs

from ferrydeck.mesh import context, effects
from ferrydeck.mesh.outbound import outbound_request, replies
from ferrydeck.mesh.teams import quota


@attrs.define(kw_only=True)
class OpenRequests:
    """Keeps open requests and gives them their final answers."""

    ctx: context.Context
    quota_enforcer: quota.QuotaEnforcer
    by_conn: dict[int, outbound_request.OutboundRequest] = attrs.Factory(dict)
    by_number: dict[int, outbound_request.OutboundRequest] = attrs.Factory(dict)

    def add(self, req: outbound_request.OutboundRequest) -> None:
        """Keep a request until it has its final answer."""
        self.by_conn[req.conn] = req
        self.by_number[req.number] = req

    def reject(
        self,
        now: float,
        req: outbound_request.OutboundRequest,
        reason: str,
        retry_after_s: float,
    ) -> None:
        """Answer that a request was not run, and when to come back."""
        self.ctx.emit(
            effects.Reject(
                conn=req.conn,
                status=replies.NOT_RUN_STATUS,
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
        """Answer that it is not known whether a request has run.

        Where a target has answered with a failure of its own, the caller gets that.
        """
        if req.failed is not None:
            replies.reply(self.ctx, req, req.failed)
            self.finish(now, req, "answered", str(req.failed.status))
            return
        self.ctx.emit(effects.Reject(conn=req.conn, status=status, reason=reason))
        self.finish(now, req, "unknown", reason)

    def abort(
        self, now: float, req: outbound_request.OutboundRequest, reason: str
    ) -> None:
        """End the caller's connection in the middle of an answer."""
        self.ctx.emit(effects.Abort(conn=req.conn))
        self.finish(now, req, "aborted", reason)

    def finish(
        self,
        now: float,
        req: outbound_request.OutboundRequest,
        outcome: str,
        reason: str,
    ) -> None:
        """Forget a request that has its final answer, with a line in the log."""
        self.by_conn.pop(req.conn, None)
        self.by_number.pop(req.number, None)
        if req.team is not None and outcome == "refused":
            self.quota_enforcer.refund(req.team)
        if req.parent is not None:
            req.parent.call_ended(now)
        req.note(self.ctx, outcome, reason, ms=round(1000 * (now - req.started), 1))
        self.ctx.emit(
            effects.Finished(
                route=req.route.name, outcome=outcome, seconds=now - req.started
            )
        )
