"""The ways that the decisions can take, so that replay can compare them."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True, frozen=True)
class RoundRobin:
    """Take the boxes in turn."""


@attrs.define(kw_only=True, frozen=True)
class LeastOfTwo:
    """Take the less loaded of two boxes drawn at random."""


@attrs.define(kw_only=True, frozen=True)
class LeastOfAll:
    """Take the least loaded of all boxes."""


@attrs.define(kw_only=True, frozen=True)
class IdleQueue:
    """Take a box known as idle, else the less loaded of `d` drawn at random."""

    sample_size: int


BoxChooser = RoundRobin | LeastOfTwo | LeastOfAll | IdleQueue


@attrs.define(kw_only=True, frozen=True)
class Policy:
    """Which mechanisms are on; the default is what ships."""

    box_chooser: BoxChooser = LeastOfTwo()
    limit_concurrency: bool = True
    """Hold a concurrency limit at the target's daemon."""
    order_by_priority: bool = True
    """Order the queue by class and shed from its end."""
    consistent_priority: bool = True
    """Take the hash of the request along the chain, the same at every hop."""
    shed_at_caller: bool = True
    """Refuse at the caller's daemon by the level that the target announced."""
    share_retry_allowance: bool = True
    """Split one retry allowance along the chain, not a fresh one a hop."""
    limit_retry_ratio: bool = True
    """Hold retries to a share of fresh calls."""


BASELINE = Policy(
    box_chooser=RoundRobin(),
    limit_concurrency=False,
    order_by_priority=False,
    consistent_priority=False,
    shed_at_caller=False,
    share_retry_allowance=False,
    limit_retry_ratio=False,
)

POLICIES_BY_NAME = {
    "baseline": BASELINE,
    "limit": attrs.evolve(BASELINE, limit_concurrency=True),
    "order": attrs.evolve(BASELINE, limit_concurrency=True, order_by_priority=True),
    "coherent": attrs.evolve(
        BASELINE,
        limit_concurrency=True,
        order_by_priority=True,
        consistent_priority=True,
    ),
    "retry": attrs.evolve(BASELINE, share_retry_allowance=True, limit_retry_ratio=True),
    "no-early": Policy(shed_at_caller=False),
    "no-coherence": Policy(consistent_priority=False),
    "no-order": Policy(order_by_priority=False),
    "no-split": Policy(share_retry_allowance=False, limit_retry_ratio=False),
    "round-robin": Policy(box_chooser=RoundRobin()),
    "least-of-all": Policy(box_chooser=LeastOfAll()),
    "idle-1": Policy(box_chooser=IdleQueue(sample_size=1)),
    "idle-2": Policy(box_chooser=IdleQueue(sample_size=2)),
    "idle-all": Policy(box_chooser=IdleQueue(sample_size=1_000_000)),
    "full": Policy(),
}
