"""The settings of `ferrydeck-meshd`: their names, forms and defaults.

The names are those of the files that operators write. Relies on `config.options` for
the checks and on `platform.limits` for the texts in `[terms]`.
"""

from __future__ import annotations

import types
from collections.abc import Mapping

import attrs

from ferrydeck.config import findings, options
from ferrydeck.mesh import context, switches
from ferrydeck.platform import limits

NAME = options.Text(pattern=r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
ADDRESS = options.Address()
FREE_TEXT = options.Text(pattern=r".*")


@attrs.define(kw_only=True, frozen=True)
class LogLimits:
    """How many lines are written at most."""

    failed_per_s: int = options.option(
        options.Number(low=0, high=100000, whole=True), default=50
    )
    """Lines a second of each kind of decision that is not the plain case."""
    served_per_s: int = options.option(
        options.Number(low=0, high=100000, whole=True), default=5
    )
    """Lines a second of requests that were answered."""


@attrs.define(kw_only=True, frozen=True)
class Settings:
    """Everything that the daemon reads before it starts."""

    box: str = options.option(NAME)
    data_centre: str = options.option(NAME)
    region: str = options.option(NAME)
    ip: str = options.option(options.Address(port=False))
    service: str = options.option(NAME)
    """The service of the target on this box."""
    target: str = options.option(ADDRESS)
    """Where that target answers."""
    calls: str = options.option(ADDRESS)
    """Where callers send requests."""
    ready: str = options.option(ADDRESS)
    """Where this daemon answers whether it is ready."""
    reports: str = options.option(ADDRESS)
    """Where targets send their heartbeats."""
    store: str = options.option(ADDRESS)
    """The platform's store."""
    link_port: int = options.option(options.PORT)
    """Port for other daemons, the same on all boxes."""
    link_advertised: str = options.option(ADDRESS, default="")
    """Where other daemons reach its links; empty for where it listens."""
    metrics_port: int = options.option(options.PORT)
    seeds: tuple[str, ...] = options.option(options.Items(item=ADDRESS), default=())
    """Addresses of other boxes; only their IP numbers are used."""
    terms: Mapping[str, str] = options.option(
        options.Table(item=FREE_TEXT), default=types.MappingProxyType({})
    )
    """Limits agreed for the deployment, as the platform states them."""
    report_interval: str = options.option(FREE_TEXT, default="")
    """How often targets send heartbeats, as the platform states it."""
    tuning: Mapping[str, bool] = options.option(
        options.Table(item=options.Flag()), default=types.MappingProxyType({})
    )
    """Mechanisms that are switched off, to measure them by their absence."""
    log: LogLimits = options.option(options.Section(cls=LogLimits), default=LogLimits())

    @property
    def link_address(self) -> str:
        """Where other daemons reach the links of this one."""
        return self.link_advertised or f"{self.ip}:{self.link_port}"

    @property
    def seed_links(self) -> tuple[str, ...]:
        """Where the daemons of the seeds take links: ports are alike on all boxes."""
        return tuple(f"{one.rpartition(':')[0]}:{self.link_port}" for one in self.seeds)


def load(path: str) -> Settings | findings.Rejected:
    """Read and check the settings file at `path`."""
    return options.read_file(Settings, path, check_together)


def check_together(cfg: Settings, report: findings.Report) -> None:
    """Report what is wrong between keys that are right alone."""
    used: dict[str, str] = {}
    for name in ("target", "calls", "ready", "reports"):
        address = getattr(cfg, name)
        if address in used:
            report.add(name, f"the same address as {used[address]}")
        used[address] = name
    if cfg.link_port == cfg.metrics_port:
        report.add("metrics_port", "the same port as link_port")
    known = [field.name for field in attrs.fields(switches.Switches)]
    for name in cfg.tuning:
        if name not in known:
            report.add(f"tuning.{name}", options.unknown_key(name, known))
    limits.read(cfg.terms, cfg.report_interval, report)


def read_switches(cfg: Settings) -> switches.Switches:
    """Return the switches of the settings."""
    return switches.Switches(**cfg.tuning)


def read_limits(cfg: Settings) -> context.Limits:
    """Return the limits of the deployment; settings that were loaded have no faults."""
    return limits.read(cfg.terms, cfg.report_interval, findings.Report(file=""))
