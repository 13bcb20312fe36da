"""The store is restored from an older copy, and reuses revisions and leases."""

from __future__ import annotations

import pytest

from tests.mesh import samples
from tests.mesh.teams import fleets

POLICY_TIMEOUT_S = 2.0
"""Time in which an accepted policy must be in force, seconds."""
LOST_CHANGES = 5
"""Number of changes that the copy lacks."""


def write_changes(world):
    """Give all daemons a revision that the returned copy of the store lacks."""
    copy = world.store.copy()
    world.store.write(LOST_CHANGES - 1)
    world.store.set_policy(samples.policy_of(samples.route(), version=6))
    world.run(3.0)
    return copy


def restore_store(world, copy, outage_s: float = 1.0) -> None:
    """Restore the store from a copy after an outage, and write the policy again."""
    newest = world.store.policy
    world.store.up = False
    world.store.restore(copy)
    world.run(outage_s)
    world.store.up = True
    world.store.set_policy(newest)


def versions(world) -> set[int]:
    return {box.core.ctx.version for box in world.boxes.values()}


# Guards against a watch from a revision of the earlier era, which would miss policies
# accepted since, without a 410 response.
@pytest.mark.parametrize("passed", [0, 1, 4, 5, 6, 40])
def test_policy_accepted_after_restore_applies_in_time(passed):
    world = samples.world_of(12, data_centres=2)
    world.run(10.0)
    restore_store(world, write_changes(world))
    new = samples.policy_of(samples.route("new"), version=9)
    world.store.set_policy(new)
    world.store.write(passed)
    world.run(POLICY_TIMEOUT_S)
    assert versions(world) == {9}


# Guards against the same if only the era in the answer to a lease renewal shows the
# restore, as no call failed.
def test_restore_that_keeps_watches_is_seen_by_next_answer():
    world = samples.world_of(12, data_centres=2)
    world.run(10.0)
    world.store.restore(write_changes(world), close_watches=False)
    world.run(3.0)
    world.store.set_policy(samples.policy_of(samples.route("new"), version=9))
    world.store.write(40)
    world.run(POLICY_TIMEOUT_S)
    assert versions(world) == {9}


# Guards against reads without a delay while a lagging replica answers with the earlier
# era.
def test_outdated_replica_is_not_read_repeatedly():
    world = samples.world_of(3)
    world.store.replica_era = world.store.era
    world.store.restore(world.store.copy())
    world.run(3.0)
    world.store.calls.clear()
    world.run(10.0)
    # Each read of the records, every 4 to 6 s, is made twice: stale, then not.
    assert world.store.calls["ReadBoxes"] <= 3 * 2 * 3
    assert set(world.store.records) == set(world.boxes)


# Guards against a downgrade of the policy by the restored store.
def test_older_policy_of_copy_is_ignored():
    world = samples.world_of(6, data_centres=2)
    copy = world.store.copy()
    world.store.set_policy(samples.policy_of(samples.route("new"), version=9))
    world.run(2.0)
    world.store.restore(copy)
    world.run(8.0)
    assert versions(world) == {9}
    world.store.set_policy(samples.policy_of(samples.route("new"), version=11))
    world.run(POLICY_TIMEOUT_S)
    assert versions(world) == {11}


# Guards against a daemon without a record that renews a lease which belongs to another
# daemon since the restore.
def test_lost_records_are_back_although_lease_is_reused():
    world = samples.world_of(2)
    copy = world.store.copy()
    world.add_box("box-2", "hall-0", "desk")
    world.run(5.0)
    world.store.restore(copy)
    world.add_box("box-3", "hall-0", "desk")
    world.run(3.0)
    assert set(world.store.records) == set(world.boxes)
    leases = {box.core.registry._lease for box in world.boxes.values()}
    assert len(leases) == len(world.boxes)


# Guards against a confirmation by a reused revision, which now is that of a policy that
# revokes keys.
def test_reused_revision_confirms_no_policy():
    world = fleets.world_of(fleets.team_keys(), boxes=1, settle_s=5.0)
    box = world.boxes["box-0"]
    copy = world.store.copy()
    world.store.set_policy(fleets.policy_of(fleets.team_keys(), version=6))
    world.run(3.0)
    current = box.core.ctx.policy
    assert (current.version, current.revision) == (6, world.store.revision)
    world.store.restore(copy, close_watches=False)
    world.store.set_policy(
        fleets.policy_of(fleets.team_keys("farm", "another"), version=9),
    )
    assert world.store.revision == current.revision
    world.run(fleets.REVOCATION_S)
    request = fleets.ask(world, "box-0", "key-of-farm")
    world.run(0.5)
    assert request.answer.status in (401, 503)


# Guards against a confirmation by a store whose policy is older than the one in force.
def test_older_policy_in_store_confirms_nothing():
    world = fleets.world_of(fleets.team_keys(), boxes=1, settle_s=5.0)
    box = world.boxes["box-0"]
    copy = world.store.copy()
    world.store.set_policy(fleets.policy_of(fleets.team_keys(), version=6))
    world.run(3.0)
    world.store.restore(copy)
    world.run(fleets.REVOCATION_S + 1.0)
    assert box.core.ctx.version == 6
    assert not box.core.policy_freshness.is_fresh(world.clock(box))
    world.store.set_policy(fleets.policy_of(fleets.team_keys(), version=6))
    world.run(2.0)
    assert box.core.policy_freshness.is_fresh(world.clock(box))
