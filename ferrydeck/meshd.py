"""`ferrydeck-meshd`: entry point of the daemon with its policy in the store."""

from __future__ import annotations

import signal
import sys


def main(argv: list[str] | None = None) -> int:
    """Run the daemon; return 0 after a normal stop, 2 for invalid settings."""
    # SIGHUP (reload) would terminate the process during imports; ignoring it is safe,
    # as the settings are read later.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from ferrydeck.mesh import daemon

    return daemon.main(argv)


if __name__ == "__main__":
    sys.exit(main())
