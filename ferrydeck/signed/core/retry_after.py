"""When rejected callers are asked to come back, seconds.

`Context.spread_ms` draws the time that is sent: between one and two times the
figure here, so that callers rejected together don't return together.
"""

from __future__ import annotations

ENTRY_REJECTED_S = 0.5
"""The caller's own daemon found no box, or lost the one that it had asked."""
TARGET_REJECTED_S = 0.2
"""The target's daemon rejected the attempt, or was restarted since it was sent."""
OUTCOME_UNKNOWN_S = 1.0
"""The request may have run, and its fate is not known at the target's daemon."""
SHARD_MOVING_S = 0.1
"""The key's shard changes hands, which takes some milliseconds."""
