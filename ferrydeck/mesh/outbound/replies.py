"""Emits the effects that the driver turns into responses to callers."""

from __future__ import annotations

from ferrydeck.mesh import context, effects, events, messages
from ferrydeck.mesh.outbound import outbound_request, retry_after
from ferrydeck.mesh.poison import records

SERVICE_UNAVAILABLE = 503
NOT_FOUND = 404


def reply(
    ctx: context.Context,
    req: outbound_request.OutboundRequest,
    message: messages.Answer,
) -> None:
    """Send a target's response, or the first part of it, to the caller."""
    ctx.emit(
        effects.Reply(
            conn=req.conn,
            status=message.status,
            fields=message.fields,
            body=message.body,
            more=message.more,
            total=message.total,
        )
    )


def decline(
    ctx: context.Context,
    request: events.RequestReceived,
    status: int,
    reason: str,
    retry_after_s: float | None,
    **inputs: object,
) -> None:
    """Reject a request before it is accepted, and log the decision.

    `retry_after_s` is `None` if a retry would not help.
    """
    ctx.emit(
        effects.Reject(
            conn=request.conn,
            status=status,
            reason=reason,
            retry_after_s=retry_after_s,
        )
    )
    ctx.note(
        "request",
        request_id=request.request_id,
        outcome="declined",
        reason=reason,
        host=request.host,
        target=request.path,
        version=ctx.version,
        **inputs,
    )


def decline_unavailable(
    ctx: context.Context, request: events.RequestReceived, reason: messages.Reason
) -> None:
    """Reject a request with the usual `Retry-After` of a reason."""
    decline(ctx, request, SERVICE_UNAVAILABLE, reason, retry_after.for_reason(reason))


def decline_blocked(
    ctx: context.Context,
    request: events.RequestReceived,
    suspect: records.SuspectRecord,
    now: float,
) -> None:
    """Reject a request that is blocked until its crash record expires."""
    decline(
        ctx,
        request,
        SERVICE_UNAVAILABLE,
        messages.Reason.BLOCKED,
        suspect.remaining_s(now),
        digest=suspect.fingerprint.hex(),
        ends=sorted(suspect.crashes),
        age_s=round(now - suspect.last_crash_at, 3),
    )
