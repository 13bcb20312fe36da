"""State of a shard at its owner, and what a box may answer for a shard's keys."""

from __future__ import annotations

import enum

import attrs

from ferrydeck.signed.core import retry_after
from ferrydeck.signed.wire import messages


class Move(enum.Enum):
    """State of the handover of a shard to another box."""

    NONE = "none"
    DRAINING = "draining"
    SENT = "sent"
    SWAPPING = "swapping"


@attrs.define(kw_only=True)
class OwnedShard:
    """A shard that this box owns."""

    epoch: int
    quarantine_until: float
    move: Move = Move.NONE
    move_to: str = ""
    sent_at: float = 0.0
    transfer_id: int = 0
    successor_holder: str = ""


@attrs.define(kw_only=True, frozen=True)
class AllKeys:
    """This box owns the shard and accepts known and new keys."""


@attrs.define(kw_only=True, frozen=True)
class KnownKeys:
    """This box owns the shard but may answer only for keys in its table."""

    reason: messages.Reason
    retry_after_s: float


MOVING = KnownKeys(reason=messages.Reason.MOVING, retry_after_s=retry_after.MOVING_S)
"""Result while the shard is being handed over to or from another box."""


@attrs.define(kw_only=True, frozen=True)
class NotOwner:
    """This box may not answer for any key of the shard."""

    reason: messages.Reason
    owner: str
