"""Guards wire compatibility: recorded frames decode and encode unchanged.

Never re-record a frame; add one for each new message.
"""

from __future__ import annotations

import json
import pathlib
import typing

import msgspec
import pytest

from ferrydeck.mesh import messages
from ferrydeck.signed.wire import codec

FRAMES = pathlib.Path(__file__).parent / "frames"
CLUSTER = "test"


def recorded(protocol: str) -> list[dict[str, typing.Any]]:
    return json.loads((FRAMES / f"{protocol}.json").read_text())


def tag_of(cls: type) -> int:
    return cls.__struct_config__.tag


@pytest.mark.parametrize("frame", recorded("mesh"), ids=lambda frame: frame["kind"])
def test_a_recorded_mesh_frame_round_trips(frame):
    raw = bytes.fromhex(frame["hex"])
    message = messages.decode(raw)
    assert tag_of(type(message)) == frame["tag"]
    assert messages.encode(message) == raw


@pytest.mark.parametrize("frame", recorded("signed"), ids=lambda frame: frame["kind"])
def test_a_recorded_signed_frame_round_trips(frame):
    raw = bytes.fromhex(frame["hex"])
    received = codec.decode(raw, cluster=CLUSTER)
    assert isinstance(received, codec.Received), received
    envelope = received.envelope
    assert isinstance(received.message, codec.KINDS[frame["kind"]])
    assert envelope.kind == frame["kind"]
    written = codec.encode(
        received.message,
        cluster=envelope.cluster,
        box=envelope.box,
        incarnation=envelope.incarnation,
        address=envelope.address,
        receiver=envelope.receiver,
        bundle=envelope.bundle,
        sent=envelope.sent,
    )
    assert written == raw


def test_every_mesh_tag_has_a_recorded_frame():
    tags = {tag_of(cls) for cls in typing.get_args(messages.AnyMessage)}
    assert tags == {frame["tag"] for frame in recorded("mesh")}


def test_every_signed_kind_has_a_recorded_frame():
    assert set(codec.KINDS) == {frame["kind"] for frame in recorded("signed")}


def test_a_mesh_frame_starts_with_its_tag():
    for frame in recorded("mesh"):
        assert msgspec.msgpack.decode(bytes.fromhex(frame["hex"]))[0] == frame["tag"]
