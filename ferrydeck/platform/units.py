"""Times with their unit and versions, as the platform writes them."""

from __future__ import annotations

SECONDS_PER_UNIT = {"ms": 0.001, "s": 1.0}
"""Seconds in each unit; `ms` stands first, as it ends in `s` too."""


def parse_duration(text: object) -> float:
    """Return the seconds in a text such as `1500ms` or `2.5s`.

    Raises `ValueError` for anything else.
    """
    if not isinstance(text, str):
        raise ValueError(f"expected a time with its unit, got {text!r}")
    for unit, factor in SECONDS_PER_UNIT.items():
        number = text.removesuffix(unit)
        if number != text and number.replace(".", "", 1).isdigit():
            return float(number) * factor
    raise ValueError(f"expected a time with its unit, got {text!r}")


def parse_version(text: object) -> int:
    """Return the number in a version such as `r12`; raises `ValueError`."""
    if not isinstance(text, str) or not text.startswith("r"):
        raise ValueError(f"expected a version such as r12, got {text!r}")
    if not text[1:].isdigit():
        raise ValueError(f"expected a version such as r12, got {text!r}")
    return int(text[1:])
