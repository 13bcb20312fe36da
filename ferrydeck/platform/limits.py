"""Parsing of the deployment limits in the platform's settings."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from ferrydeck.config import findings
from ferrydeck.mesh import context
from ferrydeck.platform import units

NUMBERS = {"retry_budget_ratio": "retry_ratio", "budget_slack": "retry_slack"}
"""Fields of `context.Limits` by name of the numeric setting."""
DRAIN = "drain_s"
"""Drain time of targets; validated but unused."""
DURATIONS = {
    "budget_window": "retry_window_s",
    "drain": DRAIN,
    "grace": "grace_s",
    "quota_window": "quota_window_s",
}
"""Fields of `context.Limits` by name of the duration setting."""
STRICT_REVOKE = "strict_revoke"
REVOKE = "revoke"
"""Maximum time to use a policy that is not confirmed as the newest; only applies
with `STRICT_REVOKE`."""
TRUE = "true"


def read(
    stated: Mapping[str, str], heartbeat: str, report: findings.Report
) -> context.Limits:
    """Parse settings such as `grace = "6s"`; unknown ones are ignored."""
    found: dict[str, float] = {}
    for name, field in NUMBERS.items():
        if name in stated:
            _set(found, field, float, stated[name], name, report)
    for name, field in DURATIONS.items():
        if name in stated:
            _set(found, field, units.to_seconds, stated[name], name, report)
    found.pop(DRAIN, None)
    if stated.get(STRICT_REVOKE) == TRUE and REVOKE in stated:
        _set(found, "revoke_s", units.to_seconds, stated[REVOKE], REVOKE, report)
    if heartbeat:
        _set(
            found, "heartbeat_s", units.to_seconds, heartbeat, "report_interval", report
        )
    return attrs.evolve(context.Limits(), **found)


def _set(
    found: dict[str, float],
    field: str,
    parse: object,
    text: str,
    name: str,
    report: findings.Report,
) -> None:
    try:
        found[field] = parse(text)
    except ValueError as exc:
        report.add(f"terms.{name}", str(exc))
