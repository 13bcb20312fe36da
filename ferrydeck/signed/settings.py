"""The settings of the daemon."""

from __future__ import annotations

import attrs

from ferrydeck.config import findings, options

NAME = options.Text(pattern=options.NAME_PATTERN)
KEY_HEX = options.Text(pattern=r"[0-9a-f]{64}")


@attrs.define(kw_only=True, frozen=True)
class Endpoint:
    """A port that the daemon listens on at its IP address."""

    port: int = options.option(options.PORT)


@attrs.define(kw_only=True, frozen=True)
class PeerEndpoint:
    """Ports for other daemons: `call_port` for calls, `port` for control messages."""

    port: int = options.option(options.PORT)
    call_port: int = options.option(options.PORT)


@attrs.define(kw_only=True, frozen=True)
class TargetEndpoint:
    """The local target and its service."""

    service: str = options.option(NAME)
    address: str = options.option(options.Address())


@attrs.define(kw_only=True, frozen=True)
class Platform:
    """Address of the platform's key-value service."""

    address: str = options.option(options.Address())
    timeout_s: float = options.option(options.Number(low=0.05, high=60), default=1.0)


@attrs.define(kw_only=True, frozen=True)
class Signer:
    """An operator who may sign bundles."""

    name: str = options.option(NAME)
    key: str = options.option(KEY_HEX)


@attrs.define(kw_only=True, frozen=True)
class Log:
    """Format and level of the log."""

    format: str = options.option(
        options.Choice(values=("plain", "json")), default="plain"
    )
    level: str = options.option(
        options.Choice(values=("debug", "info", "warning", "error")), default="info"
    )


@attrs.define(kw_only=True, frozen=True)
class Settings:
    """The settings file of the daemon."""

    cluster: str = options.option(NAME)
    box: str = options.option(NAME)
    data_centre: str = options.option(NAME)
    region: str = options.option(NAME, default="default")
    ip: str = options.option(options.Address(port=False))
    peer: PeerEndpoint = options.option(options.Section(cls=PeerEndpoint))
    admin: Endpoint = options.option(options.Section(cls=Endpoint))
    platform: Platform = options.option(options.Section(cls=Platform))
    signers: tuple[Signer, ...] = options.option(
        options.Items(item=options.Section(cls=Signer))
    )
    signatures_needed: int = options.option(
        options.Number(low=1, high=16, integer=True), default=1
    )
    entry: Endpoint | None = options.option(options.Section(cls=Endpoint), default=None)
    local: Endpoint | None = options.option(options.Section(cls=Endpoint), default=None)
    target: TargetEndpoint | None = options.option(
        options.Section(cls=TargetEndpoint), default=None
    )
    seeds: tuple[str, ...] = options.option(
        options.Items(item=options.Address()), default=()
    )
    stop_limit_s: float = options.option(options.Number(low=0, high=3600), default=60.0)
    log: Log = options.option(options.Section(cls=Log), default=Log())


def load(path: str) -> Settings | findings.Rejected:
    """Read and validate a settings file."""
    return options.read_file(Settings, path, check_consistency)


def listen_ports(cfg: Settings) -> list[tuple[str, int]]:
    """Return the keys and values of the ports that the daemon listens on."""
    found = []
    if cfg.peer is not None:
        found.append(("peer.port", cfg.peer.port))
        found.append(("peer.call_port", cfg.peer.call_port))
    for name in ("admin", "entry", "local"):
        endpoint = getattr(cfg, name)
        if endpoint is not None:
            found.append((f"{name}.port", endpoint.port))
    return found


def check_consistency(cfg: Settings, report: findings.Report) -> None:
    """Report inconsistencies between valid keys."""
    used: dict[int, str] = {}
    for place, port in listen_ports(cfg):
        if port in used:
            report.add(place, f"already used by {used[port]}")
        used[port] = place
    signers = [signer for signer in cfg.signers if signer is not None]
    if len({signer.key for signer in signers}) < cfg.signatures_needed:
        report.add("signatures_needed", "exceeds the number of distinct signer keys")
    if len({signer.name for signer in signers}) != len(signers):
        report.add("signers", "duplicate signer name")
