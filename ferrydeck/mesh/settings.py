"""Settings of `ferrydeck-meshd`: names, types and defaults.

Field names are the keys of the settings file. `config.options` validates the values,
`platform.limits` parses the texts in `[terms]`.
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
    """Rate limits of the decision log."""

    failed_per_s: int = options.option(
        options.Number(low=0, high=100000, integer=True), default=50
    )
    """Lines per second for each kind and outcome other than a success."""
    served_per_s: int = options.option(
        options.Number(low=0, high=100000, integer=True), default=5
    )
    """Lines per second for answered requests."""


@attrs.define(kw_only=True, frozen=True)
class Settings:
    """All settings of the daemon."""

    box: str = options.option(NAME)
    data_centre: str = options.option(NAME)
    region: str = options.option(NAME)
    ip: str = options.option(options.Address(port=False))
    service: str = options.option(NAME)
    """Service of the target on this box."""
    target: str = options.option(ADDRESS)
    """Address of the target."""
    calls: str = options.option(ADDRESS)
    """Listening address for requests of callers."""
    ready: str = options.option(ADDRESS)
    """Listening address of the readiness check."""
    reports: str = options.option(ADDRESS)
    """Listening address for heartbeats of targets."""
    store: str = options.option(ADDRESS)
    """Address of the platform's store."""
    link_port: int = options.option(options.PORT)
    """Port for links from other daemons, the same on all boxes."""
    link_advertised: str = options.option(ADDRESS, default="")
    """Address advertised to other daemons; empty for the listening address."""
    metrics_port: int = options.option(options.PORT)
    seeds: tuple[str, ...] = options.option(options.Items(item=ADDRESS), default=())
    """Addresses of other boxes to connect to; only the IP addresses are used."""
    terms: Mapping[str, str] = options.option(
        options.Table(item=FREE_TEXT), default=types.MappingProxyType({})
    )
    """Limits agreed for the deployment, in the format of the platform."""
    report_interval: str = options.option(FREE_TEXT, default="")
    """Heartbeat interval of targets, in the format of the platform."""
    tuning: Mapping[str, bool] = options.option(
        options.Table(item=options.Flag()), default=types.MappingProxyType({})
    )
    """Mechanisms that are switched on or off (`switches`)."""
    log: LogLimits = options.option(options.Section(cls=LogLimits), default=LogLimits())

    @property
    def link_address(self) -> str:
        """Address at which other daemons reach this one."""
        return self.link_advertised or f"{self.ip}:{self.link_port}"

    @property
    def seed_links(self) -> tuple[str, ...]:
        """Link addresses of the seeds: the port is the same on all boxes."""
        return tuple(f"{one.rpartition(':')[0]}:{self.link_port}" for one in self.seeds)


def load(path: str) -> Settings | findings.Rejected:
    """Load and validate the settings file at `path`."""
    return options.read_file(Settings, path, check_combinations)


def check_combinations(cfg: Settings, report: findings.Report) -> None:
    """Report conflicts between settings that are valid on their own."""
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
    """Return the switches from the settings."""
    return switches.Switches(**cfg.tuning)


def read_limits(cfg: Settings) -> context.Limits:
    """Return the deployment limits from settings that `load` has validated."""
    return limits.read(cfg.terms, cfg.report_interval, findings.Report(file=""))
