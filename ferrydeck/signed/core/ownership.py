"""What a box knows of a shard that it owns, or is about to own."""

from __future__ import annotations

import enum

import attrs

from ferrydeck.signed.core import retry_after
from ferrydeck.signed.wire import messages


class MoveState(enum.Enum):
    """How far the handing over of a shard has come."""

    NONE = "none"
    DRAINING = "draining"
    SENT = "sent"
    SWAPPING = "swapping"


@attrs.define(kw_only=True)
class OwnedShard:
    """A shard that this box owns."""

    epoch: int
    quarantine_until: float
    move: MoveState = MoveState.NONE
    move_to: str = ""
    table_sent_at: float = 0.0
    transfer_id: int = 0
    successor_holder: str = ""


@attrs.define(kw_only=True, frozen=True)
class AcceptsNewKeys:
    """This box owns the shard and may take a key that it does not know."""


@attrs.define(kw_only=True, frozen=True)
class KnownKeysOnly:
    """This box owns the shard but may answer only for keys that it knows."""

    reason: messages.Reason
    retry_after_s: float


MOVING = KnownKeysOnly(
    reason=messages.Reason.MOVING, retry_after_s=retry_after.MOVING_S
)
"""The shard is on its way to or from another box."""


@attrs.define(kw_only=True, frozen=True)
class NotOwner:
    """This box can't answer for the shard's keys."""

    reason: messages.Reason
    owner: str
