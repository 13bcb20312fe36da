"""Calls of runs that are retries count as retries at the services that they reach."""

from __future__ import annotations

import bisect
import collections

import pytest

from ferrydeck.mesh import messages, policy
from tests.mesh import samples, simulation

SHED = 0.5
CALLS = 2
WINDOW_S = 10.0


def chain_of(seed: int, *, levels: int = 3) -> simulation.World:
    """Return a chain of services; a run at each makes calls to the next."""
    world = simulation.World(seed=seed, call_host=samples.HOST, calls_named=True)
    names = ["desk", "mid", "deep"][:levels]
    routes = [
        samples.route(
            name, parts=(policy.SplitPart(service=name, weight=1.0),), max_attempts=3
        )
        for name in names
    ]
    world.store.use(samples.policy_of(*routes))
    for level, name in enumerate(names):
        later = names[level + 1 : level + 2]
        calls = tuple(
            simulation.Calls(
                of=f"/{name}/", path=f"/{one}/1", times=CALLS, deadline_s=1.5
            )
            for one in later
        )
        for number in range(3):
            world.add_box(
                f"{name}-{number}",
                f"hall-{number}",
                name,
                slots=400,
                work_s=0.005,
                calls=calls,
            )
    world.run(11.0)
    return world


def retries_at(world: simulation.World, service: str) -> list[float]:
    """Return when retries arrived, as the users count them.

    An arrival is one if another of its request came before, or if it is a call of a run
    whose arrival was one.
    """
    arrived: collections.Counter[str] = collections.Counter()
    repeats: dict[str, bool] = {}
    parents = {one.request_id: one.run_id for one in world.callers.requests.values()}
    found = []
    for run in world.targets.runs:
        parent = parents.get(run.request_id, "")
        again = arrived[run.request_id] > 0 or repeats.get(parent, False)
        arrived[run.request_id] += 1
        if run.ran:
            repeats[run.request_id] = again
        if again and run.path.startswith(f"/{service}/"):
            found.append(run.at)
    return found


def over_bound(world: simulation.World, service: str) -> float:
    """Return by how much any window has more retries than was agreed."""
    retries = retries_at(world, service)
    asked = sorted(
        one.at
        for one in world.callers.requests.values()
        if one.path.startswith(f"/{service}/")
    )
    worst = float("-inf")
    for end in retries:
        ends = (end, end - WINDOW_S / 2, end - WINDOW_S)
        most = max(in_window(asked, one) for one in ends)
        worst = max(worst, in_window(retries, end) - 0.2 * most - 48)
    return worst


def in_window(times: list[float], end: float) -> int:
    return bisect.bisect_right(times, end) - bisect.bisect_right(times, end - WINDOW_S)


def shed_at(world: simulation.World, *services: str) -> None:
    for box in world.boxes.values():
        if box.target.service in services:
            box.target.sheds_share = SHED


# Guards against calls that no budget counts: those of a run that began after another
# target had rejected its request. At the end of a chain in which two services shed,
# more retries arrived than were agreed.
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_where_two_services_of_a_chain_shed_the_last_stays_within_its_bound(seed):
    world = chain_of(seed)
    shed_at(world, "desk", "mid", "deep")
    for number in range(14 * 60):
        samples.ask(world, f"desk-{number % 3}", path="/desk/1")
        samples.ask(world, f"desk-{(number + 1) % 3}", path="/desk/1")
        world.run(1 / 60)
    world.run(2.0)
    for service in ("desk", "mid", "deep"):
        assert over_bound(world, service) <= 0.0, service
    assert retries_at(world, "deep")


def test_a_run_after_a_rejection_makes_calls_that_count_as_retries():
    world = chain_of(1, levels=2)
    shed_at(world, "desk")
    for number in range(200):
        samples.ask(world, f"desk-{number % 3}", path="/desk/1")
        world.run(0.02)
    world.run(1.0)
    counted = sum(
        sum(box.core.inbound.retry_budget._granted.values())
        for box in world.boxes.values()
        if box.target.service == "mid"
    )
    assert counted == len(retries_at(world, "mid")) > 20


def test_a_daemon_of_an_earlier_protocol_is_sent_no_reason_that_it_does_not_know(
    monkeypatch,
):
    world = chain_of(1, levels=2)
    for box in world.boxes.values():
        for peer in box.core.peers.by_address.values():
            peer.protocol_version = messages.RETRY_PROTOCOL - 1
    shed_at(world, "desk")
    sent = []
    encode = messages.encode

    def recorded(message):
        sent.append(message)
        return encode(message)

    monkeypatch.setattr(messages, "encode", recorded)
    for number in range(100):
        samples.ask(world, f"desk-{number % 3}", path="/desk/1")
        world.run(0.02)
    kinds = {one.retry for one in sent if isinstance(one, messages.Forward)}
    assert messages.Retry.REJECTED not in kinds
    assert kinds <= {messages.Retry.NO, messages.Retry.CALL}
