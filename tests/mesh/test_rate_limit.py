"""Guards against targets that get more requests than they state to accept."""

from __future__ import annotations

import pytest

from ferrydeck.mesh import events, messages
from ferrydeck.mesh.inbound import rate_limit
from tests import statements
from tests.mesh import samples, simulation, test_surge
from tests.mesh.simulation import links

PER_S = 240
RATE = 8.0


def limited_world(
    rate: float = RATE, *, work_s: float = 0.02, slots: int = 8
) -> simulation.World:
    world = samples.world_of(6, data_centres=2, work_s=work_s, slots=slots)
    send(world, 2.0)
    world.boxes["box-0"].target.rate_limit = rate
    return world


def send(world: simulation.World, seconds: float, per_s: int = PER_S) -> list:
    """Send requests at all boxes in turn; every third is a posting."""
    names = list(world.boxes)
    requests = []
    for number in range(int(seconds * per_s)):
        name = names[number % len(names)]
        if world.boxes[name].up:
            post = number % 3 == 0
            requests.append((samples.post if post else samples.ask)(world, name))
        world.run(1.0 / per_s)
    return requests


def over_limit(world: simulation.World) -> list[str]:
    return statements.over_limit(simulation.record_of(world))


def count(world: simulation.World, target_id: str, since: float) -> int:
    return simulation.record_of(world).count(target_id, since, world.now)


def test_a_target_gets_what_it_accepts_and_the_others_take_the_rest():
    world = limited_world()
    since = world.now + 1.0
    requests = send(world, 12.0)
    used = count(world, world.boxes["box-0"].target.target_id, since)
    assert used > 0.75 * RATE * (world.now - since)
    world.run(2)
    assert over_limit(world) == []
    assert samples.statuses(requests) == [200] * len(requests)


@pytest.mark.parametrize("down_s", [0.2, 1.0])
def test_the_limit_holds_when_the_daemon_of_the_target_restarts(down_s):
    # No run ends, and so no answer states the limit, soon after a restart.
    world = limited_world(rate=2.0, work_s=0.4, slots=64)
    send(world, 5.0)
    for _ in range(3):
        world.kill(world.boxes["box-0"], down_s)
        send(world, 2.5)
    world.run(2)
    assert over_limit(world) == []


@pytest.mark.parametrize("rate", [0.0, 0.3])
def test_a_target_that_accepts_almost_nothing_is_found_when_it_recovers(rate):
    world = limited_world(rate=rate)
    send(world, 12.0)
    assert over_limit(world) == []
    box = world.boxes["box-0"]
    box.target.rate_limit = None
    send(world, 6.0)
    since = world.now
    send(world, 2.0)
    used = count(world, box.target.target_id, since)
    assert used > 0.5 * PER_S / len(world.boxes) * 2.0


def test_a_limit_that_changes_is_kept_at_each_rate():
    world = limited_world()
    box = world.boxes["box-0"]
    for rate in (8.0, 20.0, 3.0):
        box.target.rate_limit = rate
        send(world, 6.0)
    assert over_limit(world) == []


def test_the_most_urgent_are_served_when_all_targets_state_limits():
    world = limited_world()
    for box in world.boxes.values():
        box.target.rate_limit = RATE
    send(world, 4.0, per_s=120)
    since = world.now
    requests = send(world, 10.0, per_s=120)
    until = world.now
    world.run(3)
    assert over_limit(world) == []
    assert simulation.violations(world) == []
    posts = [req for req in requests if req.once]
    asked = [req for req in requests if not req.once]
    # The six targets accept 48 requests a second; 40 postings and 80 lookups are sent.
    assert samples.statuses(posts).count(200) > 0.85 * len(posts)
    rejected = [req for req in asked if req.answer.status != 200]
    assert {req.answer.status for req in rejected} == {503}
    assert min(req.answer.retry_after_s for req in rejected) > 0.0
    used = sum(since <= run.at < until for run in world.targets.runs)
    assert used > 0.8 * 6 * RATE * (until - since)


