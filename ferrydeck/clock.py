"""Clocks; no other module reads the time.

A box may be suspended for seconds. `CLOCK_MONOTONIC` stops while suspended, so leases,
budgets and deadlines would expire late; `CLOCK_BOOTTIME` continues.
"""

from __future__ import annotations

import datetime
import time


def now() -> float:
    """Return the monotonic time including suspension, seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ns() -> int:
    """Return the wall-clock time, nanoseconds; may jump in either direction."""
    return time.time_ns()


def utc_now() -> datetime.datetime:
    """Return the wall-clock time, for timestamps."""
    return datetime.datetime.now(datetime.UTC)
