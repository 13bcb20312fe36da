"""Age and cost of policy confirmations, and the rejection of requests without one."""

from __future__ import annotations

import collections

from ferrydeck.mesh import events, messages, store
from ferrydeck.mesh.teams import policy_freshness
from tests.mesh import samples
from tests.mesh.teams import fleets

KEY = "key-of-farm"


def confirmation_ages(world) -> list[float]:
    return [
        box.core.policy_freshness.age_s(world.clock(box))
        for box in world.boxes.values()
    ]


def test_confirmation_of_newer_policy_waits_for_that_policy():
    freshness = policy_freshness.PolicyFreshness(ttl_s=5.0)
    freshness.add_confirmation(4, 5, 10.0)
    assert not freshness.is_fresh(10.5)
    freshness.policy_applied(5)
    assert freshness.is_fresh(10.5)
    assert not freshness.is_fresh(14.9)


def test_confirmation_of_older_policy_applies_to_newer_one():
    freshness = policy_freshness.PolicyFreshness(ttl_s=5.0)
    freshness.add_confirmation(7, 4, 10.0)
    assert freshness.is_fresh(14.0)


def test_one_daemon_per_data_centre_confirms_for_all():
    world = fleets.world_of(fleets.team_keys(), boxes=12, data_centres=3, settle_s=10.0)
    world.store.calls.clear()
    oldest = 0.0
    for _ in range(100):
        world.run(0.1)
        oldest = max(oldest, *confirmation_ages(world))
    assert oldest < 2.0
    # Without sharing, twelve daemons would make 120 calls in ten seconds.
    assert world.store.calls["ProvePolicy"] <= 3 * 12


def test_daemons_rejected_by_store_get_confirmations_from_others():
    world = fleets.world_of(fleets.team_keys(), boxes=9, data_centres=3, settle_s=5.0)
    rejected = {"box-0", "box-1", "box-2"}
    world.store.rejects = lambda box: box.name in rejected
    oldest = 0.0
    for _ in range(90):
        world.run(0.1)
        oldest = max(oldest, *confirmation_ages(world))
    assert oldest < 2.5


def test_revocation_reaches_daemons_rejected_by_store():
    world = fleets.world_of(fleets.team_keys(), boxes=9, data_centres=3, settle_s=5.0)
    world.store.rejects = lambda box: box.name == "box-0"
    world.run(3.0)
    world.store.set_policy(
        fleets.policy_of(fleets.team_keys("farm", "another"), version=9)
    )
    world.run(2.5)
    request = fleets.ask(world, "box-0", KEY)
    world.run(0.5)
    assert request.answer.status == 401


def test_keyed_requests_are_served_for_three_seconds_of_store_outage():
    world = fleets.world_of(fleets.team_keys(), boxes=9, data_centres=3, settle_s=10.0)
    world.store.up = False
    requests = []
    for _ in range(14):
        world.run(0.5)
        requests.append(fleets.ask(world, "box-0", KEY))
    world.run(0.5)
    assert samples.statuses(requests)[:6] == [200] * 6
    assert samples.statuses(requests)[-4:] == [503] * 4


def test_confirmations_are_fresh_soon_after_store_recovers():
    world = fleets.world_of(fleets.team_keys(), boxes=9, data_centres=3, settle_s=10.0)
    world.store.up = False
    world.run(8.0)
    world.store.up = True
    world.run(2.0)
    assert max(confirmation_ages(world)) < 2.0


def test_daemon_started_in_store_outage_uses_confirmation_of_others():
    world = fleets.world_of(fleets.team_keys(), boxes=9, data_centres=3, settle_s=10.0)
    world.store.up = False
    world.kill(world.boxes["box-4"], 0.2)
    world.run(1.2)
    request = fleets.ask(world, "box-4", KEY)
    world.run(0.5)
    assert request.answer.status == 200


def test_delayed_confirmation_counts_from_its_request():
    world = fleets.world_of(fleets.team_keys(), boxes=1, settle_s=5.0)
    box = world.boxes["box-0"]
    now = world.clock(box)
    current = box.core.ctx.policy
    delayed = store.ProvePolicy(
        version=current.version, revision=current.revision, asked_at=now - 9.0
    )
    box.core.policy_freshness.confirmed_at = policy_freshness.NEVER
    world.store.cut = lambda one: True
    result = store.PolicyProved()
    world.feed(box, events.StoreAnswered(request=delayed, result=result))
    assert box.core.policy_freshness.age_s(now) == 9.0


def count_messages(monkeypatch, world, seconds: float) -> collections.Counter[str]:
    counts: collections.Counter[str] = collections.Counter()
    encode = messages.encode

    def counted(message):
        counts[type(message).__name__] += 1
        return encode(message)

    monkeypatch.setattr(messages, "encode", counted)
    world.run(seconds)
    return counts


def test_fleet_without_teams_sends_no_team_messages_or_calls(monkeypatch):
    world = samples.world_of(9, data_centres=3)
    world.run(5.0)
    world.store.calls.clear()
    counts = count_messages(monkeypatch, world, 10.0)
    assert not counts.keys() & {
        "ConfirmedPong",
        "TeamUsages",
        "TeamGrants",
        "TeamForward",
    }
    assert "ProvePolicy" not in world.store.calls
