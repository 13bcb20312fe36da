"""Parsing of the platform's durations and versions."""

from __future__ import annotations

SECONDS_PER_UNIT = {"ms": 0.001, "s": 1.0}
"""Seconds per unit; `ms` precedes `s`, which is a suffix of it."""


def to_seconds(text: object) -> float:
    """Parse a duration such as `1500ms` or `2.5s` to seconds; raises `ValueError`."""
    if not isinstance(text, str):
        raise ValueError(f"expected a time with its unit, got {text!r}")
    for unit, factor in SECONDS_PER_UNIT.items():
        number = text.removesuffix(unit)
        if number != text and number.replace(".", "", 1).isdigit():
            return float(number) * factor
    raise ValueError(f"expected a time with its unit, got {text!r}")


def parse_version(text: object) -> int:
    """Parse a version such as `r12` to its number; raises `ValueError`."""
    if not isinstance(text, str) or not text.startswith("r"):
        raise ValueError(f"expected a version such as r12, got {text!r}")
    if not text[1:].isdigit():
        raise ValueError(f"expected a version such as r12, got {text!r}")
    return int(text[1:])
