"""The bundle: the operators' versioned policy, and its checks."""

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
"""Shards a service; a constant of the protocol, so that no change can split keys."""


@attrs.define(kw_only=True, frozen=True)
class Retry:
    """How often work may be tried again."""

    allowance: int = options.option(
        options.Number(low=0, high=32, whole=True), default=3
    )
    """Extra attempts for one request across its whole chain."""
    budget: float = options.option(options.Number(low=0, high=1), default=0.1)
    """Retries as a share of a service's fresh calls, at one daemon."""


@attrs.define(kw_only=True, frozen=True)
class Once:
    """Terms of calls that may not repeat."""

    resend_window_s: float = options.option(
        options.Number(low=1, high=86400), default=60.0
    )
    """Callers never send a key again later than this after its first sending."""
    lease_s: float = options.option(options.Number(low=1, high=3600), default=10.0)
    """How long an owner of shards may go unheard by the platform, seconds."""
    max_keys: int = options.option(
        options.Number(low=1, high=10_000_000, whole=True), default=200_000
    )
    """Keys that one daemon remembers at most."""


@attrs.define(kw_only=True, frozen=True)
class RequestClass:
    """A class of requests; the lowest rank is shed last."""

    name: str = options.option(NAME)
    rank: int = options.option(options.Number(low=0, high=7, whole=True))


@attrs.define(kw_only=True, frozen=True)
class Service:
    """What one target of a service carries."""

    name: str = options.option(NAME)
    slots: int = options.option(options.Number(low=1, high=100_000, whole=True))
    connections: int = options.option(options.Number(low=1, high=100_000, whole=True))
    cold_start_s: float = options.option(options.Number(low=0, high=600), default=0.0)
    """Time over which a target that has just started is ramped up, seconds."""


@attrs.define(kw_only=True, frozen=True)
class Route:
    """The class and the terms of the calls below one path of a service."""

    service: str = options.option(NAME)
    method: str = options.option(options.Choice(values=METHODS))
    path: str = options.option(options.Text(pattern=r"/[!-~]*"))
    class_name: str = options.option(NAME)
    repeatable: bool = options.option(options.Flag())
    deadline_ms: int = options.option(
        options.Number(low=10, high=3_600_000, whole=True), default=2000
    )
    """Time that a caller waits when it names no other, and the longest it may name."""
    max_body: int = options.option(
        options.Number(low=0, high=16 * 1024 * 1024, whole=True), default=256 * 1024
    )


@attrs.define(kw_only=True, frozen=True)
class Bundle:
    """One version of the policy."""

    version: int = options.option(options.Number(low=1, high=2**53, whole=True))
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
        """The longest time that any call may take, seconds."""
        return max((route.deadline_ms for route in self.routes), default=0) / 1000

    @property
    def quarantine_s(self) -> float:
        """How long a successor without the key table takes no unknown key, seconds.

        The lease is part of it: a predecessor may start keys until its lease ends.
        """
        once = self.once
        return once.resend_window_s + self.longest_deadline_s + once.lease_s

    @property
    def key_retention_s(self) -> float:
        """How long an owner remembers a key after it first saw it, seconds."""
        return self.once.resend_window_s + self.longest_deadline_s


def load(path: str) -> Bundle | findings.Rejected:
    """Read and check the bundle file at `path`."""
    return options.read_file(Bundle, path, check_consistency)


def parse(table: dict[str, Any], report: findings.Report) -> Bundle | findings.Rejected:
    """Check `table` as a bundle."""
    return options.read_table(Bundle, table, report, check_consistency)


def check_consistency(bundle: Bundle, report: findings.Report) -> None:
    """Report what is wrong between entries that are right alone."""
    check_names("classes", bundle.classes, report)
    check_names("services", bundle.services, report)
    classes = {entry.name: entry for entry in bundle.classes}
    services = {entry.name for entry in bundle.services}
    seen = set()
    for index, route in enumerate(bundle.routes):
        place = f"routes[{index}]"
        if route.class_name not in classes:
            report.add(f"{place}.class_name", f"no class {route.class_name!r}")
        if route.service not in services:
            report.add(f"{place}.service", f"no service {route.service!r}")
        identity = (route.service, route.method, route.path)
        if identity in seen:
            report.add(place, "the same service, method and path stand twice")
        seen.add(identity)
        if not route.repeatable and route.method == "GET":
            report.add(f"{place}.repeatable", "a GET must be repeatable")


def check_names(key: str, entries: tuple[Any, ...], report: findings.Report) -> None:
    """Report each name that stands twice in `entries`."""
    seen = set()
    for index, entry in enumerate(entries):
        if entry.name in seen:
            report.add(f"{key}[{index}].name", f"{entry.name!r} stands twice")
        seen.add(entry.name)


def canonical_body(bundle: Bundle) -> bytes:
    """Return the one byte form of `bundle` that is digested and signed."""
    return msgspec.json.encode(attrs.asdict(bundle), order="sorted")


def digest_of(body: bytes) -> str:
    """Return the digest of a canonical bundle, as hexadecimal."""
    return hashlib.sha256(body).hexdigest()
