"""Jobs: the forwarded attempts at the target beside this daemon."""

from __future__ import annotations

import enum

import attrs

from ferrydeck.signed.core import keys
from ferrydeck.signed.wire import messages


@attrs.define(kw_only=True, frozen=True)
class Sender:
    """The daemon that an attempt came from."""

    box: str
    incarnation: int
    address: str


class JobState(enum.Enum):
    """How far a job has come."""

    QUEUED = "queued"
    RUNNING = "running"
    STREAMING = "streaming"
    ENDED = "ended"


@attrs.define(kw_only=True, eq=False)
class Job:
    """One forwarded attempt at this target."""

    sender: Sender
    forward: messages.Forward
    accepted_at: float
    """When the caller's sending came to its entry daemon, on this box's clock."""
    deadline: float
    key_record: keys.KeyRecord | None = None
    state: JobState = JobState.QUEUED
    dispatch_id: int = 0
    started_at: float = 0.0
    run_token: str = ""
    sent_bytes: int = 0
    body_bytes: int = 0
    last_progress_at: float = 0.0


def attempt_id(job: Job) -> tuple[str, int, int]:
    """Return what identifies an attempt."""
    return (job.sender.box, job.sender.incarnation, job.forward.attempt)
