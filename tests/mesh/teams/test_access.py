"""Who is let in by a key, and what a caller without one that counts is told."""

from __future__ import annotations

import pytest

from tests.mesh import samples
from tests.mesh.teams import fleets

KEY = "key-of-farm"


def teams_of_runs(world) -> list[str]:
    return [one.team for one in world.targets.runs if one.ran]


@pytest.mark.parametrize(
    ("key", "path", "status", "teams"),
    [
        (KEY, "/look/1", 200, ["farm"]),
        (KEY, "/pay/1", 200, ["farm"]),
        ("", "/look/1", 401, []),
        ("never-held", "/look/1", 401, []),
        (KEY + " ", "/look/1", 401, []),
        (KEY[:-1], "/look/1", 401, []),
        (KEY.upper(), "/look/1", 401, []),
        ("x" * 5000, "/look/1", 401, []),
        ("\udcff\x00", "/look/1", 401, []),
        ("", "/open/1", 200, [""]),
        (KEY, "/open/1", 200, ["farm"]),
        ("never-held", "/open/1", 200, [""]),
        (KEY, "/nowhere/1", 404, []),
    ],
)
def test_a_key_tells_whose_a_request_is(key, path, status, teams):
    world = fleets.world_of(fleets.team_keys())
    asked = fleets.ask(world, "box-0", key, path)
    world.run(0.5)
    assert asked.answer.status == status
    assert teams_of_runs(world) == teams


def test_without_teams_nothing_is_asked_for():
    world = samples.world_of(3)
    asked = samples.ask(world, "box-0", key="whatever")
    world.run(0.5)
    assert asked.answer.status == 200


def test_a_key_may_pass_from_one_team_to_another():
    world = fleets.world_of(fleets.team_keys(), fleets.team_keys("mill"))
    world.store.use(
        fleets.policy_of(
            fleets.team_keys("farm", "other"), fleets.team_keys("mill", KEY), version=9
        )
    )
    world.run(1.0)
    fleets.ask(world, "box-0", KEY)
    world.run(0.5)
    assert teams_of_runs(world) == ["mill"]


def test_a_daemon_that_cannot_know_whether_a_key_counts_says_come_back():
    world = fleets.world_of(fleets.team_keys(), boxes=1)
    world.store.up = False
    world.run(6.0)
    box = world.boxes["box-0"]
    known = fleets.ask(world, "box-0", KEY)
    unknown = fleets.ask(world, "box-0", "never-held")
    public = fleets.ask(world, "box-0", "", "/open/1")
    world.run(0.5)
    # Neither is told that its key is unknown: it may be one of a newer policy.
    assert samples.statuses([known, unknown, public]) == [503, 503, 200]
    assert known.answer.retry_after_s > 0
    assert not box.core.ready(world.clock(box))


def test_no_line_of_the_log_shows_a_key():
    world = fleets.world_of(fleets.team_keys(rate=1.0))
    for _ in range(40):
        for key in (KEY, "never-held"):
            fleets.ask(world, "box-0", key)
        world.run(0.1)
    told = {one.reason for _, _, one in world.decisions if one.kind == "request"}
    assert {"allotment", "unknown-key"} <= told
    written = " ".join(repr(one) for _, _, one in world.decisions)
    assert KEY not in written
    assert "never-held" not in written


def test_no_dump_of_what_a_daemon_holds_shows_a_key():
    world = fleets.world_of(fleets.team_keys())
    held = world.boxes["box-0"].core.ctx.policy
    assert KEY not in repr(held)
    assert KEY not in repr(held.keyring)
