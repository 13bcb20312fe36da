"""Entry point of the `ferrydeck-meshd` daemon.

Creates the core and its driver from the settings. Imported by `ferrydeck.meshd`, which
starts the process.
"""

from __future__ import annotations

import functools
import random
import signal

import circuits

from ferrydeck import clock, program
from ferrydeck.mesh import context, core, decision_log, settings
from ferrydeck.mesh.net import driver
from ferrydeck.net import poller as pollers


def make_core(cfg: settings.Settings, incarnation: int) -> core.Core:
    """Create the core of the daemon from its settings."""
    return core.Core(
        identity=context.Identity(
            box=cfg.box,
            incarnation=incarnation,
            address=cfg.link_address,
            data_centre=cfg.data_centre,
            service=cfg.service,
            target_address=cfg.target,
        ),
        rng=random.Random(),
        limits=settings.read_limits(cfg),
        switches=settings.read_switches(cfg),
        seeds=cfg.seed_links,
    )


def run(cfg: settings.Settings, *, path: str, reloads: list[int]) -> None:
    """Run the daemon until it is stopped.

    `path` is the settings file to read at a reload; `reloads` is not empty if a reload
    was requested during startup.
    """
    output = decision_log.standard_output()
    with output.applicationbound():
        _run(cfg, path, output, reloads)


def _run(
    cfg: settings.Settings,
    path: str,
    output: decision_log.NonBlockingHandler,
    reloads: list[int],
) -> None:
    incarnation = clock.wall_ns() // 1000
    app = circuits.Component(channel="app")
    poller = pollers.Poller().register(app)
    core = make_core(cfg, incarnation)
    drv = driver.Driver(cfg=cfg, core=core, poller=poller, output=output, path=path)
    drv.register(app)
    signal.signal(signal.SIGHUP, drv.reload_signalled)
    if reloads:
        drv.reload_signalled(signal.SIGHUP, None)
    drv.log_decision("start", service=cfg.service, data_centre=cfg.data_centre)
    drv.start_core()
    app.run()
    output.flush()


def main(argv: list[str] | None = None) -> int:
    """Run the daemon; return 0 after a regular shutdown, 2 for invalid settings."""
    parser = program.parser(
        "ferrydeck-meshd",
        "The ferrydeck daemon on a platform whose store holds the policy.",
    )
    args = parser.parse_args(argv)
    reloads: list[int] = []
    signal.signal(signal.SIGHUP, lambda signo, stack: reloads.append(signo))
    return program.start(
        args,
        load=settings.load,
        run=functools.partial(run, path=args.settings, reloads=reloads),
    )
