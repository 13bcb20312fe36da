from __future__ import annotations

from ferrydeck.commands import client
from ferrydeck.signed.core import headers
from ferrydeck.standins import fleet, sample


def post(entry, key, *, ms=5, deadline_ms=1500):
    return client.fetch(
        entry.address("entry"),
        "POST",
        f"/payments-ledger/postings?ms={ms}",
        body=key.encode(),
        headers={headers.IDEMPOTENCY_KEY: key, headers.DEADLINE_MS: str(deadline_ms)},
    )


def owner_of(mesh, entry, key):
    """Return the box that serves a key, found by a posting of its own shard."""
    box = post(entry, key).headers[headers.BOX]
    return mesh.boxes[box]


RESENDS_S = 600.0
"""Resend window of the fleets of processes, seconds: longer than any machine takes for
the postings of a test, so that all of them are sent within it."""


def start(make_fleet):
    mesh = make_fleet("north", "south")
    entry = mesh.add_box("north-entry", "north", entry=True)
    other = mesh.add_box("south-entry", "south", entry=True)
    mesh.add_box("north-ledger", "north", service="payments-ledger")
    mesh.add_box("south-ledger", "south", service="payments-ledger")
    rolled = mesh.roll(sample.bundle_toml(lease_s=1.5, resend_window_s=RESENDS_S))
    assert rolled.returncode == 0, rolled.stderr
    mesh.wait_ready()
    return mesh, entry, other


def keys_by_owner(entry, count=40):
    """Return keys that were posted, by the box that took them."""
    found = {}
    for number in range(count):
        key = f"first-{number}"
        found.setdefault(post(entry, key).headers[headers.BOX], []).append(key)
    return found


def test_an_owner_frozen_past_its_lease_with_postings_in_hand(make_fleet):
    mesh, entry, other = start(make_fleet)
    by_owner = keys_by_owner(entry)
    owner = mesh.boxes["north-ledger"]
    owner.daemon.freeze()
    fresh = [f"frozen-{number}" for number in range(20)]
    told = {key: post(entry, key, deadline_ms=200) for key in fresh}
    unknown = [
        key for key, one in told.items() if one.headers[headers.OUTCOME] == "unknown"
    ]
    assert unknown, "no posting met the frozen owner"
    successor = mesh.boxes["south-ledger"]
    fleet.eventually(lambda: len(successor.status()["shards"]) == 32, "takeover")
    for key in fresh + by_owner["north-ledger"]:
        post(other, key, deadline_ms=300)
    owner.daemon.thaw()
    fleet.eventually(lambda: owner.status()["lease_left_s"] > 0, "woken owner is back")
    for key in fresh + by_owner["north-ledger"]:
        post(entry, key, deadline_ms=300)
    counts = mesh.effects()
    assert max(counts.values()) == 1
    assert set(by_owner["north-ledger"]) <= set(counts)


def test_an_owner_killed_before_and_after_dispatch(make_fleet):
    mesh, entry, other = start(make_fleet)
    by_owner = keys_by_owner(entry)
    owner = mesh.boxes["north-ledger"]
    owner.configure_target(service_ms=400)
    owner.daemon.kill()
    successor = mesh.boxes["south-ledger"]
    fleet.eventually(lambda: len(successor.status()["shards"]) == 32, "takeover")
    again = by_owner["north-ledger"]
    told = [post(other, key, deadline_ms=300) for key in again]
    # The successor does not know what the dead owner ran, and says so.
    assert {one.headers[headers.OUTCOME] for one in told} == {"unknown"}
    assert all(int(one.headers[headers.RETRY_AFTER]) >= 1 for one in told)
    mesh.restart(owner)
    fleet.eventually(lambda: owner.status()["lease_left_s"] > 0, "restarted")
    for key in again:
        post(entry, key, deadline_ms=300)
    counts = mesh.effects()
    assert max(counts.values()) == 1


def test_the_answer_of_a_key_is_remembered_for_its_own_request_only(make_fleet):
    mesh, entry, other = start(make_fleet)
    first = post(entry, "key")
    again = post(other, "key")
    assert (first.status, first.body) == (again.status, again.body)
    mixed = client.fetch(
        entry.address("entry"),
        "POST",
        "/payments-ledger/postings?ms=5",
        body=b"another body",
        headers={headers.IDEMPOTENCY_KEY: "key"},
    )
    assert mixed.status == 422
    stranger = client.fetch(
        entry.address("entry"),
        "POST",
        "/payments-ledger/postings?ms=5",
        body=b"key",
        headers={headers.IDEMPOTENCY_KEY: "key", headers.AUTHORIZATION: "Bearer other"},
    )
    assert stranger.status == 422
    assert mesh.effects() == {"key": 1}
