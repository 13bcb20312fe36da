"""The store comes back from an older copy: its numbers count anew."""

from __future__ import annotations

import pytest

from tests.mesh import samples
from tests.mesh.teams import fleets

APPLY_S = 2.0
"""Until when an accepted policy is in force, as the users agreed."""
LOST = 5
"""Changes that are not in the copy."""


def change(world):
    """Have all daemons hold a revision that a copy of the store doesn't have."""
    copy = world.store.copy()
    world.store.write(LOST - 1)
    world.store.use(samples.policy_of(samples.route(), version=6))
    world.run(3.0)
    return copy


def come_back(world, copy, away_s: float = 1.0) -> None:
    """Have the store lose its newest changes, and operators write the policy again."""
    newest = world.store.policy
    world.store.up = False
    world.store.restore(copy)
    world.run(away_s)
    world.store.up = True
    world.store.use(newest)


def versions(world) -> set[int]:
    return {box.core.ctx.version for box in world.boxes.values()}


# Guards against a watch that goes on after a number which counts other changes by then:
# a policy accepted in between was in force nowhere, and no 410 told of it.
@pytest.mark.parametrize("passed", [0, 1, 4, 5, 6, 40])
def test_a_policy_accepted_after_the_store_came_back_is_in_force_in_time(passed):
    world = samples.world_of(12, data_centres=2)
    world.run(10.0)
    come_back(world, change(world))
    new = samples.policy_of(samples.route("new"), version=9)
    world.store.use(new)
    world.store.write(passed)
    world.run(APPLY_S)
    assert versions(world) == {9}


# Guards against the same where the store is back before any daemon has missed it, so
# that all that shows the new history is the era in the answer to a renewal.
def test_a_return_that_cuts_no_watch_is_seen_by_the_next_answer():
    world = samples.world_of(12, data_centres=2)
    world.run(10.0)
    world.store.restore(change(world), cuts_watches=False)
    world.run(3.0)
    world.store.use(samples.policy_of(samples.route("new"), version=9))
    world.store.write(40)
    world.run(APPLY_S)
    assert versions(world) == {9}


# Guards against reads without a pause where a replica that lags behind still answers
# for the store as it was before.
def test_a_replica_of_an_earlier_era_is_not_asked_again_and_again():
    world = samples.world_of(3)
    world.store.replica_era = world.store.era
    world.store.restore(world.store.copy())
    world.run(3.0)
    world.store.calls.clear()
    world.run(10.0)
    # Each read of the records, every 4 to 6 s, comes twice: stale, then not.
    assert world.store.calls["ReadBoxes"] <= 3 * 2 * 3
    assert set(world.store.records) == set(world.boxes)


# Guards against a policy that goes back with the store.
def test_an_older_policy_of_the_copy_is_not_taken():
    world = samples.world_of(6, data_centres=2)
    copy = world.store.copy()
    world.store.use(samples.policy_of(samples.route("new"), version=9))
    world.run(2.0)
    world.store.restore(copy)
    world.run(8.0)
    assert versions(world) == {9}
    world.store.use(samples.policy_of(samples.route("new"), version=11))
    world.run(APPLY_S)
    assert versions(world) == {11}


# Guards against a lease that is another daemon's in the new history: a daemon whose
# record was lost went on renewing the other's, and nobody could find it.
def test_records_lost_with_the_copy_are_back_though_the_lease_is_given_out_again():
    world = samples.world_of(2)
    copy = world.store.copy()
    world.add_box("box-2", "hall-0", "desk")
    world.run(5.0)
    world.store.restore(copy)
    world.add_box("box-3", "hall-0", "desk")
    world.run(3.0)
    assert set(world.store.records) == set(world.boxes)
    kept = {box.core.registry._lease for box in world.boxes.values()}
    assert len(kept) == len(world.boxes)


# Guards against a confirmation by a revision that was given out anew: the policy was
# taken for the newest while one that took keys away had that revision.
def test_a_revision_given_out_anew_confirms_no_policy():
    world = fleets.world_of(fleets.team_keys(), boxes=1, settle_s=5.0)
    box = world.boxes["box-0"]
    copy = world.store.copy()
    world.store.use(fleets.policy_of(fleets.team_keys(), version=6))
    world.run(3.0)
    held = box.core.ctx.policy
    assert (held.version, held.revision) == (6, world.store.revision)
    world.store.restore(copy, cuts_watches=False)
    world.store.use(
        fleets.policy_of(fleets.team_keys("farm", "another"), version=9),
    )
    assert world.store.revision == held.revision
    world.run(fleets.REVOCATION_S)
    asked = fleets.ask(world, "box-0", "key-of-farm")
    world.run(0.5)
    assert asked.answer.status in (401, 503)


# Guards against a confirmation by a copy that is older than the policy in force.
def test_an_older_policy_in_the_store_confirms_nothing():
    world = fleets.world_of(fleets.team_keys(), boxes=1, settle_s=5.0)
    box = world.boxes["box-0"]
    copy = world.store.copy()
    world.store.use(fleets.policy_of(fleets.team_keys(), version=6))
    world.run(3.0)
    world.store.restore(copy)
    world.run(fleets.REVOCATION_S + 1.0)
    assert box.core.ctx.version == 6
    assert not box.core.policy_freshness.is_fresh(world.clock(box))
    world.store.use(fleets.policy_of(fleets.team_keys(), version=6))
    world.run(2.0)
    assert box.core.policy_freshness.is_fresh(world.clock(box))
