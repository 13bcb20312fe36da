"""Checks of the recorded requests and logs against the guarantees."""

from __future__ import annotations

import collections
import json

import attrs

from tests import statements
from tests.platform import mesh_fleet
from tests.soak import clients

REFUSAL_STATUSES = frozenset({408, 421, 429, 503})
MAX_DRAIN_S = 2.0
DEADLINE_SLACK_S = 0.5
"""How far an answer may exceed the deadline of its request."""
MIN_RECOVERED_RATIO = 0.95
POLICY_TIMEOUT_S = 2.0
MAX_FAULT_S = 7.0
"""How long before a request a fault may begin that ends its answer: the longest fault,
and the time until daemons are in touch again."""
MAX_CRASHES = 6
"""Most servers that one lethal request may crash: three in each of the two parts
of a partitioned fleet."""


@attrs.define(kw_only=True)
class Execution:
    """One execution of a request by a server."""

    request_id: str
    instance: str
    at: float
    box: str = ""
    """The box of the server."""


@attrs.define(kw_only=True)
class History:
    """Everything recorded during one soak run."""

    requests: list[clients.RequestRecord]
    executions: list[Execution]
    drained_at: dict[str, float]
    """When the drain of each server instance was acknowledged."""
    steady_from: float
    """When the fleet should have recovered from the last fault."""
    fault_windows: list[tuple[str, float, float]]
    """Box, start and end of each daemon fault."""
    logs: dict[str, list[dict[str, object]]]
    """The log lines of each daemon process."""
    running: set[str]
    """Log names of the daemons that ran until the end."""
    newest_version: int
    """The newest policy version."""
    crash_paths: list[str]
    """The path of the request that crashed each server."""
    exit_codes: list[tuple[str, int]]
    link_faults: list[tuple[str, float]] = attrs.Factory(list)
    """Boxes whose links were struck, with the time."""
    planned_stops: list[tuple[str, float, float]] = attrs.Factory(list)
    """Box, start and end of each planned stop of a daemon."""
    unplanned_faults: list[tuple[str, float, float]] = attrs.Factory(list)
    """Box, start and end of each other fault of a daemon."""
    server_faults: list[tuple[str, float]] = attrs.Factory(list)
    """Boxes whose servers were killed or began to fail, with the time."""
    held_slots: dict[str, float] = attrs.Factory(dict)
    """Slots of targets that are still held after all callers have gone, by box."""


def executions_of(fleet: mesh_fleet.MeshFleet) -> list[Execution]:
    """Return the executions that the servers logged."""
    executions = []
    for process in fleet.processes:
        if not process.name.startswith("server-"):
            continue
        for line in complete_json_lines(process.log):
            if "ran" in line:
                executions.append(
                    Execution(
                        request_id=line["ran"],
                        instance=line["instance"],
                        at=line["at"],
                        box=process.name.removeprefix("server-"),
                    )
                )
    return executions


def crash_paths(fleet: mesh_fleet.MeshFleet) -> list[str]:
    """Return the paths of the requests that crashed servers."""
    servers = [one for one in fleet.processes if one.name.startswith("server-")]
    lines = [line for one in servers for line in complete_json_lines(one.log)]
    return [line["ended"] for line in lines if "ended" in line]


def complete_json_lines(path) -> list[dict[str, object]]:
    """Return the JSON lines of a log without those truncated by a kill."""
    text = path.read_text(errors="replace")
    lines = [line for line in text.splitlines(keepends=True) if line.startswith("{")]
    return [json.loads(line) for line in lines if line.endswith("}\n")]


def find_violations(history: History) -> list[str]:
    """Return all violated guarantees, each with its request or box."""
    run_counts = collections.Counter(one.request_id for one in history.executions)
    errors = []
    for one in history.requests:
        errors += _check_request(one, run_counts[one.request_id])
    errors += _check_latency(history)
    errors += _check_drain(history)
    errors += _check_statements(history)
    errors += _check_policy_order(history)
    errors += _check_final_policy(history)
    errors += _check_lethal(history)
    errors += _check_recovery(history)
    errors += _check_planned_stops(history)
    errors += [f"HELD SLOTS {box}: {n:g}" for box, n in history.held_slots.items() if n]
    errors += [f"EXIT {name}: {code}" for name, code in history.exit_codes if code]
    return errors


def _check_request(one: clients.RequestRecord, executions: int) -> list[str]:
    errors = []
    if one.at_most_once and executions > 1:
        errors.append(f"TWICE {one.request_id}: {executions}")
    if one.at_most_once and one.status in REFUSAL_STATUSES and executions:
        errors.append(f"REFUSED {one.request_id}: {one.status} but ran")
    if one.status == 200:
        intact = one.body == one.expected_body and one.echoed_id == one.request_id
        if not intact or not executions:
            errors.append(f"MIXED {one.request_id}: {one.body!r} for {one.echoed_id}")
    if one.status in (400, 404, 413, 431):
        errors.append(f"DENIED {one.request_id}: {one.status}")
    return errors


