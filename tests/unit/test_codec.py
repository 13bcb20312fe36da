from __future__ import annotations

import hypothesis
import msgspec
import pytest
from hypothesis import strategies as st

from ferrydeck.signed.wire import codec, messages

FORWARD = messages.Forward(
    attempt=1,
    service="catalogue",
    method="GET",
    path="/shows",
    headers=(messages.Header(name="accept", value="*/*"),),
    body=b"body",
    request_id="r",
    priority=7,
    depth=2,
    allowance=3,
    remaining_ms=100.0,
    age_ms=1.0,
)


def encoded(message=FORWARD, **changes):
    fields = {
        "cluster": "test",
        "box": "box-1",
        "incarnation": 5,
        "address": "127.0.0.1:1",
        "receiver": 0,
        "bundle": 1,
        "sent": 0.5,
    }
    return codec.encode(message, **(fields | changes))


def changed(**changes):
    table = msgspec.msgpack.decode(encoded())
    return msgspec.msgpack.encode(table | changes)


def test_a_message_round_trips():
    received = codec.decode(encoded(), cluster="test")
    assert received.message == FORWARD
    assert received.envelope.box == "box-1"


@pytest.mark.parametrize(
    ("data", "fault"),
    [
        (b"", "malformed"),
        (b"\xc1 nothing", "malformed"),
        (encoded()[:-5], "malformed"),
        (changed(protocol=99), "protocol"),
        (changed(kind="Nothing"), "kind"),
        (changed(kind="Answer"), "malformed"),
        (changed(incarnation="five"), "malformed"),
        (encoded(cluster="other"), "cluster"),
    ],
)
def test_invalid_messages_are_reported_with_their_fault(data, fault):
    assert codec.decode(data, cluster="test").fault == fault


@hypothesis.given(st.binary(max_size=200))
@hypothesis.settings(derandomize=True, deadline=None)
def test_arbitrary_bytes_do_not_raise(data):
    assert isinstance(codec.decode(data, cluster="test"), codec.Undecodable)
