"""What the stores hold, as daemons in use wrote it: read today, and written the same.

Values of a policy are compared without the names of fields, which may change.
"""

from __future__ import annotations

import base64
import enum
import json
import pathlib
import typing

import attrs
import msgspec
import pytest

from ferrydeck.mesh import store
from ferrydeck.platform import kv
from ferrydeck.signed import bundle as bundles
from ferrydeck.signed import settings, signing
from ferrydeck.signed.core import leases, shard_records

STORED = pathlib.Path(__file__).parent / "stored"


def recorded(name: str) -> typing.Any:
    return json.loads((STORED / f"{name}.json").read_text())


def values(thing: object) -> list[object]:
    """Return the values of a data class in an order that no rename changes."""
    found = [plain(value) for value in attrs.astuple(thing, recurse=False)]
    return sorted(found, key=repr)


def plain(value: object) -> object:
    match value:
        case enum.Enum():
            return value.value
        case tuple():
            return [values(one) for one in value]
    return value


def test_records_of_boxes_are_read_and_written_as_they_are():
    held = recorded("box_records")
    result = kv.from_http(store.ReadBoxes(), 200, [held["page"].encode()])
    assert result.odd == held["odd"]
    for record, write in zip(result.records, held["writes"], strict=True):
        call = kv.to_http(store.PutBox(record=record, lease=write["lease"]))
        assert (call.method, call.path) == (write["method"], write["path"])
        assert call.body.decode() == write["body"]


@pytest.mark.parametrize("held", recorded("policies"))
def test_a_policy_is_read_as_before_and_passed_on_as_it_is(held):
    result = kv.from_http(store.ReadPolicy(), 200, [held["body"].encode()])
    made = result.policy
    assert (result.at, result.fault) == (held["at"], "")
    assert (made.version, made.revision) == (held["version"], held["revision"])
    assert made.raw == base64.b64decode(json.loads(held["body"])["value"])
    assert [values(one) for one in made.routes] == held["routes"]
    assert sorted(made.services) == held["services"]
    assert values(made.caller_limits) == held["limits"]
    assert [values(one) for one in made.teams.values()] == held["teams"]
    for key, team in held["keys"].items():
        found = made.keyring.find(key)
        assert (found.name if found else None) == team
    for host, path, route in held["found"]:
        found = made.find(host, path)
        assert (found.name if found else None) == route


def test_a_signed_bundle_is_verified_and_written_as_it_is():
    held = recorded("signed")
    raw = held["bundle"].encode()
    signer = settings.Signer(name=held["signer"], key=held["key"])
    verified = signing.verify(raw, signers=(signer,), needed=1, name="recorded")
    assert isinstance(verified, signing.Verified), verified
    assert verified.digest == held["digest"]
    assert signing.encode(verified.signed) == raw
    assert bundles.canonical_body(verified.bundle) == verified.signed.body.encode()


def test_records_of_shards_are_read_and_written_as_they_are():
    for value in recorded("signed")["shards"]:
        record = msgspec.json.decode(value, type=shard_records.ShardRecord)
        assert msgspec.json.encode(record).decode() == value


def test_leases_are_read_and_written_as_they_are():
    for value in recorded("signed")["leases"]:
        assert leases.encode(leases.decode(value)) == value
