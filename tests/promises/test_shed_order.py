from __future__ import annotations

import collections
import random
import urllib.parse

import pytest

from ferrydeck.signed.core import policies
from tests import worlds

SLOTS = 10
MS = 50
CAPACITY = SLOTS * 1000 / MS
"""Calls a second that one target can serve."""
SECONDS = 6
TOP = {"payment-posting", "intake-entry", "audio-download"}
MIX = (
    ("POST", "/payments-ledger/postings", 0.1),
    ("GET", "/payments-ledger/balances", 0.9),
)


def ledger(seed, policy=None):
    made = worlds.sample_world(seed, policy, slots={"payments-ledger": SLOTS})
    made.add_box("entry", "north")
    made.add_box("ledger", "north", service="payments-ledger", slots=SLOTS)
    made.run(2)
    return made


def load(made, rate, mix, seconds=SECONDS):
    """Send calls at a rate with exponential gaps."""
    rng = random.Random(7)
    ends = made.env.now + seconds
    number = 0
    while made.env.now < ends:
        number += 1
        method, path, _ = rng.choices(mix, [share for *_, share in mix])[0]
        made.call("entry", method, f"{path}?ms={MS}", key=f"k{number}")
        made.run(rng.expovariate(rate))
    made.run(5)


def outcomes(made):
    counted = collections.defaultdict(collections.Counter)
    for call in made.calls:
        counted[call.finished.class_name][call.outcome] += 1
    return counted


@pytest.mark.parametrize("seed", range(4))
def test_no_posting_is_refused_while_lookups_are_served(seed):
    made = ledger(seed)
    load(made, 3 * CAPACITY, MIX)
    counted = outcomes(made)
    assert set(counted["payment-posting"]) == {"done"}, counted
    assert counted["lookup"]["not-run"] > 0.5 * counted["lookup"].total(), counted
    served = counted["payment-posting"]["done"] + counted["lookup"]["done"]
    assert served > 0.9 * CAPACITY * SECONDS, counted


def test_without_the_order_postings_are_refused_too():
    made = ledger(1, policies.Policy(prioritised=False, shed_at_caller=False))
    load(made, 3 * CAPACITY, MIX)
    assert outcomes(made)["payment-posting"]["not-run"] > 20


def test_all_top_overload_sheds_by_the_request_alike_at_every_hop():
    slots = {"membership": SLOTS, "audio-delivery": 2 * SLOTS}
    made = worlds.sample_world(3, slots=slots)
    made.add_box("entry", "north")
    made.add_box("membership", "north", service="membership", slots=SLOTS)
    made.add_box("audio", "north", service="audio-delivery", slots=2 * SLOTS)
    made.run(2)
    deep = urllib.parse.quote(f"/membership/members?ms={MS}", safe="")
    rng = random.Random(5)
    for number in range(3000):
        path = f"/audio-delivery/episodes/{number}?ms={MS}&call={deep}"
        made.call("entry", "GET", path, deadline_ms=1000)
        made.run(rng.expovariate(1.5 * CAPACITY))
    made.run(5)
    done = [call for call in made.calls if call.outcome == "done"]
    whole = [call for call in done if call.answer.status == 200]
    assert len(whole) > 0.8 * len(done), (len(whole), len(done))
    ended = made.env.now - 5 - 2
    assert len(whole) > 0.85 * CAPACITY * ended, (len(whole), ended)


def test_requests_that_come_back_to_their_service_do_not_block_each_other():
    made = worlds.sample_world(3, slots={"audio-delivery": SLOTS})
    made.add_box("entry", "north")
    made.add_box("audio", "north", service="audio-delivery", slots=SLOTS)
    made.run(2)
    deep = urllib.parse.quote(f"/audio-delivery/counts?ms={MS}", safe="")
    rng = random.Random(5)
    for number in range(2000):
        path = f"/audio-delivery/episodes/{number}?ms={MS}&call={deep}"
        made.call("entry", "GET", path, deadline_ms=1000)
        made.run(rng.expovariate(CAPACITY))
    seconds = made.env.now - 2
    made.run(5)
    whole = [call for call in made.calls if call.answer.status == 200]
    # Each request holds two slots for a while, so half the capacity is the most.
    assert len(whole) > 0.6 * CAPACITY / 3 * seconds, (len(whole), seconds)
