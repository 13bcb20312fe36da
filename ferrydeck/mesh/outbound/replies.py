"""Emits the effects that the driver turns into responses to callers."""

from __future__ import annotations

from ferrydeck.mesh import context, effects, events, messages
from ferrydeck.mesh.outbound import outbound_request

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
