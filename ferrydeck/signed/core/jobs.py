"""Jobs: the attempts that were forwarded to the target beside this daemon."""

from __future__ import annotations

import enum

import attrs

from ferrydeck.signed.core import keys
from ferrydeck.signed.wire import messages


@attrs.define(kw_only=True, frozen=True)
class Sender:
    """The daemon that forwarded an attempt."""

    box: str
    incarnation: int
    address: str


class JobState(enum.Enum):
    """State of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    STREAMING = "streaming"
    ENDED = "ended"


@attrs.define(kw_only=True, eq=False)
class Job:
    """One forwarded attempt for this target."""

    sender: Sender
    forward: messages.Forward
    accepted_at: float
    """When the caller's entry daemon accepted the request, on this box's clock."""
    deadline: float
    key_record: keys.Record | None = None
    state: JobState = JobState.QUEUED
    dispatch_id: int = 0
    started_at: float = 0.0
    run_token: str = ""
    sent_bytes: int = 0
    body_bytes: int = 0
    progress_at: float = 0.0


def attempt_id(job: Job) -> tuple[str, int, int]:
    """Return the unique id of a job's attempt."""
    return (job.sender.box, job.sender.incarnation, job.forward.attempt)
