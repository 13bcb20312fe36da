"""Log lines and metrics about store eras, policy revisions and retries."""

from __future__ import annotations

from ferrydeck.mesh import metrics
from tests.mesh import samples


def notes(world, kind: str) -> list[dict[str, object]]:
    return [one.inputs for _, _, one in world.decisions if one.kind == kind]


def test_a_restore_of_the_store_is_logged():
    world = samples.world_of(2)
    world.run(5.0)
    world.store.restore(world.store.copy())
    world.run(4.0)
    lines = notes(world, "store-era")
    assert len(lines) == 2
    assert all((line["old"], line["era"]) == (1, 2) for line in lines)


def test_metrics_show_the_policy_watch_and_the_retry_budget():
    world = samples.world_of(2)
    world.run(5.0)
    box = world.boxes["box-0"]
    shown = metrics.Metrics().render(box.core, world.clock(box)).decode()
    values = dict(
        line.rsplit(" ", 1) for line in shown.splitlines() if not line.startswith("#")
    )
    assert float(values["ferrydeck_store_era"]) == 1
    assert float(values["ferrydeck_policy_revision"]) > 0
    assert 0 <= float(values["ferrydeck_policy_watch_age_seconds"]) <= 10.1
    assert float(values["ferrydeck_retries_granted"]) == 0
    assert float(values["ferrydeck_retry_targets"]) == 2


def test_a_denied_retry_is_logged_with_its_limits():
    world = samples.world_of(2)
    for box in world.boxes.values():
        box.target.sheds = True
    samples.load(world, "box-0", 200, every_s=0.01)
    refused = [
        one.inputs
        for _, _, one in world.decisions
        if one.kind == "gate" and one.reason == "server-refused"
    ]
    assert any("allowed" in line and "targets" in line for line in refused)


def test_a_limit_that_a_target_states_is_logged_and_shown():
    world = samples.world_of(1)
    box = world.boxes["box-0"]
    for rate in (8.0, 8.1, None):
        box.target.rate_limit = rate
        samples.load(world, "box-0", 3, every_s=0.3)
    lines = [
        (one.outcome, one.inputs["rate_per_s"])
        for _, _, one in world.decisions
        if one.kind == "server-limit"
    ]
    assert lines == [("stated", 8.0), ("lifted", None)]
    shown = metrics.Metrics().render(box.core, world.clock(box)).decode()
    assert "ferrydeck_server_rate_limit -1.0" in shown
    assert "ferrydeck_server_requests 9.0" in shown
