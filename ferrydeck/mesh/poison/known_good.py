"""Remembers requests that succeeded recently and so do not crash the target.

Their hashes are kept in two generations, which the tracker clears when the target has
restarted.
"""

from __future__ import annotations

import attrs

from ferrydeck.mesh import messages
from ferrydeck.mesh.poison import fingerprints

GENERATION_SIZE = 1024
"""Number of requests in a generation. One that comes so rarely that 1,024 others lie
between is not popular. Both generations take 0.14 MB when full."""
MAX_BODY_BYTES = 4096
"""Requests with longer bodies are not remembered, which bounds the cost of hashing the
body of every successful request."""


@attrs.define(kw_only=True)
class KnownGood:
    """The last `GENERATION_SIZE` or more successful requests.

    The built-in `hash` is keyed per process, so callers cannot construct collisions.
    """

    _current: set[int] = attrs.Factory(set)
    _previous: set[int] = attrs.Factory(set)

    def add(self, forward: messages.Forward) -> None:
        """Remember a successful request."""
        if len(forward.body) > MAX_BODY_BYTES:
            return
        self._current.add(_key(forward))
        if len(self._current) >= GENERATION_SIZE:
            self._previous, self._current = self._current, set()

    def __contains__(self, forward: messages.Forward) -> bool:
        key = _key(forward)
        return key in self._current or key in self._previous

    def clear(self) -> None:
        """Forget all requests after a restart of the target."""
        self._current.clear()
        self._previous.clear()


def _key(forward: messages.Forward) -> int:
    host = fingerprints.host_of(forward.fields)
    parts = (forward.method, host, forward.path, forward.team_name, forward.body)
    return hash(parts)
