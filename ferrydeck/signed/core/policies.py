"""Configurable overload control mechanisms, which replays compare."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True, frozen=True)
class RoundRobin:
    """Choose the boxes in turn."""


@attrs.define(kw_only=True, frozen=True)
class LeastOfTwo:
    """Choose the less loaded of two random boxes."""


@attrs.define(kw_only=True, frozen=True)
class LeastOfAll:
    """Choose the least loaded of all boxes."""


@attrs.define(kw_only=True, frozen=True)
class IdleQueue:
    """Choose a random idle box, or else the least loaded of `sample_size` boxes."""

    sample_size: int


BoxChooser = RoundRobin | LeastOfTwo | LeastOfAll | IdleQueue


@attrs.define(kw_only=True, frozen=True)
class Policy:
    """The mechanisms that are enabled; production uses the defaults."""

    box_chooser: BoxChooser = LeastOfTwo()
    limited: bool = True
    """Limit the concurrency of each target at its daemon."""
    prioritised: bool = True
    """Queue requests by priority and shed the lowest first."""
    same_hash: bool = True
    """Hash the entry's request ID for the priority at every hop of a call chain."""
    shed_at_caller: bool = True
    """Shed calls at the caller's daemon by the admission level of the target."""
    share_retry_allowance: bool = True
    """Share one retry allowance along a call chain instead of one per hop."""
    limit_retry_ratio: bool = True
    """Limit retries to a ratio of the calls to a service."""


BASELINE = Policy(
    box_chooser=RoundRobin(),
    limited=False,
    prioritised=False,
    same_hash=False,
    shed_at_caller=False,
    share_retry_allowance=False,
    limit_retry_ratio=False,
)

BY_NAME = {
    "baseline": BASELINE,
    "limit": attrs.evolve(BASELINE, limited=True),
    "order": attrs.evolve(BASELINE, limited=True, prioritised=True),
    "coherent": attrs.evolve(BASELINE, limited=True, prioritised=True, same_hash=True),
    "retry": attrs.evolve(BASELINE, share_retry_allowance=True, limit_retry_ratio=True),
    "no-early": Policy(shed_at_caller=False),
    "no-coherence": Policy(same_hash=False),
    "no-order": Policy(prioritised=False),
    "no-split": Policy(share_retry_allowance=False, limit_retry_ratio=False),
    "round-robin": Policy(box_chooser=RoundRobin()),
    "least-of-all": Policy(box_chooser=LeastOfAll()),
    "idle-1": Policy(box_chooser=IdleQueue(sample_size=1)),
    "idle-2": Policy(box_chooser=IdleQueue(sample_size=2)),
    "idle-all": Policy(box_chooser=IdleQueue(sample_size=1_000_000)),
    "full": Policy(),
}