def _check_latency(history: History) -> list[str]:
    """Return requests without a timely answer at boxes without a daemon fault."""
    errors = []
    broken_off = _broken_off(history)
    for one in history.requests:
        if one.left or one.request_id in broken_off:
            continue
        late = one.ended_at - one.started_at > one.deadline_s + DEADLINE_SLACK_S
        if not late and one.status not in (clients.CONNECTION_LOST, clients.TIMED_OUT):
            continue
        if not _overlaps(one, history.fault_windows):
            label = "HELD" if late else "CUT"
            errors.append(f"{label} {one.request_id} at {one.box}: {one.status}")
    return errors


def _check_planned_stops(history: History) -> list[str]:
    """Return requests that a stopping daemon has read, without a whole answer."""
    read = {line.get("id") for lines in history.logs.values() for line in lines}
    read |= {one.request_id for one in history.executions}
    broken_off = _broken_off(history)
    return [
        f"LOST {one.request_id} at {one.box}"
        for one in history.requests
        if one.status == clients.CONNECTION_LOST
        and not one.left
        and one.request_id in read
        and one.request_id not in broken_off
        and _overlaps(one, history.planned_stops)
        and not _overlaps(one, history.unplanned_faults)
    ]


def _broken_off(history: History) -> set[str]:
    """Return requests whose long answer ended with the link or server it came from."""
    lines = [line for lines in history.logs.values() for line in lines]
    aborted = {line["id"] for line in lines if line.get("outcome") == "aborted"}
    requests = [one for one in history.requests if one.request_id in aborted]
    return {one.request_id for one in requests if _impaired(one, history)}


def _impaired(one: clients.RequestRecord, history: History) -> bool:
    """Return whether the box of a request, or the one that served it, was struck."""
    served = [run.box for run in history.executions if run.request_id == one.request_id]
    struck = history.link_faults + history.server_faults
    struck += [(box, start) for box, start, _ in history.unplanned_faults]
    since = one.started_at - MAX_FAULT_S
    return any(
        box in (one.box, *served) and since < at < one.ended_at for box, at in struck
    )


def _overlaps(
    one: clients.RequestRecord, windows: list[tuple[str, float, float]]
) -> bool:
    """Return whether a request was open at its box during one of the windows."""
    return any(
        one.box == box and one.started_at < end and one.ended_at > start
        for box, start, end in windows
    )


def _check_drain(history: History) -> list[str]:
    return [
        f"DRAIN {one.request_id} runs at {one.instance}"
        for one in history.executions
        if one.at > history.drained_at.get(one.instance, float("inf")) + MAX_DRAIN_S
    ]


def _check_statements(history: History) -> list[str]:
    """Return what servers got beyond what their answers state that they accept."""
    by_id = {one.request_id: one for one in history.requests}
    executions = sorted(history.executions, key=lambda one: one.at)
    answered = [one for one in history.requests if one.instance]
    record = statements.Record(
        statements=[
            statements.Statement(
                at=one.ended_at,
                target_id=one.instance,
                origin=one.box,
                rate_limit=one.rate_limit,
                leaving=one.leaving,
            )
            for one in sorted(answered, key=lambda one: one.ended_at)
        ],
        arrivals=[
            statements.Arrival(
                at=one.at,
                target_id=one.instance,
                origin=by_id[one.request_id].box,
                request_id=one.request_id,
                sent_at=by_id[one.request_id].started_at,
            )
            for one in executions
            if one.request_id in by_id
        ],
        strikes=[(box, start) for box, start, _ in history.fault_windows],
        cuts=history.link_faults,
    )
    return statements.over_limit(record) + statements.sent_after_leaving(record)


def _check_policy_order(history: History) -> list[str]:
    errors = []
    for name, lines in history.logs.items():
        seen = [line["version"] for line in lines if line["kind"] == "policy-in-force"]
        if seen != sorted(set(seen)):
            errors.append(f"CONFIG {name}: {seen}")
    return errors


def _check_final_policy(history: History) -> list[str]:
    """Return the running daemons that do not apply the newest policy."""
    errors = []
    for name, lines in history.logs.items():
        if any(line["kind"] == "stop" for line in lines) or name not in history.running:
            continue
        seen = [line["version"] for line in lines if line["kind"] == "policy-in-force"]
        if seen[-1:] != [history.newest_version]:
            errors.append(
                f"CONFIG {name}: {seen[-1:]} at the end, not {history.newest_version}"
            )
    return errors


def _check_lethal(history: History) -> list[str]:
    """Return the lethal requests that crashed too many servers."""
    count = collections.Counter(history.crash_paths)
    return [f"LETHAL {path}: {n}" for path, n in count.items() if n > MAX_CRASHES]


def _check_recovery(history: History) -> list[str]:
    steady = [
        one
        for one in history.requests
        if one.started_at > history.steady_from and not one.left
    ]
    served = sum(one.status == 200 for one in steady)
    if not steady or served < MIN_RECOVERED_RATIO * len(steady):
        statuses = collections.Counter(one.status for one in steady)
        return [f"RECOVER {served} of {len(steady)}: {dict(statuses)}"]
    return []
