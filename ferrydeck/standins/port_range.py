"""Ports for the processes of a fleet, which no other process hands out.

Owns a range of ports of this process, below those that the kernel hands out. The
range is held by a bound socket, so it is free again as soon as the process ends.
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
"""Ranges that can be held at a time: several runs of the tests with four processes."""
RANGE_SIZE = 1000
"""Ports in a range; the first one is the guard. A port is handed out once, and of the
processes that share all tests one has asked for 500."""


def claim_ports(first: int) -> socket.socket | None:
    """Hold the range of ports that begins at `first` for as long as this process runs.

    Two processes that share a range give one port to two fleets: the daemon that
    binds second ends, and its callers reach the other fleet's box, which goes away
    in the middle of their calls. The guard is bound without address reuse, so the
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
    """The ports that this process alone hands out."""

    guard: socket.socket
    ports: Iterator[int]


def claim_free_range() -> PortRange:
    """Return the first range that no other process holds, from this process's id on."""
    for offset in range(MAX_RANGES):
        index = (os.getpid() + offset) % MAX_RANGES
        first = FIRST_PORT + index * RANGE_SIZE
        if (guard := claim_ports(first)) is not None:
            ports = iter(range(first + 1, first + RANGE_SIZE))
            return PortRange(guard=guard, ports=ports)
    raise OSError(f"all {MAX_RANGES} ranges of ports are held")


@functools.cache
def _range() -> PortRange:
    return claim_free_range()


def free_port() -> int:
    """Return a port that is free, below those that the kernel hands out.

    Raises `OSError` where the range of this process has no further one.
    """
    for port in _range().ports:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            with contextlib.suppress(OSError):
                probe.bind((IP, port))
                return port
    raise OSError(f"all {RANGE_SIZE} ports of this process's range were handed out")
