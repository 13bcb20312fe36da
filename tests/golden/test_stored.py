"""Storage compatibility: recorded values decode and encode unchanged.

Policies are compared without field names, which may change.
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


def values(instance: object) -> list[object]:
    """Return the values of a data class in an order independent of field names."""
    found = [plain(value) for value in attrs.astuple(instance, recurse=False)]
    return sorted(found, key=repr)


def plain(value: object) -> object:
    match value:
        case enum.Enum():
            return value.value
        case tuple():
            return [values(one) for one in value]
    return value


def test_box_records_round_trip():
    held = recorded("box_records")
    result = kv.from_http(store.ReadBoxes(), 200, [held["page"].encode()])
    assert result.odd == held["odd"]
    for record, write in zip(result.records, held["writes"], strict=True):
        call = kv.to_http(store.PutBox(record=record, lease=write["lease"]))
        assert (call.method, call.path) == (write["method"], write["path"])
        assert call.body.decode() == write["body"]


@pytest.mark.parametrize("held", recorded("policies"))
def test_a_policy_is_parsed_and_kept_unchanged(held):
    result = kv.from_http(store.ReadPolicy(), 200, [held["body"].encode()])
    parsed = result.policy
    assert (result.at, result.fault) == (held["at"], "")
    assert (parsed.version, parsed.revision) == (held["version"], held["revision"])
    assert parsed.raw == base64.b64decode(json.loads(held["body"])["value"])
    assert [values(one) for one in parsed.routes] == held["routes"]
    assert sorted(parsed.services) == held["services"]
    assert values(parsed.caller_limits) == held["limits"]
    assert [values(one) for one in parsed.teams.values()] == held["teams"]
    for key, team in held["keys"].items():
        found = parsed.keyring.find(key)
        assert (found.name if found else None) == team
    for host, path, route in held["found"]:
        found = parsed.find_route(host, path)
        assert (found.name if found else None) == route


def test_a_signed_bundle_is_verified_and_round_trips():
    held = recorded("signed")
    raw = held["bundle"].encode()
    signer = settings.Signer(name=held["signer"], key=held["key"])
    verified = signing.verify(raw, signers=(signer,), needed=1, name="recorded")
    assert isinstance(verified, signing.Verified), verified
    assert verified.digest == held["digest"]
    assert signing.encode(verified.signed) == raw
    assert bundles.canonical_body(verified.bundle) == verified.signed.body.encode()


def test_shard_records_round_trip():
    for value in recorded("signed")["shards"]:
        record = msgspec.json.decode(value, type=shard_records.ShardRecord)
        assert msgspec.json.encode(record).decode() == value


def test_leases_round_trip():
    for value in recorded("signed")["leases"]:
        assert leases.encode(leases.decode(value)) == value
