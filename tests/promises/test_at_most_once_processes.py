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
    """Return the box that serves a key, found by posting the key."""
    box = post(entry, key).headers[headers.BOX]
    return mesh.boxes[box]


RESEND_WINDOW_S = 600.0
"""Resend window of the fleet, longer than a test takes on a slow machine."""


def start(make_fleet):
    mesh = make_fleet("north", "south")
    entry = mesh.add_box("north-entry", "north", entry=True)
    other = mesh.add_box("south-entry", "south", entry=True)
    mesh.add_box("north-ledger", "north", service="payments-ledger")
    mesh.add_box("south-ledger", "south", service="payments-ledger")
    rolled = mesh.roll(sample.bundle_toml(lease_s=1.5, resend_window_s=RESEND_WINDOW_S))
    assert rolled.returncode == 0, rolled.stderr
    mesh.wait_ready()
    return mesh, entry, other


def keys_by_owner(entry, count=40):
    """Post keys and return them by the box that served them."""
    keys = {}
    for number in range(count):
        key = f"first-{number}"
        keys.setdefault(post(entry, key).headers[headers.BOX], []).append(key)
    return keys


def test_owner_frozen_past_its_lease_with_running_postings(make_fleet):
    mesh, entry, other = start(make_fleet)
    by_owner = keys_by_owner(entry)
    owner = mesh.boxes["north-ledger"]
    owner.daemon.freeze()
    new_keys = [f"frozen-{number}" for number in range(20)]
    answers = {key: post(entry, key, deadline_ms=200) for key in new_keys}
    unknown = [
        key for key, one in answers.items() if one.headers[headers.OUTCOME] == "unknown"
    ]
    assert unknown, "no posting reached the frozen owner"
    successor = mesh.boxes["south-ledger"]
    fleet.eventually(lambda: len(successor.status()["shards"]) == 32, "takeover")
    for key in new_keys + by_owner["north-ledger"]:
        post(other, key, deadline_ms=300)
    owner.daemon.thaw()
    fleet.eventually(lambda: owner.status()["lease_left_s"] > 0, "owner has a lease")
    for key in new_keys + by_owner["north-ledger"]:
        post(entry, key, deadline_ms=300)
    counts = mesh.effects()
    assert max(counts.values()) == 1
    assert set(by_owner["north-ledger"]) <= set(counts)


def test_owner_killed_before_and_after_dispatch(make_fleet):
    mesh, entry, other = start(make_fleet)
    by_owner = keys_by_owner(entry)
    owner = mesh.boxes["north-ledger"]
    owner.configure_target(service_ms=400)
    owner.daemon.kill()
    successor = mesh.boxes["south-ledger"]
    fleet.eventually(lambda: len(successor.status()["shards"]) == 32, "takeover")
    resent_keys = by_owner["north-ledger"]
    answers = [post(other, key, deadline_ms=300) for key in resent_keys]
    # The successor cannot know which postings the crashed owner ran.
    assert {one.headers[headers.OUTCOME] for one in answers} == {"unknown"}
    assert all(int(one.headers[headers.RETRY_AFTER]) >= 1 for one in answers)
    mesh.restart(owner)
    fleet.eventually(lambda: owner.status()["lease_left_s"] > 0, "restarted")
    for key in resent_keys:
        post(entry, key, deadline_ms=300)
    counts = mesh.effects()
    assert max(counts.values()) == 1


def test_stored_answer_is_returned_for_the_same_request_only(make_fleet):
    mesh, entry, other = start(make_fleet)
    first = post(entry, "key")
    resent = post(other, "key")
    assert (first.status, first.body) == (resent.status, resent.body)
    different_body = client.fetch(
        entry.address("entry"),
        "POST",
        "/payments-ledger/postings?ms=5",
        body=b"another body",
        headers={headers.IDEMPOTENCY_KEY: "key"},
    )
    assert different_body.status == 422
    different_caller = client.fetch(
        entry.address("entry"),
        "POST",
        "/payments-ledger/postings?ms=5",
        body=b"key",
        headers={headers.IDEMPOTENCY_KEY: "key", headers.AUTHORIZATION: "Bearer other"},
    )
    assert different_caller.status == 422
    assert mesh.effects() == {"key": 1}
