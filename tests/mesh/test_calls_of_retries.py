"""Calls that a retried run makes count as retries at the called services."""

from __future__ import annotations

import bisect
import collections

import pytest

from ferrydeck.mesh import messages, policy
from tests.mesh import samples, simulation

SHED_RATIO = 0.5
CALLS = 2
WINDOW_S = 10.0


def chain_of(seed: int, *, levels: int = 3) -> simulation.World:
    """Return a chain of services, in which each run makes calls to the next service."""
    world = simulation.World(seed=seed, call_host=samples.HOST, calls_carry_run_id=True)
    names = ["desk", "mid", "deep"][:levels]
    routes = [
        samples.route(
            name, parts=(policy.SplitPart(service=name, weight=1.0),), max_attempts=3
        )
        for name in names
    ]
    world.store.set_policy(samples.policy_of(*routes))
    for level, name in enumerate(names):
        callees = names[level + 1 : level + 2]
        calls = tuple(
            simulation.Calls(
                of=f"/{name}/", path=f"/{callee}/1", times=CALLS, deadline_s=1.5
            )
            for callee in callees
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
    """Return the arrival times of retries.

    An arrival is a retry if its request arrived before, or if a retried run called it.
    """
    arrived: collections.Counter[str] = collections.Counter()
    is_retry: dict[str, bool] = {}
    parents = {call.request_id: call.run_id for call in world.callers.requests.values()}
    times = []
    for run in world.targets.runs:
        parent = parents.get(run.request_id, "")
        retried = arrived[run.request_id] > 0 or is_retry.get(parent, False)
        arrived[run.request_id] += 1
        if run.ran:
            is_retry[run.request_id] = retried
        if retried and run.path.startswith(f"/{service}/"):
            times.append(run.at)
    return times


def excess_over_bound(world: simulation.World, service: str) -> float:
    """Return the largest excess of the retries in a window over the bound."""
    retries = retries_at(world, service)
    requested = sorted(
        request.at
        for request in world.callers.requests.values()
        if request.path.startswith(f"/{service}/")
    )
    excess = float("-inf")
    for end in retries:
        ends = (end, end - WINDOW_S / 2, end - WINDOW_S)
        peak = max(in_window(requested, last) for last in ends)
        excess = max(excess, in_window(retries, end) - 0.2 * peak - 48)
    return excess


def in_window(times: list[float], end: float) -> int:
    return bisect.bisect_right(times, end) - bisect.bisect_right(times, end - WINDOW_S)


def make_targets_shed(world: simulation.World, *services: str) -> None:
    for box in world.boxes.values():
        if box.target.service in services:
            box.target.shed_ratio = SHED_RATIO


# Guards against uncounted calls of runs that started after another target had rejected
# the request: the last service of a chain received more retries than the bound allows.
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_the_last_service_stays_within_its_bound_if_two_services_shed(seed):
    world = chain_of(seed)
    make_targets_shed(world, "desk", "mid", "deep")
    for number in range(14 * 60):
        samples.ask(world, f"desk-{number % 3}", path="/desk/1")
        samples.ask(world, f"desk-{(number + 1) % 3}", path="/desk/1")
        world.run(1 / 60)
    world.run(2.0)
    for service in ("desk", "mid", "deep"):
        assert excess_over_bound(world, service) <= 0.0, service
    assert retries_at(world, "deep")


def test_calls_of_a_run_after_a_rejection_count_as_retries():
    world = chain_of(1, levels=2)
    make_targets_shed(world, "desk")
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


def test_an_unknown_retry_reason_is_not_sent_to_a_daemon_of_an_earlier_protocol(
    monkeypatch,
):
    world = chain_of(1, levels=2)
    for box in world.boxes.values():
        for peer in box.core.peers.by_address.values():
            peer.protocol_version = messages.MIN_RETRY_PROTOCOL - 1
    make_targets_shed(world, "desk")
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
