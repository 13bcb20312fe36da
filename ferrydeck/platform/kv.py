"""The platform's store API: conversion of requests and results to and from HTTP.

The client of the store uses it; `manifest` parses the policy. Answers that can't be
parsed become `NoAnswer`; invalid records are counted.
"""

from __future__ import annotations

import base64
import ipaddress
import re
import urllib.parse
from typing import Any

import attrs
import msgspec

from ferrydeck.config import findings
from ferrydeck.mesh import store
from ferrydeck.net import api_client, http
from ferrydeck.platform import manifest, units

POLICY_KEY = "op/config"
"""Key of the policy."""
BOX_KEY_PREFIX = "ferrydeck/box/"
"""Key prefix of the daemons' records, followed by the name of the box."""
ERA_HEADER = "store-era"
"""Header field that increases by one when the store is restored from a backup."""
ERA_PATTERN = re.compile(r"[0-9]{1,18}", re.ASCII)
MORE_PAGES_KEY = "more"
"""Key that is true in a page of records unless it is the last one."""
STALE_PARAMETER = "&stale=1"
"""Query parameter that allows an answer from a lagging replica."""
MAX_PORT = 65535


@attrs.define(kw_only=True, frozen=True)
class StoredRecord:
    """The record of a box as encoded in the store."""

    box: str
    incarnation: int
    address: str
    zone: str
    """The box's data centre."""
    service: str


def to_http(request: store.Request) -> api_client.Call:
    """Convert a request to an HTTP call."""
    match request:
        case store.ReadPolicy(stale=stale):
            path = f"/api/kv-key?tls_key={quote(POLICY_KEY)}"
            return api_client.Call(method="GET", path=path + STALE_PARAMETER * stale)
        case store.ProvePolicy(revision=revision):
            expected = {"tls_key": POLICY_KEY, "revision": revision}
            return _transaction(expected=[expected], put=[])
        case store.WatchPolicy(after=after, wait_s=wait_s):
            return _watch(POLICY_KEY, after, wait_s)
        case store.ReadBoxes(stale=stale):
            path = f"/api/kv-range?path_prefix={quote(BOX_KEY_PREFIX)}"
            return api_client.Call(method="GET", path=path + STALE_PARAMETER * stale)
        case store.GrantLease(ttl_s=ttl_s):
            body = msgspec.json.encode({"ttl_time": f"{int(ttl_s * 1000)}ms"})
            return api_client.Call(method="POST", path="/api/kv-lease", body=body)
        case store.KeepLease(lease=lease):
            return api_client.Call(method="POST", path=f"/api/kv-keep/{lease}")
        case store.PutBox(record=record, lease=lease):
            return _put(record, lease)


def next_page(request: store.ReadBoxes, last_key: str) -> api_client.Call:
    """Return the call for the page after the one that ends with `last_key`."""
    first = to_http(request)
    return api_client.Call(method="GET", path=f"{first.path}&after={quote(last_key)}")


def last_key(body: bytes) -> str:
    """Return the last key of a page, or an empty string for the final page."""
    try:
        page = msgspec.json.decode(body)
        # Despite its name, `tls_key` is the key of an entry.
        return page["items"][-1]["tls_key"] if page.get(MORE_PAGES_KEY) else ""
    except (msgspec.DecodeError, LookupError, TypeError, AttributeError):
        # `from_http` parses the page as well and reports errors.
        return ""


def read_era(fields: http.Fields) -> int:
    """Return the era in the fields of an answer, 0 if absent; raises `ValueError`."""
    value = dict(fields).get(ERA_HEADER)
    if value is None:
        return 0
    if not ERA_PATTERN.fullmatch(value):
        raise ValueError(f"no era: {value!r}")
    return int(value)


def from_http(request: store.Request, status: int, bodies: list[bytes]) -> store.Result:
    """Convert the answer to a request to a result; `bodies` has one body per page."""
    try:
        return _parse(request, status, bodies)
    except (msgspec.DecodeError, LookupError, TypeError, ValueError) as exc:
        return store.NoAnswer(detail=f"answer not understood: {exc!r}")


