"""The limits of a deployment as the platform's settings state them, as texts."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from ferrydeck.config import findings
from ferrydeck.mesh import context
from ferrydeck.platform import units

NUMBERS = {
    "retry_budget_ratio": "retry_ratio",
    "budget_slack": "retry_slack",
}
"""Names of plain numbers, and the fields of `context.Limits` that they set."""
DRAIN = "drain_s"
"""Time for targets to drain: it is checked, and not used."""
TIMES = {
    "budget_window": "retry_window_s",
    "drain": DRAIN,
    "grace": "grace_s",
    "quota_window": "quota_window_s",
}
"""Names of times with their unit, and the fields that they set."""
STRICT_REVOKE = "strict_revoke"
REVOKE = "revoke"
"""How long a policy that isn't confirmed as the newest may be used; it counts only
with `STRICT_REVOKE`."""
TRUE = "true"


def read(
    stated: Mapping[str, str], heartbeat: str, report: findings.Report
) -> context.Limits:
    """Return the limits in entries such as `grace = "6s"`; others are passed over."""
    found: dict[str, float] = {}
    for name, field in NUMBERS.items():
        if name in stated:
            _add(found, field, float, stated[name], name, report)
    for name, field in TIMES.items():
        if name in stated:
            _add(found, field, units.parse_duration, stated[name], name, report)
    found.pop(DRAIN, None)
    if stated.get(STRICT_REVOKE) == TRUE and REVOKE in stated:
        _add(found, "revoke_s", units.parse_duration, stated[REVOKE], REVOKE, report)
    if heartbeat:
        _add(
            found,
            "heartbeat_s",
            units.parse_duration,
            heartbeat,
            "report_interval",
            report,
        )
    return attrs.evolve(context.Limits(), **found)


def _add(
    found: dict[str, float],
    field: str,
    read_value: object,
    text: str,
    name: str,
    report: findings.Report,
) -> None:
    try:
        found[field] = read_value(text)
    except ValueError as exc:
        report.add(f"terms.{name}", str(exc))
