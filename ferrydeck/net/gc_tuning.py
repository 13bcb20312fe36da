"""The garbage collector of a daemon: settled once, after the start.

What a daemon holds from its start lives as long as it does, so that looking through it
again and again would only add pauses.
"""

from __future__ import annotations

import gc

THRESHOLDS = (50_000, 20, 50)
"""New objects until a collection, and collections until one of the next generation:
a call makes some hundred objects, and the usual 700 would stop each tenth call."""


def freeze_startup_objects() -> None:
    """Take what was made at the start out of the garbage collector's rounds."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*THRESHOLDS)
