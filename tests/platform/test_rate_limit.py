"""Guards against servers that get more requests than they state to accept."""

from __future__ import annotations

import bisect
import threading

import pytest

from ferrydeck import clock
from tests.mesh import stated_limits
from tests.platform import mesh_fleet
from tests.soak import checks

RATE = 8.0
CALLERS_PER_BOX = 3
"""Enough callers that each server is in use."""
LOAD_S = stated_limits.CONTACT_S + stated_limits.WINDOW_S + 1.0
"""Long enough for one whole window of the agreed bound, seconds."""


@pytest.fixture
def mesh(tmp_path):
    mesh_under_test = mesh_fleet.MeshFleet(tmp_path)
    yield mesh_under_test
    mesh_under_test.close()
    assert mesh_under_test.logged_exceptions() == []


def send_until(
    box: mesh_fleet.MeshBox, name: str, ends_at: float, statuses: list[int]
) -> None:
    number = 0
    while clock.now() < ends_at:
        number += 1
        statuses.append(box.call(f"/look/{number}", f"{name}-{number}").status)


def worst_window(mesh: mesh_fleet.MeshFleet, instance: str, since: float) -> int:
    """Return the most executions at a server in one window of the agreed bound."""
    executions = checks.executions_of(mesh)
    times = sorted(
        one.at for one in executions if one.instance == instance and one.at >= since
    )
    window_s = stated_limits.WINDOW_S
    counts = (bisect.bisect(times, at + window_s) - n for n, at in enumerate(times))
    return max(counts, default=0)


def test_a_server_gets_no_more_than_it_states_and_every_request_is_served(mesh):
    mesh.publish(mesh_fleet.manifest(4))
    boxes = [mesh.add_box(work_ms=20) for _ in range(3)]
    mesh.wait_linked()
    limited = boxes[0]
    limited.control("limit", b"%.1f" % RATE)
    instance = mesh_fleet.fetch(limited.address("target"), "GET", "/healthz").fields[
        "x-instance-id"
    ]
    began = clock.now()
    statuses: list[int] = []
    threads = [
        threading.Thread(
            target=send_until,
            args=(box, f"{box.name}-{number}", began + LOAD_S, statuses),
        )
        for box in boxes
        for number in range(CALLERS_PER_BOX)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert set(statuses) == {200}
    since = began + stated_limits.CONTACT_S
    allowed = stated_limits.LIMIT_RATIO * RATE * stated_limits.WINDOW_S
    count = worst_window(mesh, instance, since)
    assert 0 < count <= allowed + stated_limits.LIMIT_SLACK
    assert limited.metric("ferrydeck_server_rate_limit") == RATE