def test_a_target_that_replaces_a_limited_one_has_no_limit():
    world = limited_world()
    send(world, 4.0)
    box = world.boxes["box-0"]
    box.target.rate_limit = None
    world.targets.crash(box, 0.2)
    send(world, 2.0)
    since = world.now
    send(world, 12.0)
    used = count(world, box.target.target_id, since)
    assert used > 2 * RATE * 12.0


def test_a_limit_that_changes_with_each_answer_is_announced_once_a_second():
    world = limited_world(rate=20.0)
    for number in range(400):
        world.boxes["box-0"].target.rate_limit = None if number % 2 else 20.0 + number
        send(world, 0.02)
    sent = world.links.sent["RateLimit"]
    others = len(world.boxes) - 1
    assert 0 < sent <= others * 9.0
    send(world, 2.0)
    assert over_limit(world) == []


def test_an_older_answer_without_a_limit_does_not_lift_it():
    limit = rate_limit.RateLimit(
        ctx=simulation.World().add_box("box-0", "hall-0", "desk").core.ctx,
        on_change=lambda now: None,
    )
    stated = events.AnswerFacts(confirmed_complete=True, rate_limits=(9.0, 8.0))
    plain = events.AnswerFacts(confirmed_complete=True)
    spoilt = events.AnswerFacts(confirmed_complete=False)
    invalid = events.AnswerFacts(confirmed_complete=True, invalid_rate_limit="soon")
    limit.answer_received(10.0, "i-a", 9.0, stated)
    for facts, started_at in ((plain, 9.9), (spoilt, 10.5), (invalid, 10.5)):
        limit.answer_received(11.0, "i-a", started_at, facts)
        assert limit.rate_per_s == 8.0
    limit.answer_received(11.0, "i-a", 10.5, plain)
    assert limit.rate_per_s is None


def test_requests_that_call_a_limited_service_are_shed_before_they_run():
    rate = 50.0
    world = test_surge.chain_of()
    test_surge.send_load(world, per_s=20, seconds=5)
    world.boxes["box-1"].target.rate_limit = rate
    test_surge.send_load(world, per_s=80, seconds=3)
    since = world.now
    looks, posts, plains = test_surge.send_load(world, per_s=80, seconds=10)
    used = sum(run.box == "box-1" and run.at >= since for run in world.targets.runs)
    assert used > 0.85 * rate * (world.now - since)
    world.run(2)
    assert over_limit(world) == []
    failed = [look for look in looks if look.answer.status not in (200, 503)]
    assert len(failed) < 0.1 * len(looks)
    assert samples.statuses(posts).count(200) > 0.9 * len(posts)
    assert samples.statuses(plains) == [200] * len(plains)


def known_limits(world: simulation.World, name: str) -> list[float | None]:
    """Return the limit of a box's target as each other daemon knows it."""
    address = world.boxes[name].address
    known = [
        box.core.peers.by_address[address].rate_limit
        for box in world.boxes.values()
        if box.address != address
    ]
    return [None if one is None else one.rate_per_s for one in known]


def test_a_limit_that_was_lifted_behind_a_cut_is_forgotten_by_all():
    world = limited_world()
    send(world, 3.0)
    assert known_limits(world, "box-0") == [RATE] * 5
    world.links.cut = links.isolate_data_centre("hall-1")
    world.run(1.0)
    world.boxes["box-0"].target.rate_limit = None
    send(world, 4.0)
    assert RATE in known_limits(world, "box-0")
    world.links.heal()
    send(world, 4.0)
    assert known_limits(world, "box-0") == [None] * 5


def test_daemons_of_an_older_protocol_are_sent_no_limit():
    world = samples.world_of(3, work_s=0.02)
    limited = world.boxes["box-0"].core
    for link in limited.incoming_links.by_id.values():
        link.protocol = messages.MIN_RATE_LIMIT_PROTOCOL - 1
    world.boxes["box-0"].target.rate_limit = RATE
    requests = send(world, 6.0, per_s=100)
    world.run(1)
    assert world.links.sent["RateLimit"] == 0
    assert over_limit(world) == []
    assert samples.statuses(requests) == [200] * len(requests)
