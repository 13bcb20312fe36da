"""Switches that turn mechanisms off, to measure each by its absence.

The names of the fields are keys of the settings (`[tuning]`).
"""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True, frozen=True)
class Switches:
    """Which mechanisms are on; all of them in service."""

    price_slots: bool = True
    """Shed requests by the price of what their calls use (`pricing`)."""
    turn_away_failing: bool = True
    """Shed a share of a route whose runs fail behind the target (`route_shedding`)."""
    pass_rank_on: bool = True
    """Give calls the priority of the run that makes them (`correlation`)."""
    weigh_slot_time: bool = True
    """Share a full target by slot time, not by the number of requests (`queueing`)."""
    favour_returned: bool = True
    """Shed requests less whose caller has come back after a rejection."""
    offer_shed_again: bool = True
    """Send requests again that a target rejected (`retry_budget`)."""
    keep_offers_for_urgent: bool = True
    """Keep such attempts for requests of higher priority (`retry_budget`)."""
    repeat_failed: bool = True
    """Retry a request elsewhere whose target fails more than others (`retrying`)."""
    avoid_failing: bool = True
    """Choose targets less that fail more often than others (`scoring`)."""
    prefer_fast: bool = True
    """Choose fast targets while all are free (`scoring`)."""
    prefer_near: bool = True
    """Choose targets of the own data centre (`scoring`)."""
    spill_early: bool = True
    """Leave a near target before it is full (`scoring`)."""
    avoid_cold: bool = True
    """Choose targets less that have just started (`scoring`)."""
    notice_stalled: bool = True
    """Admit nothing to a target that has fallen silent (`inbound`)."""
    move_from_silent: bool = True
    """Retry requests elsewhere that are at a silent box (`outbound`)."""
    remember_suspects: bool = True
    """Isolate requests that ran on targets as they crashed (`poison`)."""
    compress_far: bool = True
    """Compress links between data centres (`peer_table`)."""
