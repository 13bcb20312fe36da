"""Declarative options and the reader that validates them.

A settings class declares each field with `option(...)`. `read` checks every value and
reports all errors to a `findings.Report`, not just the first. Used for the settings of
both daemons and for signed bundles.
"""

from __future__ import annotations

import difflib
import ipaddress
import pathlib
import re
import tomllib
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

import attrs

from ferrydeck.config import findings

T = TypeVar("T")

MISSING = object()
"""Default of a required option."""
METADATA_KEY = "ferrydeck_option"
"""Key of the option in the metadata of a field."""
NAME_PATTERN = r"[a-z0-9][a-z0-9._-]{0,62}"


@attrs.define(kw_only=True, frozen=True)
class Text:
    """A text value that fully matches a pattern."""

    pattern: str = r".+"

    def check(self, value: Any, place: str, report: findings.Report) -> Any:
        """Return `value`, or report why it is invalid."""
        if not isinstance(value, str):
            report.add(place, f"expected text, got {type_name(value)}")
            return ""
        if re.fullmatch(self.pattern, value) is None:
            report.add(place, f"{value!r} does not match {self.pattern}")
        return value


@attrs.define(kw_only=True, frozen=True)
class Number:
    """A number in an inclusive range; `integer` rejects fractions."""

    low: float
    high: float
    integer: bool = False

    def check(self, value: Any, place: str, report: findings.Report) -> Any:
        """Return `value`, or report why it is invalid."""
        kinds = int if self.integer else (int, float)
        if isinstance(value, bool) or not isinstance(value, kinds):
            expected = "an integer" if self.integer else "a number"
            report.add(place, f"expected {expected}, got {type_name(value)}")
            return self.low
        if not self.low <= value <= self.high:
            report.add(place, f"{value} is not between {self.low} and {self.high}")
        return value


PORT = Number(low=1, high=65535, integer=True)
"""A TCP port to listen on."""


@attrs.define(kw_only=True, frozen=True)
class Flag:
    """A boolean."""

    def check(self, value: Any, place: str, report: findings.Report) -> Any:
        """Return `value`, or report why it is invalid."""
        if not isinstance(value, bool):
            report.add(place, f"expected true or false, got {type_name(value)}")
            return False
        return value


@attrs.define(kw_only=True, frozen=True)
class Choice:
    """One of a fixed set of strings."""

    values: tuple[str, ...]

    def check(self, value: Any, place: str, report: findings.Report) -> Any:
        """Return `value`, or report why it is invalid."""
        if value not in self.values:
            report.add(place, f"{value!r} is not one of {', '.join(self.values)}")
            return self.values[0]
        return value


@attrs.define(kw_only=True, frozen=True)
class Address:
    """An IP address, followed by `:port` if `port` is set."""

    port: bool = True

    def check(self, value: Any, place: str, report: findings.Report) -> Any:
        """Return `value`, or report why it is invalid."""
        if not isinstance(value, str):
            report.add(place, f"expected an address, got {type_name(value)}")
            return ""
        host, _, port = value.rpartition(":") if self.port else (value, "", "1")
        try:
            ipaddress.ip_address(host.strip("[]"))
        except ValueError:
            report.add(place, f"{host!r} is not an IP address")
        if not port.isdigit() or not 0 < int(port) < 65536:
            report.add(place, f"{port!r} is not a port number")
        return value


@attrs.define(kw_only=True, frozen=True)
class Items:
    """A list whose items are checked by `item`."""

    item: Any

    def check(self, value: Any, place: str, report: findings.Report) -> Any:
        """Return `value` as a tuple, or report why it is invalid."""
        if not isinstance(value, list):
            report.add(place, f"expected a list, got {type_name(value)}")
            return ()
        return tuple(
            self.item.check(entry, f"{place}[{index}]", report)
            for index, entry in enumerate(value)
        )


@attrs.define(kw_only=True, frozen=True)
class Table:
    """A table with arbitrary keys whose values are checked by `item`."""

    item: Any

    def check(self, value: Any, place: str, report: findings.Report) -> Any:
        """Return `value` as a dictionary, or report why it is invalid."""
        if not isinstance(value, Mapping):
            report.add(place, f"expected a table, got {type_name(value)}")
            return {}
        return {
            key: self.item.check(entry, join(place, key), report)
            for key, entry in value.items()
        }


@attrs.define(kw_only=True, frozen=True)
class Section:
    """A table that is read into a settings class."""

    cls: type

    def check(self, value: Any, place: str, report: findings.Report) -> Any:
        """Return an instance of the class, or report why the table is invalid."""
        if not isinstance(value, Mapping):
            report.add(place, f"expected a table, got {type_name(value)}")
            return None
        return read(self.cls, value, report, place=place)


def option(check: Any, *, default: Any = MISSING) -> Any:
    """Declare a field validated by `check`; it is required if it has no default."""
    metadata = {METADATA_KEY: check}
    if default is MISSING:
        return attrs.field(metadata=metadata)
    return attrs.field(default=default, metadata=metadata)


def read(
    cls: type[T], table: Mapping[str, Any], report: findings.Report, *, place: str = ""
) -> T | None:
    """Read `table` into `cls`; return `None` if a required value is missing."""
    fields = {field.name: field for field in attrs.fields(cls)}
    for key in table:
        if key not in fields:
            report.add(join(place, key), unknown_key(key, list(fields)))
    values = {}
    complete = True
    for name, field in fields.items():
        if name in table:
            check = field.metadata[METADATA_KEY]
            values[name] = check.check(table[name], join(place, name), report)
        elif field.default is attrs.NOTHING:
            report.add(join(place, name), "is required")
            complete = False
    return cls(**values) if complete else None


def read_file(
    cls: type[T],
    path: str,
    check_consistency: Callable[[T, findings.Report], None] | None = None,
) -> T | findings.Rejected:
    """Read a TOML file into `cls`; `check_consistency` validates keys together."""
    report = findings.Report(file=path)
    try:
        table = tomllib.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as exc:
        report.add("(file)", str(exc))
        return findings.Rejected(findings=tuple(report.findings))
    return read_table(cls, table, report, check_consistency)


def read_table(
    cls: type[T],
    table: Mapping[str, Any],
    report: findings.Report,
    check_consistency: Callable[[T, findings.Report], None] | None = None,
) -> T | findings.Rejected:
    """Read a table into `cls`, or return all findings."""
    result = read(cls, table, report)
    if result is not None and report.clean and check_consistency is not None:
        check_consistency(result, report)
    if result is None or not report.clean:
        return findings.Rejected(findings=tuple(report.findings))
    return result


def unknown_key(key: str, known: list[str]) -> str:
    """Return the error text for an unknown key, with the closest known key."""
    nearest = difflib.get_close_matches(key, known, n=1, cutoff=0.0)
    return f"unknown key; closest match: {nearest[0]!r}"


def join(place: str, key: str) -> str:
    """Return the dotted path of `key` below `place`."""
    return f"{place}.{key}" if place else key


def type_name(value: Any) -> str:
    """Return a readable name of the type of `value`."""
    names = {bool: "a boolean", int: "an integer", float: "a number"}
    names |= {str: "text", list: "a list", dict: "a table"}
    return names.get(type(value), type(value).__name__)
