"""Base values of the retry-after time that rejected callers are told, in seconds.

`Context.jittered_ms` adds jitter of up to the base value, so that callers that are
rejected together don't retry together.
"""

from __future__ import annotations

ENTRY_REJECTED_S = 0.5
"""The caller's daemon rejected the request or lost its box."""
TARGET_REJECTED_S = 0.2
"""The target's daemon rejected the attempt or was restarted."""
OUTCOME_UNKNOWN_S = 1.0
"""The target's daemon doesn't know whether the request has run."""
MOVING_S = 0.1
"""The shard of the key is moving to another owner, which takes milliseconds."""
