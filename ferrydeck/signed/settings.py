"""The settings of one daemon: who it is, where it listens, whom it trusts."""

from __future__ import annotations

import attrs

from ferrydeck.config import findings, options

NAME = options.Text(pattern=options.NAME_PATTERN)
KEY_HEX = options.Text(pattern=r"[0-9a-f]{64}")


@attrs.define(kw_only=True, frozen=True)
class Endpoint:
    """A port that the daemon listens on, at its own IP number."""

    port: int = options.option(options.PORT)


@attrs.define(kw_only=True, frozen=True)
class PeerEndpoint:
    """The ports for other daemons: one for calls, one for everything else."""

    port: int = options.option(options.PORT)
    call_port: int = options.option(options.PORT)


@attrs.define(kw_only=True, frozen=True)
class TargetEndpoint:
    """The back end beside the daemon and the service that it gives."""

    service: str = options.option(NAME)
    address: str = options.option(options.Address())


@attrs.define(kw_only=True, frozen=True)
class Platform:
    """Where the platform's key-value service answers."""

    address: str = options.option(options.Address())
    timeout_s: float = options.option(options.Number(low=0.05, high=60), default=1.0)


@attrs.define(kw_only=True, frozen=True)
class Signer:
    """An operator whose signature on a bundle counts."""

    name: str = options.option(NAME)
    key: str = options.option(KEY_HEX)


@attrs.define(kw_only=True, frozen=True)
class Log:
    """How log lines are written."""

    format: str = options.option(
        options.Choice(values=("plain", "json")), default="plain"
    )
    level: str = options.option(
        options.Choice(values=("debug", "info", "warning", "error")), default="info"
    )


@attrs.define(kw_only=True, frozen=True)
class Settings:
    """Everything that a daemon reads before it starts."""

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
        options.Number(low=1, high=16, whole=True), default=1
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
    """Read and check the settings file at `path`."""
    return options.read_file(Settings, path, check_consistency)


def ports_of(cfg: Settings) -> list[tuple[str, int]]:
    """Return the ports that the daemon listens on, with their places."""
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
    """Report what is wrong between keys that are right alone."""
    used: dict[int, str] = {}
    for place, port in ports_of(cfg):
        if port in used:
            report.add(place, f"already used by {used[port]}")
        used[port] = place
    signers = [signer for signer in cfg.signers if signer is not None]
    if len({signer.key for signer in signers}) < cfg.signatures_needed:
        report.add("signatures_needed", "more than there are different signers' keys")
    if len({signer.name for signer in signers}) != len(signers):
        report.add("signers", "two signers have the same name")
