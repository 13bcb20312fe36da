from __future__ import annotations

import collections
import random
import urllib.parse

import pytest

from ferrydeck.signed.core import policies
from tests import worlds

SLOTS = 10
SERVICE_MS = 50
CAPACITY_PER_S = SLOTS * 1000 / SERVICE_MS
"""Requests per second that one target can serve."""
LOAD_S = 6
TOP_CLASSES = {"payment-posting", "intake-entry", "audio-download"}
REQUEST_MIX = (
    ("POST", "/payments-ledger/postings", 0.1),
    ("GET", "/payments-ledger/balances", 0.9),
)


def ledger_world(seed, policy=None):
    sim = worlds.sample_world(seed, policy, slots={"payments-ledger": SLOTS})
    sim.add_box("entry", "north")
    sim.add_box("ledger", "north", service="payments-ledger", slots=SLOTS)
    sim.run(2)
    return sim


def send_load(sim, rate_per_s, mix, seconds=LOAD_S):
    """Send calls with Poisson arrivals at the given rate."""
    rng = random.Random(7)
    ends_at = sim.env.now + seconds
    number = 0
    while sim.env.now < ends_at:
        number += 1
        method, path, _ = rng.choices(mix, [share for *_, share in mix])[0]
        sim.call("entry", method, f"{path}?ms={SERVICE_MS}", key=f"k{number}")
        sim.run(rng.expovariate(rate_per_s))
    sim.run(5)


def outcomes_by_class(sim):
    counts = collections.defaultdict(collections.Counter)
    for call in sim.calls:
        counts[call.finished.class_name][call.outcome] += 1
    return counts


@pytest.mark.parametrize("seed", range(4))
def test_no_posting_is_shed_while_lookups_are_served(seed):
    sim = ledger_world(seed)
    send_load(sim, 3 * CAPACITY_PER_S, REQUEST_MIX)
    counts = outcomes_by_class(sim)
    assert set(counts["payment-posting"]) == {"done"}, counts
    assert counts["lookup"]["not-run"] > 0.5 * counts["lookup"].total(), counts
    served = counts["payment-posting"]["done"] + counts["lookup"]["done"]
    assert served > 0.9 * CAPACITY_PER_S * LOAD_S, counts


def test_postings_are_shed_too_without_prioritisation():
    sim = ledger_world(1, policies.Policy(prioritised=False, shed_at_caller=False))
    send_load(sim, 3 * CAPACITY_PER_S, REQUEST_MIX)
    assert outcomes_by_class(sim)["payment-posting"]["not-run"] > 20


def test_every_hop_sheds_the_same_requests_of_one_class():
    slots = {"membership": SLOTS, "audio-delivery": 2 * SLOTS}
    sim = worlds.sample_world(3, slots=slots)
    sim.add_box("entry", "north")
    sim.add_box("membership", "north", service="membership", slots=SLOTS)
    sim.add_box("audio", "north", service="audio-delivery", slots=2 * SLOTS)
    sim.run(2)
    nested_path = urllib.parse.quote(f"/membership/members?ms={SERVICE_MS}", safe="")
    rng = random.Random(5)
    for number in range(3000):
        path = f"/audio-delivery/episodes/{number}?ms={SERVICE_MS}&call={nested_path}"
        sim.call("entry", "GET", path, deadline_ms=1000)
        sim.run(rng.expovariate(1.5 * CAPACITY_PER_S))
    sim.run(5)
    done = [call for call in sim.calls if call.outcome == "done"]
    served = [call for call in done if call.answer.status == 200]
    assert len(served) > 0.8 * len(done), (len(served), len(done))
    elapsed_s = sim.env.now - 5 - 2
    assert len(served) > 0.85 * CAPACITY_PER_S * elapsed_s, (len(served), elapsed_s)


def test_recursive_requests_to_one_service_do_not_deadlock():
    sim = worlds.sample_world(3, slots={"audio-delivery": SLOTS})
    sim.add_box("entry", "north")
    sim.add_box("audio", "north", service="audio-delivery", slots=SLOTS)
    sim.run(2)
    nested_path = urllib.parse.quote(f"/audio-delivery/counts?ms={SERVICE_MS}", safe="")
    rng = random.Random(5)
    for number in range(2000):
        path = f"/audio-delivery/episodes/{number}?ms={SERVICE_MS}&call={nested_path}"
        sim.call("entry", "GET", path, deadline_ms=1000)
        sim.run(rng.expovariate(CAPACITY_PER_S))
    seconds = sim.env.now - 2
    sim.run(5)
    served = [call for call in sim.calls if call.answer.status == 200]
    # Each request holds two slots at times, so at most half the capacity is usable.
    assert len(served) > 0.6 * CAPACITY_PER_S / 3 * seconds, (len(served), seconds)
