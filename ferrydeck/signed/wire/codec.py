"""MessagePack codec of the messages between daemons."""

from __future__ import annotations

import dataclasses
import typing

import msgspec

from ferrydeck.signed.wire import messages

MAX_MESSAGE_BYTES = 24 * 1024 * 1024
"""Maximum length of a message, bytes."""

KINDS = {cls.__name__: cls for cls in typing.get_args(messages.Message)}
EMPTY_BODY = msgspec.Raw(b"")
"""Body of an envelope that is not sent over the network."""

_encoder = msgspec.msgpack.Encoder()
_envelopes = msgspec.msgpack.Decoder(messages.Envelope)
_bodies = {name: msgspec.msgpack.Decoder(cls) for name, cls in KINDS.items()}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Received:
    """A message with its envelope."""

    envelope: messages.Envelope
    message: messages.Message


@dataclasses.dataclass(frozen=True, kw_only=True)
class Undecodable:
    """An invalid message; `fault` is a label of metrics."""

    fault: str
    detail: str


def encode(
    message: messages.Message,
    *,
    cluster: str,
    box: str,
    incarnation: int,
    address: str,
    receiver: int,
    bundle: int,
    sent: float,
) -> bytes:
    """Encode a message with its envelope."""
    envelope = messages.Envelope(
        protocol=messages.PROTOCOL,
        cluster=cluster,
        kind=type(message).__name__,
        box=box,
        incarnation=incarnation,
        address=address,
        receiver=receiver,
        bundle=bundle,
        sent=sent,
        body=msgspec.Raw(_encoder.encode(message)),
    )
    return _encoder.encode(envelope)


def decode(data: bytes, *, cluster: str) -> Received | Undecodable:
    """Decode a message, or return why it is invalid."""
    if len(data) > MAX_MESSAGE_BYTES:
        return Undecodable(fault="too-long", detail=f"{len(data)} bytes")
    try:
        envelope = _envelopes.decode(data)
    except msgspec.DecodeError as exc:
        return Undecodable(fault="malformed", detail=str(exc))
    if envelope.protocol != messages.PROTOCOL:
        return Undecodable(fault="protocol", detail=str(envelope.protocol))
    if envelope.cluster != cluster:
        return Undecodable(fault="cluster", detail=envelope.cluster)
    if envelope.kind not in _bodies:
        return Undecodable(fault="kind", detail=envelope.kind)
    try:
        message = _bodies[envelope.kind].decode(envelope.body)
    except msgspec.DecodeError as exc:
        return Undecodable(fault="malformed", detail=f"{envelope.kind}: {exc}")
    return Received(envelope=envelope, message=message)
