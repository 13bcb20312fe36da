"""What callers and servers saw, against the promises."""

from __future__ import annotations

import collections
import json

import attrs

from tests.platform import mesh_fleet
from tests.soak import clients

REFUSALS = frozenset({408, 421, 429, 503})
DRAIN_S = 2.0
HELD_SLACK_S = 0.5
"""How much longer than its deadline a request may be held, seconds."""
RECOVERED_SHARE = 0.95
IN_FORCE_S = 2.0
LETHAL_MOST = 6
"""Servers that end by a lethal request at most: three for each of two parts of a fleet
that links held one way or both can make."""


@attrs.define(kw_only=True)
class Run:
    """A request that a server ran."""

    request_id: str
    instance: str
    at: float


@attrs.define(kw_only=True)
class History:
    """Everything that a run of the soak brought."""

    sent: list[clients.Sent]
    runs: list[Run]
    acked_leaving: dict[str, float]
    """When the leaving of a server's lifetime was acknowledged."""
    calm_from: float
    """When the last trouble was over, its aftermath included."""
    troubled: list[tuple[str, float, float]]
    """Boxes whose daemon was struck, from when until when."""
    logs: dict[str, list[dict[str, object]]]
    """The lines of each daemon process."""
    last: set[str]
    """Those of the daemons that ran until the end."""
    version: int
    """The newest policy."""
    ended_by: list[str]
    """The path of the request under which each server ended."""
    exit_codes: list[tuple[str, int]]


def runs_of(fleet: mesh_fleet.MeshFleet) -> list[Run]:
    """Return what the servers wrote down."""
    found = []
    for process in fleet.processes:
        if not process.name.startswith("server-"):
            continue
        for line in whole_lines(process.log):
            if "ran" in line:
                found.append(
                    Run(
                        request_id=line["ran"],
                        instance=line["instance"],
                        at=line["at"],
                    )
                )
    return found


def ended_by(fleet: mesh_fleet.MeshFleet) -> list[str]:
    """Return the paths under which servers ended."""
    servers = [one for one in fleet.processes if one.name.startswith("server-")]
    lines = [line for one in servers for line in whole_lines(one.log)]
    return [line["ended"] for line in lines if "ended" in line]


def whole_lines(path) -> list[dict[str, object]]:
    """Return the JSON lines of a log; what was cut off by a kill is left out."""
    text = path.read_text(errors="replace")
    lines = [line for line in text.splitlines(keepends=True) if line.startswith("{")]
    return [json.loads(line) for line in lines if line.endswith("}\n")]


def broken(history: History) -> list[str]:
    """Return all promises that were broken, with the request or box."""
    ran = collections.Counter(one.request_id for one in history.runs)
    found = []
    for one in history.sent:
        found += _of_request(one, ran[one.request_id])
    found += _held(history)
    found += _after_leaving(history)
    found += _versions(history)
    found += _newest(history)
    found += _lethal(history)
    found += _recovery(history)
    found += [f"EXIT {name}: {code}" for name, code in history.exit_codes if code]
    return found


def _of_request(one: clients.Sent, times: int) -> list[str]:
    found = []
    if one.once and times > 1:
        found.append(f"TWICE {one.request_id}: {times}")
    if one.once and one.status in REFUSALS and times:
        found.append(f"REFUSED {one.request_id}: {one.status} but ran")
    if one.status == 200:
        whole = one.body == one.expected and one.echoed == one.request_id
        if not whole or not times:
            found.append(f"MIXED {one.request_id}: {one.body!r} for {one.echoed}")
    if one.status in (400, 404, 413, 431):
        found.append(f"DENIED {one.request_id}: {one.status}")
    return found


def _held(history: History) -> list[str]:
    """Return requests without an answer in time, at boxes that were not struck."""
    found = []
    for one in history.sent:
        late = one.ended - one.at > clients.DEADLINE_S + HELD_SLACK_S
        if not late and one.status not in (clients.CUT, clients.NO_ANSWER):
            continue
        struck = any(
            one.box == box and one.at < until and one.ended > since
            for box, since, until in history.troubled
        )
        if not struck:
            word = "HELD" if late else "CUT"
            found.append(f"{word} {one.request_id} at {one.box}: {one.status}")
    return found


def _after_leaving(history: History) -> list[str]:
    return [
        f"DRAIN {one.request_id} runs at {one.instance}"
        for one in history.runs
        if one.at > history.acked_leaving.get(one.instance, float("inf")) + DRAIN_S
    ]


def _versions(history: History) -> list[str]:
    found = []
    for name, lines in history.logs.items():
        seen = [line["version"] for line in lines if line["kind"] == "policy-in-force"]
        if seen != sorted(set(seen)):
            found.append(f"CONFIG {name}: {seen}")
    return found


def _newest(history: History) -> list[str]:
    """Return the daemons of the end that do not have the newest policy in force."""
    found = []
    for name, lines in history.logs.items():
        if any(line["kind"] == "stop" for line in lines) or name not in history.last:
            continue
        seen = [line["version"] for line in lines if line["kind"] == "policy-in-force"]
        if seen[-1:] != [history.version]:
            found.append(
                f"CONFIG {name}: {seen[-1:]} at the end, not {history.version}"
            )
    return found


def _lethal(history: History) -> list[str]:
    """Return requests under which more servers ended than parts of the fleet allow."""
    ended = collections.Counter(history.ended_by)
    return [f"LETHAL {path}: {n}" for path, n in ended.items() if n > LETHAL_MOST]


def _recovery(history: History) -> list[str]:
    last = [one for one in history.sent if one.at > history.calm_from]
    served = sum(one.status == 200 for one in last)
    if not last or served < RECOVERED_SHARE * len(last):
        told = collections.Counter(one.status for one in last)
        return [f"RECOVER {served} of {len(last)}: {dict(told)}"]
    return []