def _parse(request: store.Request, status: int, bodies: list[bytes]) -> store.Result:
    body = bodies[-1]
    match request, status:
        case store.ReadPolicy(), 404:
            # "at" is the store revision of the answer, not a time.
            at = msgspec.json.decode(body).get("at", 0) if body else 0
            return store.PolicyFound(policy=None, at=at)
        case store.ProvePolicy(), 412:
            [item] = msgspec.json.decode(body)["items"]
            return _parse_policy(item, item["revision"])
        case store.ProvePolicy(), 200:
            return store.PolicyProved()
        case store.WatchPolicy(), 410:
            return store.HistoryGone()
        case ((store.KeepLease() | store.PutBox()), 404):
            return store.LeaseOver()
        case _, 200:
            return _parse_success(request, bodies)
        case _:
            return store.NoAnswer(detail=f"status {status}")


def _parse_success(request: store.Request, bodies: list[bytes]) -> store.Result:
    if isinstance(request, store.PutBox):
        return store.Done()
    pages = [msgspec.json.decode(body) for body in bodies]
    answer = pages[0]
    match request:
        case store.ReadPolicy():
            return _parse_policy(answer, answer.get("at", answer["revision"]))
        case store.WatchPolicy():
            events = [one for one in answer["events"] if one["tls_key"] == POLICY_KEY]
            kept = [one for one in events if not one.get("gone")]
            if not kept:
                return store.PolicyFound(policy=None, at=answer["at"])
            return _parse_policy(kept[-1], answer["at"])
        case store.ReadBoxes():
            items = [item for page in pages for item in page["items"]]
            parsed = [_parse_record(item) for item in items]
            records = tuple(one for one in parsed if one is not None)
            return store.BoxesFound(records=records, odd=len(parsed) - len(records))
        case store.GrantLease():
            return store.Leased(
                lease=answer["lease"], ttl_s=units.to_seconds(answer["ttl_time"])
            )
        case store.KeepLease(lease=lease):
            return store.Leased(lease=lease, ttl_s=units.to_seconds(answer["ttl_time"]))


def _parse_policy(item: dict[str, Any], at: int) -> store.PolicyFound:
    policy = manifest.read(base64.b64decode(item["value"]), POLICY_KEY)
    if isinstance(policy, findings.Rejected):
        return store.PolicyFound(policy=None, at=at, fault=str(policy))
    policy.revision = item["revision"]
    return store.PolicyFound(policy=policy, at=at)


def _parse_record(item: Any) -> store.BoxRecord | None:
    """Parse the record of a box; return `None` if it is invalid."""
    try:
        raw = base64.b64decode(item["value"], validate=True)
        stored = msgspec.json.decode(raw, type=StoredRecord)
        host, port = _parse_address(stored.address)
    except (msgspec.DecodeError, LookupError, TypeError, ValueError):
        return None
    complete = stored.box and stored.zone and stored.service and host
    if not complete or not 0 < port <= MAX_PORT:
        return None
    return store.BoxRecord(
        box=stored.box,
        incarnation=stored.incarnation,
        address=stored.address,
        data_centre=stored.zone,
        service=stored.service,
    )


def _parse_address(address: str) -> tuple[str, int]:
    """Split an address into IP and port; raises `ValueError` if it is invalid."""
    host, _, port = address.rpartition(":")
    return str(ipaddress.ip_address(host.strip("[]"))), int(port)


def _watch(prefix: str, after: int, wait_s: float) -> api_client.Call:
    wait_ms = int(wait_s * 1000)
    query = f"path_prefix={quote(prefix)}&after={after}&wait_ms={wait_ms}"
    return api_client.Call(method="GET", path=f"/api/kv-watch?{query}")


def _put(record: store.BoxRecord, lease: int) -> api_client.Call:
    stored = StoredRecord(
        box=record.box,
        incarnation=record.incarnation,
        address=record.address,
        zone=record.data_centre,
        service=record.service,
    )
    value = base64.b64encode(msgspec.json.encode(stored)).decode()
    put = {"tls_key": BOX_KEY_PREFIX + record.box, "value": value, "lease": lease}
    return _transaction(expected=[], put=[put])


def _transaction(
    *, expected: list[dict[str, object]], put: list[dict[str, object]]
) -> api_client.Call:
    body = msgspec.json.encode({"expected_rev": expected, "put": put, "remove": []})
    return api_client.Call(method="POST", path="/api/kv-txn", body=body)


def quote(text: str) -> str:
    """Percent-encode a value for a query string."""
    return urllib.parse.quote(text, safe="/")
