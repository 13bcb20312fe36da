"""Options that validate themselves, and the reader of classes made of them.

A class of settings declares each field with `option(...)`. `read` walks the
fields, checks every value and reports all faults, not just the first. The settings of
both daemons and the signed bundles are read with it. Owns no state; faults are
collected by `findings`.
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
"""The default of an option that must be given."""
METADATA_KEY = "ferrydeck_option"
"""Where the metadata of a field holds its option."""
NAME_PATTERN = r"[a-z0-9][a-z0-9._-]{0,62}"


@attrs.define(kw_only=True, frozen=True)
class Text:
    """A text value that matches a pattern as a whole."""

    pattern: str = r".+"

    def check(self, value: Any, place: str, report: findings.Report) -> Any:
        """Return `value`, or report why it can't be used."""
        if not isinstance(value, str):
            report.add(place, f"expected text, got {kind_of(value)}")
            return ""
        if re.fullmatch(self.pattern, value) is None:
            report.add(place, f"{value!r} does not match {self.pattern}")
        return value


@attrs.define(kw_only=True, frozen=True)
class Number:
    """A number between two bounds, both included; `whole` rejects fractions."""

    low: float
    high: float
    whole: bool = False

    def check(self, value: Any, place: str, report: findings.Report) -> Any:
        """Return `value`, or report why it can't be used."""
        kinds = int if self.whole else (int, float)
        if isinstance(value, bool) or not isinstance(value, kinds):
            wanted = "a whole number" if self.whole else "a number"
            report.add(place, f"expected {wanted}, got {kind_of(value)}")
            return self.low
        if not self.low <= value <= self.high:
            report.add(place, f"{value} is not between {self.low} and {self.high}")
        return value


PORT = Number(low=1, high=65535, whole=True)
"""A TCP port that can be listened on."""


@attrs.define(kw_only=True, frozen=True)
class Flag:
    """A truth value."""

    def check(self, value: Any, place: str, report: findings.Report) -> Any:
        """Return `value`, or report why it can't be used."""
        if not isinstance(value, bool):
            report.add(place, f"expected true or false, got {kind_of(value)}")
            return False
        return value


@attrs.define(kw_only=True, frozen=True)
class Choice:
    """One of a few texts."""

    values: tuple[str, ...]

    def check(self, value: Any, place: str, report: findings.Report) -> Any:
        """Return `value`, or report why it can't be used."""
        if value not in self.values:
            report.add(place, f"{value!r} is not one of {', '.join(self.values)}")
            return self.values[0]
        return value


@attrs.define(kw_only=True, frozen=True)
class Address:
    """An IP number, with `:port` where `port` is set."""

    port: bool = True

    def check(self, value: Any, place: str, report: findings.Report) -> Any:
        """Return `value`, or report why it can't be used."""
        if not isinstance(value, str):
            report.add(place, f"expected an address, got {kind_of(value)}")
            return ""
        host, _, port = value.rpartition(":") if self.port else (value, "", "1")
        try:
            ipaddress.ip_address(host.strip("[]"))
        except ValueError:
            report.add(place, f"{host!r} is not an IP number")
        if not port.isdigit() or not 0 < int(port) < 65536:
            report.add(place, f"{port!r} is not a port")
        return value


@attrs.define(kw_only=True, frozen=True)
class Items:
    """A list, each item checked by `item`."""

    item: Any

    def check(self, value: Any, place: str, report: findings.Report) -> Any:
        """Return `value` as a tuple, or report why it can't be used."""
        if not isinstance(value, list):
            report.add(place, f"expected a list, got {kind_of(value)}")
            return ()
        return tuple(
            self.item.check(entry, f"{place}[{index}]", report)
            for index, entry in enumerate(value)
        )


@attrs.define(kw_only=True, frozen=True)
class Table:
    """A table with any keys, each value checked by `item`."""

    item: Any

    def check(self, value: Any, place: str, report: findings.Report) -> Any:
        """Return `value` as a dictionary, or report why it can't be used."""
        if not isinstance(value, Mapping):
            report.add(place, f"expected a table, got {kind_of(value)}")
            return {}
        return {
            key: self.item.check(entry, join(place, key), report)
            for key, entry in value.items()
        }


@attrs.define(kw_only=True, frozen=True)
class Section:
    """A table that is read into a class of options."""

    cls: type

    def check(self, value: Any, place: str, report: findings.Report) -> Any:
        """Return an object of the class, or report why none can be made."""
        if not isinstance(value, Mapping):
            report.add(place, f"expected a table, got {kind_of(value)}")
            return None
        return read(self.cls, value, report, place=place)


def option(check: Any, *, default: Any = MISSING) -> Any:
    """Declare a field that `check` validates; without a default it must be given."""
    metadata = {METADATA_KEY: check}
    if default is MISSING:
        return attrs.field(metadata=metadata)
    return attrs.field(default=default, metadata=metadata)


def read(
    cls: type[T], table: Mapping[str, Any], report: findings.Report, *, place: str = ""
) -> T | None:
    """Read `table` into `cls`; `None` where a value that must be given is missing."""
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
            report.add(join(place, name), "must be given")
            complete = False
    return cls(**values) if complete else None


def read_file(
    cls: type[T],
    path: str,
    check_consistency: Callable[[T, findings.Report], None] | None = None,
) -> T | findings.Rejected:
    """Read a TOML file into `cls`; `check_together` adds findings between keys."""
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
    """Read a table into `cls`, or return all that is wrong with it."""
    made = read(cls, table, report)
    if made is not None and report.clean and check_consistency is not None:
        check_consistency(made, report)
    if made is None or not report.clean:
        return findings.Rejected(findings=tuple(report.findings))
    return made


def unknown_key(key: str, known: list[str]) -> str:
    """Say that `key` is unknown and which known key is nearest."""
    nearest = difflib.get_close_matches(key, known, n=1, cutoff=0.0)
    return f"unknown key; the nearest known one is {nearest[0]!r}"


def join(place: str, key: str) -> str:
    """Return the dotted place of `key` below `place`."""
    return f"{place}.{key}" if place else key


def kind_of(value: Any) -> str:
    """Return the TOML name of the type of `value`."""
    names = {bool: "a truth value", int: "a whole number", float: "a number"}
    names |= {str: "text", list: "a list", dict: "a table"}
    return names.get(type(value), type(value).__name__)
