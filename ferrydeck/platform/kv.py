"""The calls of the platform's store, from and to the project's requests and results.

Used by the client of the store; relies on `manifest` for the policy in an answer. What
can't be read becomes `NoAnswer` or is counted, never passed over.
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
"""Where operators put the policy."""
BOXES = "ferrydeck/box/"
"""Where each daemon puts its record, before the name of its box."""
ERA_FIELD = "store-era"
"""Header field of each answer: rises by one when the store comes back from a copy."""
ERA_FORM = re.compile(r"[0-9]{1,18}", re.ASCII)
PAGE_MORE = "more"
"""Set in a page of records that others follow."""
STALE = "&stale=1"
"""Allows an answer from a replica that may lag behind."""
PORT_MOST = 65535


@attrs.define(kw_only=True, frozen=True)
class StoredRecord:
    """A box's record as it stands in the store."""

    box: str
    incarnation: int
    address: str
    zone: str
    """The box's data centre."""
    service: str


def to_http(request: store.Request) -> api_client.Call:
    """Return the HTTP form of a request."""
    match request:
        case store.ReadPolicy(stale=stale):
            path = f"/api/kv-key?tls_key={quote(POLICY_KEY)}"
            return api_client.Call(method="GET", path=path + STALE * stale)
        case store.ProvePolicy(revision=revision):
            expected = {"tls_key": POLICY_KEY, "revision": revision}
            return _transaction(expected=[expected], put=[])
        case store.WatchPolicy(after=after, wait_s=wait_s):
            return _watch(POLICY_KEY, after, wait_s)
        case store.ReadBoxes(stale=stale):
            path = f"/api/kv-range?path_prefix={quote(BOXES)}"
            return api_client.Call(method="GET", path=path + STALE * stale)
        case store.GrantLease(ttl_s=ttl_s):
            body = msgspec.json.encode({"ttl_time": f"{int(ttl_s * 1000)}ms"})
            return api_client.Call(method="POST", path="/api/kv-lease", body=body)
        case store.KeepLease(lease=lease):
            return api_client.Call(method="POST", path=f"/api/kv-keep/{lease}")
        case store.PutBox(record=record, lease=lease):
            return _put(record, lease)


def next_page(request: store.ReadBoxes, last_key: str) -> api_client.Call:
    """Return the call for what comes after the last key of a page."""
    first = to_http(request)
    return api_client.Call(method="GET", path=f"{first.path}&after={quote(last_key)}")


def last_key(body: bytes) -> str:
    """Return the last key of a page that others follow, or an empty text."""
    try:
        page = msgspec.json.decode(body)
        # The field named after TLS is the plain key of an entry.
        return page["items"][-1]["tls_key"] if page.get(PAGE_MORE) else ""
    except (msgspec.DecodeError, LookupError, TypeError, AttributeError):
        # There is no key to go on from; from_http reads the page too and reports what
        # it can't read.
        return ""


def read_era(fields: http.Fields) -> int:
    """Return the era that an answer states, 0 for none; raises `ValueError`."""
    stated = dict(fields).get(ERA_FIELD)
    if stated is None:
        return 0
    if not ERA_FORM.fullmatch(stated):
        raise ValueError(f"no era: {stated!r}")
    return int(stated)


def from_http(request: store.Request, status: int, bodies: list[bytes]) -> store.Result:
    """Return what the answer to a request means; one body for each page."""
    try:
        return _read(request, status, bodies)
    except (msgspec.DecodeError, LookupError, TypeError, ValueError) as exc:
        return store.NoAnswer(detail=f"answer not understood: {exc!r}")


def _read(request: store.Request, status: int, bodies: list[bytes]) -> store.Result:
    body = bodies[-1]
    match request, status:
        case store.ReadPolicy(), 404:
            # "at" is the store's revision of the answer, not a time.
            at = msgspec.json.decode(body).get("at", 0) if body else 0
            return store.PolicyFound(policy=None, at=at)
        case store.ProvePolicy(), 412:
            [item] = msgspec.json.decode(body)["items"]
            return _policy(item, item["revision"])
        case store.ProvePolicy(), 200:
            return store.PolicyProved()
        case store.WatchPolicy(), 410:
            return store.HistoryGone()
        case ((store.KeepLease() | store.PutBox()), 404):
            return store.LeaseOver()
        case _, 200:
            return _read_ok(request, bodies)
        case _:
            return store.NoAnswer(detail=f"status {status}")


def _read_ok(request: store.Request, bodies: list[bytes]) -> store.Result:
    if isinstance(request, store.PutBox):
        return store.Done()
    pages = [msgspec.json.decode(body) for body in bodies]
    answer = pages[0]
    match request:
        case store.ReadPolicy():
            return _policy(answer, answer.get("at", answer["revision"]))
        case store.WatchPolicy():
            events = [one for one in answer["events"] if one["tls_key"] == POLICY_KEY]
            kept = [one for one in events if not one.get("gone")]
            if not kept:
                return store.PolicyFound(policy=None, at=answer["at"])
            return _policy(kept[-1], answer["at"])
        case store.ReadBoxes():
            items = [item for page in pages for item in page["items"]]
            records = [_record(item) for item in items]
            found = tuple(one for one in records if one is not None)
            return store.BoxesFound(records=found, odd=len(records) - len(found))
        case store.GrantLease():
            return store.Leased(
                lease=answer["lease"], ttl_s=units.parse_duration(answer["ttl_time"])
            )
        case store.KeepLease(lease=lease):
            return store.Leased(
                lease=lease, ttl_s=units.parse_duration(answer["ttl_time"])
            )


def _policy(item: dict[str, Any], at: int) -> store.PolicyFound:
    made = manifest.read(base64.b64decode(item["value"]), POLICY_KEY)
    if isinstance(made, findings.Rejected):
        return store.PolicyFound(policy=None, at=at, fault=str(made))
    made.revision = item["revision"]
    return store.PolicyFound(policy=made, at=at)


def _record(item: Any) -> store.BoxRecord | None:
    """Return the record in an item, `None` where another writer put something else."""
    try:
        raw = base64.b64decode(item["value"], validate=True)
        stored = msgspec.json.decode(raw, type=StoredRecord)
        host, port = _address(stored.address)
    except (msgspec.DecodeError, LookupError, TypeError, ValueError):
        return None
    whole = stored.box and stored.zone and stored.service and host
    if not whole or not 0 < port <= PORT_MOST:
        return None
    return store.BoxRecord(
        box=stored.box,
        incarnation=stored.incarnation,
        address=stored.address,
        data_centre=stored.zone,
        service=stored.service,
    )


def _address(address: str) -> tuple[str, int]:
    """Return the IP and the port of an address; raises `ValueError` for any other."""
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
    put = {"tls_key": BOXES + record.box, "value": value, "lease": lease}
    return _transaction(expected=[], put=[put])


def _transaction(
    *, expected: list[dict[str, object]], put: list[dict[str, object]]
) -> api_client.Call:
    body = msgspec.json.encode({"expected_rev": expected, "put": put, "remove": []})
    return api_client.Call(method="POST", path="/api/kv-txn", body=body)


def quote(text: str) -> str:
    """Return a text as it stands in a query."""
    return urllib.parse.quote(text, safe="/")
