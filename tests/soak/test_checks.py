"""What the checks of the soak report, and what they except."""

from __future__ import annotations

import pytest

from tests.soak import checks, clients

ABORTED = {"id": "r", "kind": "request", "outcome": "aborted", "version": 4}


def history_of(*, stopped: bool, **changes: object) -> checks.History:
    """Return a history with one long answer from box-2 to a caller of box-1, cut."""
    request = clients.RequestRecord(
        request_id="r",
        box="box-1",
        at_most_once=False,
        path="/look/1",
        started_at=10.0,
        ended_at=11.0,
        status=clients.CONNECTION_LOST,
        answer_bytes=clients.LONG_ANSWER_BYTES,
    )
    steady = clients.RequestRecord(
        request_id="s",
        box="box-1",
        at_most_once=False,
        path="/look/2",
        started_at=30.0,
        ended_at=30.1,
        status=200,
        echoed_id="s",
        body=b"desk GET /look/2 ",
    )
    runs = [("r", 10.1), ("s", 30.0)]
    values = {
        "requests": [request, steady],
        "executions": [
            checks.Execution(request_id=one, instance="i-2", at=at, box="box-2")
            for one, at in runs
        ],
        "drained_at": {},
        "steady_from": 29.0,
        "fault_windows": [("box-1", 9.0, 12.0)] if stopped else [],
        "planned_stops": [("box-1", 9.0, 12.0)] if stopped else [],
        "logs": {"daemon": [ABORTED]},
        "running": set(),
        "newest_version": 4,
        "crash_paths": [],
        "exit_codes": [],
    }
    return checks.History(**(values | changes))


# Guards against a check that passes over answers cut without a reason: only a fault on
# the box of the caller, or on the one that served it, ends a long answer.
@pytest.mark.parametrize("stopped", [False, True])
@pytest.mark.parametrize("faults", ["link_faults", "server_faults"])
def test_a_long_answer_may_end_only_with_a_fault_on_its_way(stopped, faults):
    label = "LOST" if stopped else "CUT"
    expected = {"box-1": [], "box-2": [], "box-3": [label]}
    for box, labels in expected.items():
        history = history_of(stopped=stopped, **{faults: [(box, 9.5)]})
        found = [line.split()[0] for line in checks.find_violations(history)]
        assert found == labels, box


@pytest.mark.parametrize("stopped", [False, True])
def test_an_answer_that_ends_without_a_fault_is_reported(stopped):
    [violation] = checks.find_violations(history_of(stopped=stopped))
    assert violation.startswith("LOST r" if stopped else "CUT r")


@pytest.mark.parametrize("stopped", [False, True])
def test_a_connection_that_ends_without_an_abort_is_reported(stopped):
    line = ABORTED | {"outcome": "answered"}
    history = history_of(
        stopped=stopped, logs={"daemon": [line]}, link_faults=[("box-2", 9.5)]
    )
    assert len(checks.find_violations(history)) == 1
