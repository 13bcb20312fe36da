from __future__ import annotations

import os

import pytest

from ferrydeck.mesh import messages
from ferrydeck.mesh.net import deflate


def small_call(number: int) -> bytes:
    call_id = f"{os.urandom(8).hex()}.{os.urandom(8).hex()}"
    message = messages.Forward(
        number=number,
        request_id=call_id,
        incarnation="i-9968833dc7",
        service="roastlog",
        caller="dispatch",
        method="GET",
        path="/huny576/a1",
        fields=[
            ("host", "calls.example"),
            ("user-agent", "client/1.9"),
            ("accept", "*/*"),
        ],
        body=b"",
        sent_s=12.25 + number,
        left_s=0.7,
        wait_s=0.5,
        objective_s=0.3,
        route="r-mde7rye",
        priority=1,
        is_first_call=False,
        sheddable=False,
        retryable=True,
        caller_retry=False,
        first_attempt=True,
        retry=messages.Retry.NO,
    )
    return messages.encode(message)


def test_frames_round_trip():
    sender, receiver = deflate.Deflater(), deflate.Inflater()
    frames = [small_call(n) for n in range(50)]
    frames += [b"", os.urandom(deflate.MAX_FRAME_BYTES), b"x" * deflate.MAX_FRAME_BYTES]
    for frame in frames:
        assert receiver.unpack(sender.pack(frame)) == frame


def test_small_calls_shrink_by_more_than_half():
    sender = deflate.Deflater()
    frames = [small_call(number) for number in range(200)]
    packed = sum(len(sender.pack(frame)) for frame in frames)
    assert packed < 0.45 * sum(map(len, frames))


def test_invalid_data_is_rejected():
    with pytest.raises(ValueError, match="invalid"):
        deflate.Inflater().unpack(b"\xff\xff\xff\xff")


def test_a_frame_that_inflates_beyond_the_limit_is_rejected():
    packed = deflate.Deflater().pack(b"x" * (deflate.MAX_FRAME_BYTES + 100))
    with pytest.raises(ValueError, match="exceeds the maximum size"):
        deflate.Inflater().unpack(packed)
