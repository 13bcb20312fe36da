"""The policy as the platform's store holds it: read whole, or rejected with findings.

Tables are lists of columns and rows; a column left out of a row has its default. No
finding shows a key of a team, as findings are logged.
"""

from __future__ import annotations

import re
from typing import Any

import msgspec

from ferrydeck.config import findings
from ferrydeck.mesh import policy
from ferrydeck.mesh.teams import keys
from ferrydeck.platform import units

TEAMS = "tenants"
"""The table of teams; empty or missing where requests belong to none."""
KEY_FORM = re.compile(r"[\x21-\x7e]{1,200}")
"""Form of a key: visible ASCII, as a header field can hold it."""
NAME_FORM = re.compile(r"[\x21-\x7e][\x20-\x7e]{0,199}")
"""Form of a team's name: printable ASCII, as a header field can hold it."""
KINDS = {
    "safe": policy.RouteKind.SAFE,
    "unsafe": policy.RouteKind.ONCE,
    "download": policy.RouteKind.DOWNLOAD,
}
"""Kinds of routes by the platform's names: `unsafe` is run at most once."""


def read(raw: bytes, source: str) -> policy.Policy | findings.Rejected:
    """Return the policy in `raw`, or all that is wrong with it."""
    report = findings.Report(file=source)
    try:
        table = msgspec.json.decode(raw)
    except msgspec.DecodeError as exc:
        report.add("(file)", str(exc))
        return findings.Rejected(findings=tuple(report.findings))
    made = _policy(table, raw, report)
    if made is None or not report.clean:
        return findings.Rejected(findings=tuple(report.findings))
    return made


def _policy(table: Any, raw: bytes, report: findings.Report) -> policy.Policy | None:
    if not isinstance(table, dict):
        report.add("(file)", "expected an object")
        return None
    services = _each(table, "services", _service, report)
    known = {one.name: one for one in services}
    routes = _each(table, "routes", _route, report)
    for route in routes:
        for part in route.parts:
            if part.service not in known:
                report.add(f"routes.{route.name}", f"unknown service {part.service!r}")
    keyring = keys.Keyring()
    teams = _teams(table, keyring, report) if table.get(TEAMS) else {}
    try:
        return policy.Policy(
            version=units.parse_version(table.get("version")),
            routes=tuple(routes),
            services=known,
            teams=teams,
            keyring=keyring,
            caller_limits=_caller_limits(table.get("limits") or {}),
            raw=raw,
        )
    except (ValueError, TypeError) as exc:
        report.add("version or limits", str(exc))
        return None


def _teams(
    table: dict, keyring: keys.Keyring, report: findings.Report
) -> dict[str, keys.Team]:
    """Return the teams by name, and add their keys to the keyring.

    No finding shows a key: findings are logged.
    """
    found: dict[str, keys.Team] = {}
    for team, held in _each(table, TEAMS, _team, report):
        place = f"{TEAMS}.{team.name}"
        if team.name in found:
            report.add(place, "a name that stands twice")
        found[team.name] = team
        for other in keyring.add(team, held):
            report.add(place, f"a key that {other!r} holds too")
    return found


def _team(row: dict[str, Any]) -> tuple[keys.Team, list[str]]:
    priority, held = row.get("priority"), row.get("api_keys", [])
    name = row.get("name")
    if not isinstance(name, str) or not NAME_FORM.fullmatch(name):
        raise ValueError("a team needs a name that a header field can hold")
    if priority is not None and (not isinstance(priority, int) or priority < 0):
        raise ValueError(f"the priority of {name} is no whole number from zero on")
    texts = isinstance(held, list) and all(isinstance(key, str) for key in held)
    if not texts or not all(KEY_FORM.fullmatch(key) for key in held):
        raise ValueError(f"the keys of {name} are no words of visible signs")
    team = keys.Team(
        name=name,
        priority=priority,
        rate_per_s=_at_least_zero(row, "rate_per_s"),
        burst=_at_least_zero(row, "burst"),
    )
    return team, held


def _at_least_zero(row: dict[str, Any], name: str) -> float:
    """Return a number of a row, 0 where it is left out; the error shows no value."""
    value = row.get(name, 0)
    if not isinstance(value, int | float) or value < 0:
        raise ValueError(f"{name} is no number from zero on")
    return float(value)


def _each(table: dict, name: str, make: Any, report: findings.Report) -> list[Any]:
    made = []
    try:
        columns, rows = table[name]["columns"], list(table[name]["rows"])
    except (KeyError, TypeError) as exc:
        report.add(name, f"expected columns and rows: {exc!r}")
        return made
    for index, row in enumerate(rows):
        try:
            made.append(make(_named(columns, row)))
        except (KeyError, TypeError, ValueError, AttributeError) as exc:
            report.add(f"{name}[{index}]", repr(exc))
    return made


def _named(columns: list[str], row: list[Any]) -> dict[str, Any]:
    """Return the values of a row by column; those left out are not there."""
    named = zip(columns, row, strict=True)
    return {name: value for name, value in named if value is not None}


def _route(row: dict[str, Any]) -> policy.Route:
    host, prefix = row["host"], row["path_prefix"]
    if not host or not prefix.startswith("/") or not prefix.endswith("/"):
        raise ValueError("a route needs a host and a prefix between slashes")
    timeout_s = units.parse_duration(row["timeout"])
    # The time within which an answer is on time, not a latency of the target.
    objective_s = units.parse_duration(row.get("target_latency", row["timeout"]))
    attempts, priority = row.get("max_attempts", 1), row.get("priority", 0)
    if timeout_s <= 0 or objective_s < 0 or attempts < 1 or priority < 0:
        raise ValueError("times and numbers of a route have to be above zero")
    return policy.Route(
        name=row["name"],
        host=host,
        prefix=prefix,
        kind=KINDS[row["route_type"]],
        timeout_s=timeout_s,
        objective_s=objective_s,
        priority=int(priority),
        max_attempts=int(attempts),
        parts=_parts(row),
        public=bool(row.get("public", False)),
    )


def _parts(row: dict[str, Any]) -> tuple[policy.SplitPart, ...]:
    """Return where a route's requests go: a split where there is one."""
    split = row.get("traffic_split")
    if not split:
        return (policy.SplitPart(service=row["service"], weight=1.0),)
    parts = [
        policy.SplitPart(service=one["service"], weight=float(one["weight"]))
        for one in split
    ]
    if any(part.weight < 0 for part in parts):
        raise ValueError("a weight below zero")
    kept = tuple(part for part in parts if part.weight > 0)
    if not kept:
        raise ValueError("a split without weight")
    return kept


def _service(row: dict[str, Any]) -> policy.Service:
    found = policy.Service(name=row["name"], health_path=row.get("health_path", "/"))
    int(row.get("max_connections", 0))  # Checked, and not used.
    return found


def _caller_limits(table: dict[str, Any]) -> policy.CallerLimits:
    usual = policy.CallerLimits()
    return policy.CallerLimits(
        head_bytes=int(table.get("max_header_bytes", usual.head_bytes)),
        body_bytes=int(table.get("max_body_bytes", usual.body_bytes)),
        head_s=_time(table, "header_timeout", usual.head_s),
        idle_s=_time(table, "idle_timeout", usual.idle_s),
    )


def _time(table: dict[str, Any], name: str, usual: float) -> float:
    return units.parse_duration(table[name]) if name in table else usual
