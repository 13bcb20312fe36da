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

ALLOWANCE = 3
DEPTH = 22


@hypothesis.given(st.integers(0, 8), st.integers(0, 2**32))
@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
def test_a_ledger_that_is_split_is_never_copied(allowance, seed):
    """Any tree of hops, each trying again as long as it may, any losses."""
    rng = random.Random(seed)
    spent = 0

    def hop(ledger, depth):
        nonlocal spent
        for _ in range(rng.randrange(4) if depth < DEPTH else 0):
            while True:
                handed = ledger.take_child_share()
                child = retry_limits.RetryAllowance(remaining=handed)
                if rng.random() < 0.5:
                    hop(child, depth + 1)
                lost = rng.random() < 0.3
                ledger.refund(0 if lost else child.remaining)
                if rng.random() < 0.5 or not ledger.try_spend():
                    break
                spent += 1

    hop(retry_limits.RetryAllowance(remaining=allowance), 0)
    assert spent <= allowance


def deep_path(depth, again, number, status):
    """Return a call that goes down `depth` hops, every hop trying again."""
    path = f"/catalogue/shows/{number}-{depth}?ms=1&status={status}"
    for level in reversed(range(depth)):
        call = urllib.parse.quote(path, safe="")
        path = f"/catalogue/shows/{number}-{level}?ms=1&again={again}&call={call}"
    return path


def deep_world(seed, policy=None):
    made = worlds.sample_world(seed, policy, allowance=ALLOWANCE)
    made.add_box("entry", "north")
    for number in range(3):
        made.add_box(f"catalogue-{number}", "north", service="catalogue", slots=50)
    made.run(2)
    return made


def runs_by_hop(made):
    return collections.Counter(
        effect.path.partition("?")[0] for effect in made.effects()
    )


@pytest.mark.parametrize("seed", range(6))
def test_a_deep_chain_with_every_hop_retrying_stays_within_the_bound(seed):
    made = deep_world(seed)
    made.faults.loss_ratio = 0.02 * (seed % 3)
    made.call("entry", "GET", deep_path(DEPTH, 2, 7, 500), deadline_ms=1000)
    made.run(5)
    runs = runs_by_hop(made)
    assert max(runs.values()) <= 1 + ALLOWANCE, runs
    assert sum(runs.values()) <= (DEPTH + 1) * (1 + ALLOWANCE)


def test_without_the_split_the_same_chain_runs_far_more_often():
    policy = policies.Policy(share_retry_allowance=False, limit_retry_ratio=False)
    made = deep_world(1, policy)
    made.call("entry", "GET", deep_path(4, 2, 7, 500), deadline_ms=1000)
    made.run(5)
    assert max(runs_by_hop(made).values()) > 1 + ALLOWANCE


def test_resends_of_a_key_by_the_caller_share_its_allowance():
    made = deep_world(1)
    for _ in range(20):
        made.call("entry", "GET", deep_path(2, 0, 9, 500), key="again")
        made.run(0.3)
    runs = runs_by_hop(made)
    assert max(runs.values()) <= 1 + ALLOWANCE, runs
    last = made.calls[-1]
    assert last.outcome == "unknown"
    assert last.answered_at == last.started_at, "a request given up is answered at once"


def test_three_real_hops_with_the_deep_target_failing(make_fleet):
    mesh = make_fleet("north")
    entry = mesh.add_box("entry", "north", entry=True)
    for service in ("farmer-enquiry", "route-planning", "catalogue"):
        mesh.add_box(f"{service}-1", "north", service=service)
    rolled = mesh.roll(sample.bundle_toml(allowance=ALLOWANCE))
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
            assert 1 <= len(box.effects()) <= 1 + ALLOWANCE, box.name
