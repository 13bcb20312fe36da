"""Guards against servers that get more than their answers state that they accept."""

from __future__ import annotations

import bisect
import threading

from ferrydeck import clock
from tests import statements
from tests.platform import mesh_fleet
from tests.soak import checks

RATE = 8.0
CALLERS_PER_BOX = 3
"""Enough callers that each server is in use."""
LOAD_S = statements.CONTACT_S + statements.WINDOW_S + 1.0
"""Long enough for one whole window of the agreed bound, seconds."""


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
    window_s = statements.WINDOW_S
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
    since = began + statements.CONTACT_S
    allowed = statements.LIMIT_RATIO * RATE * statements.WINDOW_S
    count = worst_window(mesh, instance, since)
    assert 0 < count <= allowed + statements.LIMIT_SLACK
    assert limited.metric("ferrydeck_server_rate_limit") == RATE


def test_a_server_that_leaves_by_its_answers_alone_gets_no_requests(mesh):
    mesh.publish(mesh_fleet.manifest(4))
    boxes = [mesh.add_box() for _ in range(2)]
    mesh.wait_linked()
    leaving, other = boxes
    leaving.control("leave")
    sent = 0
    while not has_left(leaving):
        sent += 1
        assert leaving.call(f"/look/{sent}", f"before-{sent}").status == 200
    ran = len(leaving.ran_ids())
    for number in range(50):
        box = boxes[number % 2]
        assert box.call(f"/look/{number}", f"after-{number}").status == 200
    assert len(leaving.ran_ids()) == ran
    assert {f"after-{number}" for number in range(50)} <= set(other.ran_ids())


def has_left(box: mesh_fleet.MeshBox) -> bool:
    lines = [line for line in box.log_lines() if line["kind"] == "server-leaving"]
    return any(line["reason"] == "answer" for line in lines)
