"""A sample bundle for two deployments, used by the demo and the tests."""

from __future__ import annotations

SERVICES = {
    "payments-ledger": (100, 700),
    "intake-recorder": (20, 200),
    "route-planning": (130, 850),
    "farmer-enquiry": (80, 550),
    "catalogue": (150, 1000),
    "membership": (250, 1500),
    "audio-delivery": (250, 1500),
    "publishing": (50, 400),
}
"""Slots and connections per server of each service."""

CLASSES = {
    "payment-posting": 0,
    "intake-entry": 0,
    "audio-download": 0,
    "publish": 1,
    "lookup": 2,
    "browse": 3,
}

ROUTES = (
    ("payments-ledger", "POST", "/postings", "payment-posting", False, 3000),
    ("payments-ledger", "GET", "/balances", "lookup", True, 1000),
    ("intake-recorder", "POST", "/entries", "intake-entry", False, 3000),
    ("intake-recorder", "GET", "/volumes", "lookup", True, 1000),
    ("route-planning", "GET", "/sheets", "lookup", True, 2000),
    ("farmer-enquiry", "GET", "/farmers", "lookup", True, 1000),
    ("catalogue", "GET", "/shows", "browse", True, 1000),
    ("membership", "POST", "/dues", "payment-posting", False, 3000),
    ("membership", "GET", "/members", "lookup", True, 1000),
    ("audio-delivery", "GET", "/episodes", "audio-download", True, 10000),
    ("audio-delivery", "GET", "/counts", "browse", True, 1000),
    ("publishing", "POST", "/episodes", "publish", False, 3000),
    ("publishing", "GET", "/feeds", "lookup", True, 1000),
)
"""Service, method, path, class, whether it is repeatable, and deadline in ms."""


def bundle_toml(
    version: int = 1,
    *,
    parent: str = "",
    slots: dict[str, int] | None = None,
    lease_s: float = 3.0,
    resend_window_s: float = 5.0,
    allowance: int = 3,
    classes: dict[str, int] | None = None,
) -> str:
    """Return a bundle with the services of both deployments in TOML."""
    lines = [f"version = {version}", f'parent = "{parent}"', "", "[retry]"]
    lines += [f"allowance = {allowance}", "", "[once]", f"lease_s = {lease_s}"]
    lines += [f"resend_window_s = {resend_window_s}"]
    for name, rank in (classes or CLASSES).items():
        lines += ["", "[[classes]]", f'name = "{name}"', f"rank = {rank}"]
    for name, (slot_count, connections) in SERVICES.items():
        lines += ["", "[[services]]", f'name = "{name}"']
        lines += [f"slots = {(slots or {}).get(name, slot_count)}"]
        lines += [f"connections = {connections}"]
    for service, method, path, class_name, repeatable, deadline_ms in ROUTES:
        lines += ["", "[[routes]]", f'service = "{service}"', f'method = "{method}"']
        lines += [f'path = "{path}"', f'class_name = "{class_name}"']
        lines += [f"repeatable = {str(repeatable).lower()}"]
        lines += [f"deadline_ms = {deadline_ms}"]
    return "\n".join(lines) + "\n"
