"""The bundle: the operators' versioned policy and its validation."""

from __future__ import annotations

import hashlib
from typing import Any

import attrs
import msgspec

from ferrydeck.config import findings, options

NAME = options.Text(pattern=options.NAME_PATTERN)
DIGEST = options.Text(pattern=r"([0-9a-f]{64})?")
METHODS = ("GET", "POST", "PUT", "DELETE", "PATCH")
SHARD_COUNT = 32
"""Number of shards per service; part of the protocol, as it maps keys to shards."""


@attrs.define(kw_only=True, frozen=True)
class Retry:
    """Limits of retries."""

    allowance: int = options.option(
        options.Number(low=0, high=32, integer=True), default=3
    )
    """Maximum retries of a request across its call chain."""
    budget: float = options.option(options.Number(low=0, high=1), default=0.1)
    """Retry budget: ratio of retries to first attempts, per service and daemon."""


@attrs.define(kw_only=True, frozen=True)
class Once:
    """Settings of at-most-once calls."""

    resend_window_s: float = options.option(
        options.Number(low=1, high=86400), default=60.0
    )
    """Time after its first use within which callers may resend a key, seconds."""
    lease_s: float = options.option(options.Number(low=1, high=3600), default=10.0)
    """Time to live of the lease on owned shards, seconds."""
    max_keys: int = options.option(
        options.Number(low=1, high=10_000_000, integer=True), default=200_000
    )
    """Maximum number of keys stored by a daemon."""


@attrs.define(kw_only=True, frozen=True)
class RequestClass:
    """A class of requests; the class with the lowest rank is shed last."""

    name: str = options.option(NAME)
    rank: int = options.option(options.Number(low=0, high=7, integer=True))


@attrs.define(kw_only=True, frozen=True)
class Service:
    """Capacity of a target of a service."""

    name: str = options.option(NAME)
    slots: int = options.option(options.Number(low=1, high=100_000, integer=True))
    connections: int = options.option(options.Number(low=1, high=100_000, integer=True))
    cold_start_s: float = options.option(options.Number(low=0, high=600), default=0.0)
    """Slow-start time of a new target, seconds."""


@attrs.define(kw_only=True, frozen=True)
class Route:
    """Class and settings of the calls below a path of a service."""

    service: str = options.option(NAME)
    method: str = options.option(options.Choice(values=METHODS))
    path: str = options.option(options.Text(pattern=r"/[!-~]*"))
    class_name: str = options.option(NAME)
    repeatable: bool = options.option(options.Flag())
    deadline_ms: int = options.option(
        options.Number(low=10, high=3_600_000, integer=True), default=2000
    )
    """Default and maximum deadline of a call, milliseconds."""
    max_body: int = options.option(
        options.Number(low=0, high=16 * 1024 * 1024, integer=True), default=256 * 1024
    )


@attrs.define(kw_only=True, frozen=True)
class Bundle:
    """One version of the policy."""

    version: int = options.option(options.Number(low=1, high=2**53, integer=True))
    parent: str = options.option(DIGEST, default="")
    classes: tuple[RequestClass, ...] = options.option(
        options.Items(item=options.Section(cls=RequestClass))
    )
    services: tuple[Service, ...] = options.option(
        options.Items(item=options.Section(cls=Service))
    )
    routes: tuple[Route, ...] = options.option(
        options.Items(item=options.Section(cls=Route))
    )
    retry: Retry = options.option(options.Section(cls=Retry), default=Retry())
    once: Once = options.option(options.Section(cls=Once), default=Once())

    @property
    def longest_deadline_s(self) -> float:
        """The longest deadline of any route, seconds."""
        return max((route.deadline_ms for route in self.routes), default=0) / 1000

    @property
    def quarantine_s(self) -> float:
        """How long a new owner without the key table refuses unknown keys, seconds.

        Includes the lease, as the previous owner may start calls until it expires.
        """
        once = self.once
        return once.resend_window_s + self.longest_deadline_s + once.lease_s

    @property
    def key_retention_s(self) -> float:
        """How long an owner stores a key after its first use, seconds."""
        return self.once.resend_window_s + self.longest_deadline_s


def load(path: str) -> Bundle | findings.Rejected:
    """Read and validate a bundle file."""
    return options.read_file(Bundle, path, check_consistency)


def parse(table: dict[str, Any], report: findings.Report) -> Bundle | findings.Rejected:
    """Validate a table as a bundle."""
    return options.read_table(Bundle, table, report, check_consistency)


def check_consistency(bundle: Bundle, report: findings.Report) -> None:
    """Report inconsistencies between valid entries."""
    check_names("classes", bundle.classes, report)
    check_names("services", bundle.services, report)
    classes = {entry.name: entry for entry in bundle.classes}
    services = {entry.name for entry in bundle.services}
    seen = set()
    for index, route in enumerate(bundle.routes):
        place = f"routes[{index}]"
        if route.class_name not in classes:
            report.add(f"{place}.class_name", f"unknown class {route.class_name!r}")
        if route.service not in services:
            report.add(f"{place}.service", f"unknown service {route.service!r}")
        identity = (route.service, route.method, route.path)
        if identity in seen:
            report.add(place, "duplicate service, method and path")
        seen.add(identity)
        if not route.repeatable and route.method == "GET":
            report.add(f"{place}.repeatable", "a GET must be repeatable")


def check_names(key: str, entries: tuple[Any, ...], report: findings.Report) -> None:
    """Report duplicate names in `entries`."""
    seen = set()
    for index, entry in enumerate(entries):
        if entry.name in seen:
            report.add(f"{key}[{index}].name", f"{entry.name!r} is a duplicate")
        seen.add(entry.name)


def canonical_body(bundle: Bundle) -> bytes:
    """Return the canonical encoding of a bundle, which is hashed and signed."""
    return msgspec.json.encode(attrs.asdict(bundle), order="sorted")


def digest_of(body: bytes) -> str:
    """Return the SHA-256 digest of a canonical body, in hexadecimal."""
    return hashlib.sha256(body).hexdigest()
