"""Feature switches, which allow tests and measurements without a mechanism.

Field names are keys of the settings table `[tuning]`.
"""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True, frozen=True)
class Switches:
    """Enabled mechanisms; all are enabled by default."""

    price_slots: bool = True
    """Shed requests by the price of the capacity that their calls use (`pricing`)."""
    turn_away_failing: bool = True
    """Shed part of a route whose downstream calls fail (`route_shedding`)."""
    pass_rank_on: bool = True
    """Propagate the priority of a run to its calls (`correlation`)."""
    weigh_slot_time: bool = True
    """Schedule queued requests by slot time, not by their number (`queueing`)."""
    favour_returned: bool = True
    """Shed fewer of the requests that callers retry after a rejection."""
    offer_shed_again: bool = True
    """Retry requests that a target rejected (`retry_budget`)."""
    keep_offers_for_urgent: bool = True
    """Reserve these retries for requests of high priority (`retry_budget`)."""
    repeat_failed: bool = True
    """Retry failed requests if the target fails more than others (`retrying`)."""
    avoid_failing: bool = True
    """Prefer targets that do not fail more often than others (`scoring`)."""
    prefer_fast: bool = True
    """Prefer fast targets while none is full (`scoring`)."""
    prefer_near: bool = True
    """Prefer targets in the same data centre (`scoring`)."""
    spill_early: bool = True
    """Use other data centres before near targets are full (`scoring`)."""
    avoid_cold: bool = True
    """Prefer targets that are not warming up (`scoring`)."""
    notice_stalled: bool = True
    """Reject requests for a target that has stopped responding (`inbound`)."""
    move_from_silent: bool = True
    """Retry requests at another box if theirs stops responding (`outbound`)."""
    remember_suspects: bool = True
    """Isolate requests that are suspected of crashing targets (`poison`)."""
    compress_far: bool = True
    """Compress links between data centres (`peer_table`)."""
