"""Allocates ports for a fleet's processes from a range reserved by this process.

The range is below the kernel's ephemeral ports. A bound socket reserves it, so it is
released as soon as the process exits.
"""

from __future__ import annotations

import contextlib
import functools
import os
import socket
from collections.abc import Iterator

import attrs

IP = "127.0.0.1"
FIRST_PORT = 10_000
MAX_RANGES = 20
"""Enough for several concurrent test runs with four processes each."""
RANGE_SIZE = 1000
"""Ports in a range, including the guard. Each port is allocated once per process, and
a run of all tests needs about 500 in one process."""


def claim_ports(first: int) -> socket.socket | None:
    """Reserve the range of ports that begins at `first` while this process runs.

    Without the guard, two processes could allocate the same port and a test could
    reach a box of another fleet. The guard is bound without address reuse, so the
    kernel refuses it to a second process.
    """
    guard = socket.socket()
    try:
        guard.bind((IP, first))
    except OSError:
        guard.close()
        return None
    return guard


@attrs.define(kw_only=True)
class PortRange:
    """A range of ports reserved by this process."""

    guard: socket.socket
    ports: Iterator[int]


def claim_free_range() -> PortRange:
    """Reserve the first free range, starting at an index from the process id."""
    for offset in range(MAX_RANGES):
        index = (os.getpid() + offset) % MAX_RANGES
        first = FIRST_PORT + index * RANGE_SIZE
        if (guard := claim_ports(first)) is not None:
            ports = iter(range(first + 1, first + RANGE_SIZE))
            return PortRange(guard=guard, ports=ports)
    raise OSError(f"all {MAX_RANGES} port ranges are reserved by other processes")


@functools.cache
def _range() -> PortRange:
    return claim_free_range()


def free_port() -> int:
    """Return a free port of this process's range.

    Raises `OSError` if the range is exhausted.
    """
    for port in _range().ports:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            with contextlib.suppress(OSError):
                probe.bind((IP, port))
                return port
    raise OSError(f"all {RANGE_SIZE} ports of this process's range are allocated")
