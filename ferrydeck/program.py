"""Command line of the daemons: arguments, startup and exit codes."""

from __future__ import annotations

import argparse
import errno
import sys
from collections.abc import Callable
from typing import Any

from ferrydeck.config import findings

EXIT_BAD_INPUT = 2
"""The settings are invalid; findings are written to standard error."""
EXIT_ADDRESS_IN_USE = 3
"""An address in the settings is already in use."""


def parser(
    prog: str, description: str, *, epilog: str | None = None
) -> argparse.ArgumentParser:
    """Return the parser of a daemon's command line."""
    root = argparse.ArgumentParser(prog=prog, description=description, epilog=epilog)
    root.add_argument("--settings", required=True, metavar="FILE")
    root.add_argument("--check", action="store_true", help="validate the file and exit")
    return root


def start(
    args: argparse.Namespace,
    *,
    load: Callable[[str], Any],
    run: Callable[[Any], None],
) -> int:
    """Load the settings and run the daemon until it is stopped.

    Returns 0 after a normal stop, else an exit code; other errors of `run` propagate.
    """
    cfg = load(args.settings)
    if isinstance(cfg, findings.Rejected):
        print(cfg, file=sys.stderr)
        return EXIT_BAD_INPUT
    if args.check:
        print(f"{args.settings}: ok")
        return 0
    try:
        run(cfg)
    except OSError as exc:
        if exc.errno != errno.EADDRINUSE:
            raise
        print(f"{args.settings}: address already in use: {exc}", file=sys.stderr)
        return EXIT_ADDRESS_IN_USE
    return 0
