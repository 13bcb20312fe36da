"""`ferrydeckd`: the daemon, one per box.

Creates the core, its driver and the admin endpoint, and runs them.
"""

from __future__ import annotations

import random
import sys

import circuits

from ferrydeck import clock, program
from ferrydeck.net import poller as pollers
from ferrydeck.signed import audit, logs, settings
from ferrydeck.signed.core import context, daemon_core
from ferrydeck.signed.net import admin, driver


def make_core(cfg: settings.Settings, incarnation: int) -> daemon_core.Core:
    """Create the core from the settings."""
    return daemon_core.Core(
        identity=context.Identity(
            cluster=cfg.cluster,
            box=cfg.box,
            incarnation=incarnation,
            address=f"{cfg.ip}:{cfg.peer.port}",
            call_address=f"{cfg.ip}:{cfg.peer.call_port}",
            data_centre=cfg.data_centre,
            region=cfg.region,
            service=cfg.target.service if cfg.target else "",
        ),
        rng=random.Random(),
        signers=cfg.signers,
        signatures_needed=cfg.signatures_needed,
        seeds=cfg.seeds,
    )


def run(cfg: settings.Settings) -> None:
    """Run the daemon until it is stopped."""
    with logs.make_handler(cfg.log).applicationbound():
        _run(cfg)


def _run(cfg: settings.Settings) -> None:
    incarnation = clock.wall_ns() // 1000
    app = circuits.Component(channel="app")
    poller = pollers.Poller().register(app)
    audit_trail = audit.Trail(box=cfg.box, incarnation=incarnation)
    core = make_core(cfg, incarnation)
    drv = driver.Driver(cfg=cfg, core=core, poller=poller, audit_trail=audit_trail)
    drv.register(app)
    admin.open_admin(drv, cfg.ip, cfg.admin.port)
    audit_trail.add("started", f"incarnation {incarnation}")
    drv.start_core()
    app.run()
    audit_trail.add("ended", "process exits")


def main(argv: list[str] | None = None) -> int:
    """Run `ferrydeckd`; return 0 after a normal stop, 2 for invalid settings."""
    parser = program.parser(
        "ferrydeckd",
        "The ferrydeck daemon, one per box.",
        epilog="example: ferrydeckd --settings box.toml",
    )
    return program.start(parser.parse_args(argv), load=settings.load, run=run)


if __name__ == "__main__":
    sys.exit(main())
