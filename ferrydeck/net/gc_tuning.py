"""Garbage collector settings of a daemon, applied once after startup.

Objects created at startup live until exit, so scanning them only adds pauses.
"""

from __future__ import annotations

import gc

THRESHOLDS = (50_000, 20, 50)
"""Thresholds per generation, higher than the defaults to reduce pauses: a request makes
some hundred objects, so the default of 700 would delay each tenth one."""


def freeze_startup_objects() -> None:
    """Exclude existing objects from collection and raise the thresholds."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*THRESHOLDS)
