from __future__ import annotations

import collections
import random
import signal
import threading
import urllib.parse

import pytest

from ferrydeck.commands import client
from ferrydeck.signed.core import headers
from ferrydeck.signed.wire import messages
from ferrydeck.standins import fleet, sample
from tests import worlds

SEEDS = range(12)
CHAIN = ("farmer-enquiry", "route-planning", "payments-ledger")
PATHS = {
    "farmer-enquiry": "/farmers",
    "route-planning": "/sheets",
    "payments-ledger": "/balances",
}


def chain_world(seed):
    """Return a simulation of three chained services in two data centres."""
    slots = dict.fromkeys(CHAIN, 3)
    sim = worlds.sample_world(seed, slots=slots)
    for name in ("north", "south"):
        sim.add_box(f"{name}-entry", name)
        for service in CHAIN:
            sim.add_box(f"{name}-{service}", name, service=service, slots=3)
    sim.run(2)
    return sim


def nested_path(number, ms):
    """Return the path of a call through the whole chain, with its number."""
    path = ""
    for service in reversed(CHAIN):
        call = f"&call={urllib.parse.quote(path, safe='')}" if path else ""
        path = f"/{service}{PATHS[service]}/{number}?ms={ms}{call}"
    return path


def started_numbers(sim):
    """Return the numbers of the calls that any target started."""
    return {effect.path.partition("?")[0].rsplit("/", 1)[1] for effect in sim.effects()}


def inject_fault(sim, rng):
    """Inject random network faults and one box fault."""
    faults = sim.faults
    faults.loss_ratio = rng.choice([0.0, 0.05, 0.2])
    faults.delay_ratio = rng.choice([0.0, 0.2])
    faults.duplicate_ratio = rng.choice([0.0, 0.2])
    faults.partitions = rng.choice([set(), {frozenset(("north", "south"))}])
    name = rng.choice([one for one in sim.boxes if "entry" not in one])
    match rng.randrange(4):
        case 0:
            sim.restart(name)
        case 1:
            sim.freeze(name)
            sim.run(rng.uniform(0.01, 1.5))
            sim.thaw(name)
        case 2:
            sim.stop(name)
            sim.run(0.5)
            sim.restart(name)


@pytest.mark.parametrize("seed", SEEDS)
def test_request_answered_not_run_ran_nowhere(seed):
    sim = chain_world(seed)
    rng = random.Random(seed)
    for number in range(400):
        if number % 20 == 0:
            inject_fault(sim, rng)
        entry = rng.choice(["north-entry", "south-entry"])
        path = nested_path(number, rng.choice([1, 20, 150]))
        sim.call(entry, "GET", path, deadline_ms=rng.choice([30, 200, 1000]))
        sim.run(rng.uniform(0, 0.03))
    sim.run(5)
    outcomes = collections.Counter(call.outcome for call in sim.calls)
    assert outcomes["not-run"] > 20, outcomes
    assert outcomes["done"] > 20, outcomes
    assert outcomes[""] == 0, outcomes
    started = started_numbers(sim)
    for call in sim.calls:
        if call.outcome == "not-run":
            number = call.path.partition("?")[0].rsplit("/", 1)[1]
            assert number not in started, call


def test_cancel_received_before_its_call_prevents_execution():
    sim = chain_world(1)
    sim.faults.extra_delay = lambda _, message: (
        0.5 if isinstance(message, messages.Forward) else 0.0
    )
    for number in range(20):
        path = f"/payments-ledger/balances/{number}?ms=1"
        sim.call("north-entry", "GET", path, deadline_ms=300)
    sim.run(5)
    assert {call.outcome for call in sim.calls} == {"unknown"}
    assert started_numbers(sim) == set()


def test_effect_logs_of_targets_agree_with_the_outcomes(make_fleet):
    mesh = make_fleet("north", "south")
    entry = mesh.add_box("entry", "north", entry=True)
    for name in ("north", "south"):
        mesh.add_box(
            f"{name}-ledger", name, service="payments-ledger", slots=2, service_ms=40
        )
    rolled = mesh.roll(sample.bundle_toml(slots={"payments-ledger": 2}))
    assert rolled.returncode == 0, rolled.stderr
    mesh.wait_ready()
    outcomes: dict[str, str] = {}

    def send(first):
        for number in range(first, first + 60):
            path = f"/payments-ledger/balances/{number}"
            fields = {headers.DEADLINE_MS: "300"}
            answer = client.fetch(entry.address("entry"), "GET", path, headers=fields)
            outcomes[str(number)] = answer.headers[headers.OUTCOME]

    threads = [threading.Thread(target=send, args=(n * 100,)) for n in range(16)]
    for thread in threads:
        thread.start()
    killed = mesh.boxes["south-ledger"]
    fleet.eventually(lambda: len(outcomes) > 200, "calls are under way")
    killed.daemon.signal(signal.SIGKILL)
    fleet.eventually(lambda: len(outcomes) > 400, "calls go on")
    mesh.restart(killed)
    for thread in threads:
        thread.join()
    counts = collections.Counter(outcomes.values())
    assert counts["not-run"] > 0 and counts["done"] > 0, counts
    started = {
        effect["path"].rsplit("/", 1)[1]
        for box in (mesh.boxes["north-ledger"], killed)
        for effect in box.effects()
    }
    assert not [
        key for key, one in outcomes.items() if one == "not-run" and key in started
    ]
