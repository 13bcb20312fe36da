from __future__ import annotations

import collections
import random
import urllib.parse

import hypothesis
import pytest
from hypothesis import strategies as st

from ferrydeck.commands import client
from ferrydeck.signed.core import headers, policies, retry_limits
from ferrydeck.standins import sample
from tests import worlds

RETRY_ALLOWANCE = 3
MAX_DEPTH = 22


@hypothesis.given(st.integers(0, 8), st.integers(0, 2**32))
@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
def test_split_retry_allowance_is_never_duplicated(allowance, seed):
    """Draws a random tree of hops that retry while allowed, with lost answers."""
    rng = random.Random(seed)
    spent = 0

    def hop(allowance_left, depth):
        nonlocal spent
        for _ in range(rng.randrange(4) if depth < MAX_DEPTH else 0):
            while True:
                share = allowance_left.take_child_share()
                child = retry_limits.RetryAllowance(remaining=share)
                if rng.random() < 0.5:
                    hop(child, depth + 1)
                lost = rng.random() < 0.3
                allowance_left.refund(0 if lost else child.remaining)
                if rng.random() < 0.5 or not allowance_left.try_spend():
                    break
                spent += 1

    hop(retry_limits.RetryAllowance(remaining=allowance), 0)
    assert spent <= allowance


def deep_path(depth, resends, number, status):
    """Return the path of a call through `depth` hops that all retry."""
    path = f"/catalogue/shows/{number}-{depth}?ms=1&status={status}"
    for level in reversed(range(depth)):
        call = urllib.parse.quote(path, safe="")
        path = f"/catalogue/shows/{number}-{level}?ms=1&again={resends}&call={call}"
    return path


def deep_world(seed, policy=None):
    sim = worlds.sample_world(seed, policy, allowance=RETRY_ALLOWANCE)
    sim.add_box("entry", "north")
    for number in range(3):
        sim.add_box(f"catalogue-{number}", "north", service="catalogue", slots=50)
    sim.run(2)
    return sim


def runs_by_hop(sim):
    return collections.Counter(
        effect.path.partition("?")[0] for effect in sim.effects()
    )


@pytest.mark.parametrize("seed", range(6))
def test_retries_at_every_hop_of_a_deep_chain_stay_within_the_allowance(seed):
    sim = deep_world(seed)
    sim.faults.loss_ratio = 0.02 * (seed % 3)
    sim.call("entry", "GET", deep_path(MAX_DEPTH, 2, 7, 500), deadline_ms=1000)
    sim.run(5)
    runs = runs_by_hop(sim)
    assert max(runs.values()) <= 1 + RETRY_ALLOWANCE, runs
    assert sum(runs.values()) <= (MAX_DEPTH + 1) * (1 + RETRY_ALLOWANCE)


def test_deep_chain_exceeds_the_allowance_when_it_is_not_split():
    policy = policies.Policy(share_retry_allowance=False, limit_retry_ratio=False)
    sim = deep_world(1, policy)
    sim.call("entry", "GET", deep_path(4, 2, 7, 500), deadline_ms=1000)
    sim.run(5)
    assert max(runs_by_hop(sim).values()) > 1 + RETRY_ALLOWANCE


def test_resends_of_a_key_share_one_allowance():
    sim = deep_world(1)
    for _ in range(20):
        sim.call("entry", "GET", deep_path(2, 0, 9, 500), key="again")
        sim.run(0.3)
    runs = runs_by_hop(sim)
    assert max(runs.values()) <= 1 + RETRY_ALLOWANCE, runs
    last = sim.calls[-1]
    assert last.outcome == "unknown"
    assert last.answered_at == last.started_at, (
        "an abandoned request is answered immediately"
    )


def test_three_process_hops_with_a_failing_last_target(make_fleet):
    mesh = make_fleet("north")
    entry = mesh.add_box("entry", "north", entry=True)
    for service in ("farmer-enquiry", "route-planning", "catalogue"):
        mesh.add_box(f"{service}-1", "north", service=service)
    rolled = mesh.roll(sample.bundle_toml(allowance=RETRY_ALLOWANCE))
    assert rolled.returncode == 0, rolled.stderr
    mesh.wait_ready()
    deep = "/catalogue/shows/1?status=500"
    middle = f"/route-planning/sheets/1?call={urllib.parse.quote(deep, safe='')}"
    path = f"/farmer-enquiry/farmers/1?call={urllib.parse.quote(middle, safe='')}"
    for _ in range(10):
        fields = {headers.IDEMPOTENCY_KEY: "one-request"}
        client.fetch(entry.address("entry"), "GET", path, headers=fields)
    for box in mesh.boxes.values():
        if box.service:
            assert 1 <= len(box.effects()) <= 1 + RETRY_ALLOWANCE, box.name
