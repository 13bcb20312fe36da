"""Invalid heartbeats and records are ignored and don't affect valid ones."""

from __future__ import annotations

import base64
import json

import hypothesis
import pytest
from hypothesis import strategies

from ferrydeck.mesh import events, store
from ferrydeck.platform import heartbeats, kv
from tests.mesh import samples

PATH = "/api/instances/i-7f3a91c2"
EXAMPLES = 2500
"""Number of generated inputs per property."""
SETTINGS = hypothesis.settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
SCALARS = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=8)
)
VALUES = strategies.recursive(
    SCALARS,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=4,
)


def heartbeat_of(**changes: object) -> dict[str, object]:
    values = {
        "service": "desk",
        "address": "10.0.0.1:80",
        "zone": "hall-0",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_remaining": "0ms",
        "sequence": 4,
        "born": 1_772_790_870_304,
    }
    return values | changes


def record_of(**changes: object) -> dict[str, object]:
    values = {
        "box": "box-9",
        "incarnation": 7,
        "address": "10.0.0.9:7000",
        "zone": "hall-0",
        "service": "desk",
    }
    return values | changes


def item(value: bytes) -> dict[str, object]:
    return {"tls_key": "ferrydeck/box/b", "value": base64.b64encode(value).decode()}


def read_records(items: list[object]) -> store.Result:
    body = json.dumps({"items": items, "more": False, "at": 9}).encode()
    return kv.from_http(store.ReadBoxes(), 200, [body])


GOOD = item(json.dumps(record_of()).encode())


@pytest.mark.parametrize("name", sorted(heartbeat_of()))
def test_a_heartbeat_with_a_missing_or_mistyped_field_is_rejected(name):
    valid = heartbeat_of()
    if name != "born":
        partial = {key: value for key, value in valid.items() if key != name}
        assert heartbeats.read(1, "PUT", PATH, json.dumps(partial).encode()) is None
    for invalid in (None, [], {}, 1.5, True):
        body = json.dumps(valid | {name: invalid}).encode()
        assert heartbeats.read(1, "PUT", PATH, body) is None


def test_a_heartbeat_with_an_unknown_state_is_rejected():
    body = json.dumps(heartbeat_of(state="resting")).encode()
    assert heartbeats.read(1, "PUT", PATH, body) is None


def test_a_heartbeat_of_another_service_is_ignored():
    world = samples.world_of(1)
    box = world.boxes["box-0"]
    server = box.core.inbound.target
    before = (server.phase, server.incarnation)
    values = {"slots": 8, "sequence": 1, "terminating": False, "warmup_s": 0.0}
    for ready in (True, False):
        invalid = events.Heartbeat(
            conn=0,
            target_id="i-odd",
            service="nowhere",
            address=box.core.identity.target_address,
            ready=ready,
            **values,
        )
        world.feed(box, invalid)
    assert (server.phase, server.incarnation) == before


@hypothesis.given(body=strategies.binary(max_size=200))
@SETTINGS
def test_arbitrary_bytes_as_heartbeat_do_not_raise(body):
    heartbeats.read(1, "PUT", PATH, body)
    heartbeats.read(1, "DELETE", PATH, body)


@hypothesis.given(name=strategies.sampled_from(sorted(heartbeat_of())), value=VALUES)
@SETTINGS
def test_arbitrary_values_in_a_heartbeat_do_not_raise(name, value):
    body = json.dumps(heartbeat_of(**{name: value})).encode()
    result = heartbeats.read(1, "PUT", PATH, body)
    assert result is None or isinstance(result.started_ms, int)


@hypothesis.given(raw=strategies.binary(max_size=100))
@SETTINGS
def test_arbitrary_bytes_as_record_do_not_affect_valid_records(raw):
    found = read_records([item(raw), GOOD])
    assert [one.box for one in found.records][-1:] == ["box-9"]


@hypothesis.given(
    name=strategies.sampled_from(sorted(record_of())), value=VALUES, other=VALUES
)
@SETTINGS
def test_arbitrary_values_in_a_record_do_not_affect_valid_records(name, value, other):
    invalid = item(json.dumps(record_of(**{name: value})).encode())
    found = read_records([invalid, other, GOOD])
    assert [one.box for one in found.records][-1:] == ["box-9"]
    assert len(found.records) + found.odd == 3


@pytest.mark.parametrize(
    "address", ["", "10.0.0.9", "10.0.0.9:0", "10.0.0.9:70000", "host:80", "::", ":80"]
)
def test_a_record_with_an_invalid_address_is_ignored(address):
    invalid = item(json.dumps(record_of(address=address)).encode())
    found = read_records([invalid, GOOD])
    assert (len(found.records), found.odd) == (1, 1)


def test_invalid_records_are_logged_once_and_valid_ones_kept():
    world = samples.world_of(3)
    box = world.boxes["box-0"]
    known = len(box.core.peers.by_address)
    records = tuple(world.store.records.values())
    for _ in range(5):
        found = store.BoxesFound(records=records, odd=2)
        world.feed(box, events.StoreAnswered(request=store.ReadBoxes(), result=found))
    lines = [note for _, _, note in world.decisions if note.kind == "records"]
    assert len(lines) == 1
    assert len(box.core.peers.by_address) == known
