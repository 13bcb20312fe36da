"""Answers to all callers of a daemon that stops as planned."""

from __future__ import annotations

import pytest

from ferrydeck.mesh import messages
from tests.mesh import samples, simulation

DEADLINE_S = 6.0


def world_with_queues(boxes: int = 2, **changes: object) -> simulation.World:
    """Return a world of slow targets, in whose queues requests wait for seconds."""
    world = simulation.World(seed=1)
    limits = {"timeout_s": DEADLINE_S, "objective_s": DEADLINE_S} | changes
    world.store.set_policy(
        samples.policy_of(samples.route(**limits), samples.pay(**limits))
    )
    for index in range(boxes):
        world.add_box(f"box-{index}", "hall-0", "desk", slots=4, work_s=1.0)
    world.run(2.0)
    return world


def stop_with_queues(world: simulation.World, send) -> list[simulation.Request]:
    """Stop a box while its requests wait in queues; return them once it has ended."""
    box = world.boxes["box-0"]
    requests = [send(world, "box-0", deadline_s=DEADLINE_S) for _ in range(24)]
    world.run(1.0)
    world.stop(box)
    requests += samples.load(
        world, "box-0", 20, every_s=0.1, send=send, deadline_s=DEADLINE_S
    )
    world.run(DEADLINE_S)
    assert not box.up
    return requests


# Guards against callers that are told nothing: at the end of a planned stop, requests
# that waited in the queue of another box ended with closed connections.
@pytest.mark.parametrize("send", [samples.ask, samples.post])
def test_requests_that_wait_in_a_queue_are_answered_before_the_exit(send):
    world = world_with_queues()
    requests = stop_with_queues(world, send)
    assert samples.statuses(requests).count(0) == 0
    assert samples.statuses(requests).count(200) >= 20
    # A request that was withdrawn from a queue has not run.
    assert set(samples.statuses(requests)) == {200, 503}
    assert simulation.violations(world) == []


# Guards against the same where the other daemons are of a version that knows no
# withdrawal: there, it is unknown whether such a request has run.
def test_postings_in_the_queue_of_an_older_daemon_are_answered_before_the_exit():
    world = world_with_queues()
    for peer in world.boxes["box-0"].core.peers.by_address.values():
        peer.protocol_version = messages.MIN_WITHDRAW_PROTOCOL - 1
    requests = stop_with_queues(world, samples.post)
    assert set(samples.statuses(requests)) <= {200, 502, 503}
    assert simulation.violations(world) == []


# Guards against a caller that is told nothing while its request runs at the exit, or is
# told that it has not run.
@pytest.mark.parametrize("send", [samples.ask, samples.post])
def test_requests_that_run_at_the_exit_are_answered_as_unknown(send):
    world = world_with_queues()
    for box in world.boxes.values():
        box.target.work_s = 20.0
    req = send(world, "box-0", deadline_s=30.0)
    world.stop(world.boxes["box-0"])
    world.run(DEADLINE_S)
    assert (req.answer.status, req.answer.reason) == (502, "stopping")
    assert req.answer.at < 2.0 + DEADLINE_S
