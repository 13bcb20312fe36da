"""The command line of the two daemons, from its arguments to the exit code."""

from __future__ import annotations

import argparse
import errno
import sys
from collections.abc import Callable
from typing import Any

from ferrydeck.config import findings

EXIT_BAD_INPUT = 2
"""The settings can't be used; the findings are on standard error."""
EXIT_ADDRESS_IN_USE = 3
"""Another process listens at an address of the settings."""


def parser(
    prog: str, description: str, *, epilog: str | None = None
) -> argparse.ArgumentParser:
    """Return the parser of a daemon's command line."""
    made = argparse.ArgumentParser(prog=prog, description=description, epilog=epilog)
    made.add_argument("--settings", required=True, metavar="FILE")
    made.add_argument("--check", action="store_true", help="check the file and end")
    return made


def start(
    args: argparse.Namespace,
    *,
    load: Callable[[str], Any],
    run: Callable[[Any], None],
) -> int:
    """Load the settings and run the daemon until it is stopped.

    Returns 0 when it was stopped as planned, else one of the exit codes above; raises
    what `run` raises for any other reason.
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
        print(f"{args.settings}: an address is taken: {exc}", file=sys.stderr)
        return EXIT_ADDRESS_IN_USE
    return 0
