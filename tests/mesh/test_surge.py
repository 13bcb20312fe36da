"""Surges and targets that shed requests, in a chain of two services."""

from __future__ import annotations

from ferrydeck.mesh import policy
from tests.mesh import samples, simulation


def chain_of(seed: int = 1) -> simulation.World:
    """Return a chain in which targets of `desk` call `deep` twice per run."""
    world = simulation.World(seed=seed, call_host=samples.HOST)
    deep = (policy.SplitPart(service="deep", weight=1),)
    look = samples.route(objective_s=1.0)
    post = samples.pay()
    call = samples.route("call", priority=1, parts=deep)
    plain = samples.route("plain")
    long = samples.route("long", parts=deep)
    world.store.set_policy(samples.policy_of(look, post, call, plain, long))
    calls = tuple(
        simulation.Calls(of=of, path="/call/1", times=2, deadline_s=3.0)
        for of in ("/look/", "/pay/")
    )
    world.add_box("box-0", "hall-0", "desk", slots=50, work_s=0.02, calls=calls)
    world.add_box("box-1", "hall-0", "deep", slots=4, work_s=0.04)
    world.run(2)
    return world


def send_load(world: simulation.World, *, per_s: int, seconds: float):
    """Send lookups, some postings, and lookups that make no calls."""
    looks, posts, plains = [], [], []
    for step in range(int(seconds * per_s)):
        looks.append(samples.ask(world, "box-0"))
        world.run(0.5 / per_s)
        if step % 8 == 0:
            posts.append(samples.post(world, "box-0"))
        if step % 4 == 0:
            plains.append(samples.ask(world, "box-0", path="/plain/1"))
        world.run(0.5 / per_s)
    return looks, posts, plains


def test_requests_that_call_an_overloaded_service_are_shed():
    world = chain_of()
    send_load(world, per_s=20, seconds=5)
    looks, posts, plains = send_load(world, per_s=80, seconds=10)
    world.run(2)
    shed = [look for look in looks if look.answer.status == 503]
    assert {look.answer.reason for look in shed} == {"pressure"}
    # Three slots of 0.04 s serve two calls each of 37.5 runs per second.
    served = [look for look in looks if look.answer.status == 200]
    assert len(served) + len(posts) > 0.85 * 375
    failed = [look for look in looks if look.answer.status not in (200, 503)]
    assert len(failed) < 0.1 * len(looks)
    assert sum(post.answer.status == 200 for post in posts) > 0.9 * len(posts)
    assert {plain.answer.status for plain in plains} == {200}


def test_requests_are_admitted_again_after_a_surge():
    world = chain_of()
    send_load(world, per_s=80, seconds=6)
    world.run(1.5)
    looks, _, _ = send_load(world, per_s=20, seconds=3)
    world.run(2)
    assert sum(look.answer.status == 200 for look in looks) > 0.95 * len(looks)


def test_calls_of_postings_are_retried_first_while_all_targets_shed():
    served, lookups = [], []
    for seed in range(1, 5):
        world = chain_of(seed)
        send_load(world, per_s=20, seconds=10)
        world.boxes["box-1"].target.shed_ratio = 0.5
        looks, posts, _ = send_load(world, per_s=20, seconds=8)
        world.run(2)
        served += [post.answer.status == 200 for post in posts]
        lookups += [look.answer.status == 200 for look in looks]
    # Each makes two calls, of which half are shed: without retries a quarter succeeds.
    assert sum(served) > 0.9 * len(served)
    assert sum(lookups) < 0.7 * len(lookups)


def test_shed_requests_are_retried_within_the_budget_and_the_attempt_limit():
    world = samples.world_of(4, slots=30)
    for box in world.boxes.values():
        box.target.shed_ratio = 0.55
    requests = samples.load(world, "box-0", 600, every_s=0.01)
    world.run(2)
    served = samples.statuses(requests).count(200)
    # Without retries 0.45 would be served, with one retry for each request 0.70.
    assert served > 0.5 * len(requests)
    arrived: dict[str, set[str]] = {}
    for run in world.targets.runs:
        arrived.setdefault(run.request_id, set()).add(run.box)
    assert max(len(boxes) for boxes in arrived.values()) == 2
    assert len(world.targets.runs) - len(arrived) <= 0.2 * len(requests) + 48


def test_requests_go_to_another_data_centre_before_the_local_target_is_full():
    world = samples.world_of(2, data_centres=2, slots=20, work_s=0.1)
    # The local target serves 190 requests/s; half of the remote one's slots are in use.
    near = []
    for step in range(600):
        near.append(samples.ask(world, "box-0"))
        if step % 2 == 0:
            samples.ask(world, "box-1")
        world.run(0.0055)
    world.run(1)
    ids = {request.request_id for request in near}
    far = sum(
        run.box == "box-1" and run.request_id in ids for run in world.targets.runs
    )
    assert samples.statuses(near) == [200] * 600
    assert far > 0.1 * len(near)
