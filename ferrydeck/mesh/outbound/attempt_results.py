"""Passes the result of an attempt to the outbound side.

Results come from other daemons on links, and from the inbound side of this box.
"""

from __future__ import annotations

from ferrydeck.mesh import messages
from ferrydeck.mesh.members import peers
from ferrydeck.mesh.outbound import outbound

Result = (
    messages.Answer | messages.AnswerPart | messages.Rejected | messages.AttemptFailed
)


def deliver(
    receiver: outbound.Outbound, now: float, peer: peers.Peer | None, result: Result
) -> None:
    """Pass on a result; `peer` is `None` for the inbound side of this box."""
    match result:
        case messages.Answer():
            receiver.answer_received(now, peer, result)
        case messages.AnswerPart():
            receiver.answer_part_received(now, peer, result)
        case messages.Rejected():
            receiver.attempt_rejected(now, peer, result)
        case messages.AttemptFailed():
            receiver.attempt_broken(now, peer, result)
