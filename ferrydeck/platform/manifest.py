"""Parsing and validation of the policy in the platform's store.

Tables consist of columns and rows; a null value in a row means the default. Findings
are logged, so they must not contain API keys of teams.
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
"""Name of the table of teams; empty or absent if there are none."""
KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,200}")
"""API key: visible ASCII characters, valid in a header field."""
NAME_PATTERN = re.compile(r"[\x21-\x7e][\x20-\x7e]{0,199}")
"""Name of a team: printable ASCII characters, valid in a header field."""
ROUTE_KINDS = {
    "safe": policy.RouteKind.SAFE,
    "unsafe": policy.RouteKind.ONCE,
    "download": policy.RouteKind.DOWNLOAD,
}
"""Route kinds by the platform's names; `unsafe` requests run at most once."""


def read(raw: bytes, source: str) -> policy.Policy | findings.Rejected:
    """Parse a policy; return all findings if it is invalid."""
    report = findings.Report(file=source)
    try:
        table = msgspec.json.decode(raw)
    except msgspec.DecodeError as exc:
        report.add("(file)", str(exc))
        return findings.Rejected(findings=tuple(report.findings))
    parsed = _policy(table, raw, report)
    if parsed is None or not report.clean:
        return findings.Rejected(findings=tuple(report.findings))
    return parsed


def _policy(table: Any, raw: bytes, report: findings.Report) -> policy.Policy | None:
    if not isinstance(table, dict):
        report.add("(file)", "expected an object")
        return None
    services = _read_rows(table, "services", _service, report)
    by_name = {service.name: service for service in services}
    routes = _read_rows(table, "routes", _route, report)
    for route in routes:
        for part in route.parts:
            if part.service not in by_name:
                report.add(f"routes.{route.name}", f"unknown service {part.service!r}")
    keyring = keys.Keyring()
    teams = _teams(table, keyring, report) if table.get(TEAMS) else {}
    try:
        return policy.Policy(
            version=units.parse_version(table.get("version")),
            routes=tuple(routes),
            services=by_name,
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
    """Return the teams by name and add their API keys to the keyring."""
    teams: dict[str, keys.Team] = {}
    for team, api_keys in _read_rows(table, TEAMS, _team, report):
        place = f"{TEAMS}.{team.name}"
        if team.name in teams:
            report.add(place, "a name that stands twice")
        teams[team.name] = team
        for other in keyring.add(team, api_keys):
            report.add(place, f"a key that {other!r} holds too")
    return teams


def _team(row: dict[str, Any]) -> tuple[keys.Team, list[str]]:
    priority, api_keys = row.get("priority"), row.get("api_keys", [])
    name = row.get("name")
    if not isinstance(name, str) or not NAME_PATTERN.fullmatch(name):
        raise ValueError("a team needs a name that a header field can hold")
    if priority is not None and (not isinstance(priority, int) or priority < 0):
        raise ValueError(f"the priority of {name} is no whole number from zero on")
    texts = isinstance(api_keys, list) and all(isinstance(key, str) for key in api_keys)
    if not texts or not all(KEY_PATTERN.fullmatch(key) for key in api_keys):
        raise ValueError(f"the keys of {name} are no words of visible signs")
    team = keys.Team(
        name=name,
        priority=priority,
        rate_per_s=_non_negative(row, "rate_per_s"),
        burst=_non_negative(row, "burst"),
    )
    return team, api_keys


def _non_negative(row: dict[str, Any], name: str) -> float:
    """Return a non-negative number of a row, 0 if absent."""
    value = row.get(name, 0)
    if not isinstance(value, int | float) or value < 0:
        raise ValueError(f"{name} is no number from zero on")
    return float(value)


def _read_rows(table: dict, name: str, make: Any, report: findings.Report) -> list[Any]:
    parsed = []
    try:
        columns, rows = table[name]["columns"], list(table[name]["rows"])
    except (KeyError, TypeError) as exc:
        report.add(name, f"expected columns and rows: {exc!r}")
        return parsed
    for index, row in enumerate(rows):
        try:
            parsed.append(make(_row_values(columns, row)))
        except (KeyError, TypeError, ValueError, AttributeError) as exc:
            report.add(f"{name}[{index}]", repr(exc))
    return parsed


def _row_values(columns: list[str], row: list[Any]) -> dict[str, Any]:
    """Return the values of a row by column, without null values."""
    pairs = zip(columns, row, strict=True)
    return {name: value for name, value in pairs if value is not None}


def _route(row: dict[str, Any]) -> policy.Route:
    host, prefix = row["host"], row["path_prefix"]
    if not host or not prefix.startswith("/") or not prefix.endswith("/"):
        raise ValueError("a route needs a host and a prefix between slashes")
    timeout_s = units.to_seconds(row["timeout"])
    # The latency objective of the route; it includes time spent in queues.
    objective_s = units.to_seconds(row.get("target_latency", row["timeout"]))
    attempts, priority = row.get("max_attempts", 1), row.get("priority", 0)
    if timeout_s <= 0 or objective_s < 0 or attempts < 1 or priority < 0:
        raise ValueError("times and numbers of a route have to be above zero")
    return policy.Route(
        name=row["name"],
        host=host,
        prefix=prefix,
        kind=ROUTE_KINDS[row["route_type"]],
        timeout_s=timeout_s,
        objective_s=objective_s,
        priority=int(priority),
        max_attempts=int(attempts),
        parts=_parts(row),
        public=bool(row.get("public", False)),
    )


def _parts(row: dict[str, Any]) -> tuple[policy.SplitPart, ...]:
    """Return the traffic split of a route, or its only service."""
    split = row.get("traffic_split")
    if not split:
        return (policy.SplitPart(service=row["service"], weight=1.0),)
    parts = [
        policy.SplitPart(service=part["service"], weight=float(part["weight"]))
        for part in split
    ]
    if any(part.weight < 0 for part in parts):
        raise ValueError("a weight below zero")
    kept = tuple(part for part in parts if part.weight > 0)
    if not kept:
        raise ValueError("a split without weight")
    return kept


def _service(row: dict[str, Any]) -> policy.Service:
    service = policy.Service(name=row["name"], health_path=row.get("health_path", "/"))
    int(row.get("max_connections", 0))  # Validated but unused.
    return service


def _caller_limits(table: dict[str, Any]) -> policy.CallerLimits:
    defaults = policy.CallerLimits()
    return policy.CallerLimits(
        head_bytes=int(table.get("max_header_bytes", defaults.head_bytes)),
        body_bytes=int(table.get("max_body_bytes", defaults.body_bytes)),
        head_s=_time(table, "header_timeout", defaults.head_s),
        idle_s=_time(table, "idle_timeout", defaults.idle_s),
    )


def _time(table: dict[str, Any], name: str, default: float) -> float:
    return units.to_seconds(table[name]) if name in table else default
