"""Teams, and the API keys that identify their requests.

Owns the salted digests of the keys; each policy has one keyring.
"""

from __future__ import annotations

import hashlib
import secrets
from collections.abc import Iterable

import attrs

DIGEST_BYTES = 16
"""Length of a key's digest, bytes; long enough to rule out collisions."""
SALT_BYTES = 16
"""Length of a keyring's random salt, bytes."""


@attrs.define(kw_only=True, frozen=True)
class Team:
    """A customer of the deployment."""

    name: str
    priority: int | None = None
    """Shedding priority, which precedes that of the route; `None` for the lowest."""
    rate_per_s: float = 0.0
    """Limit of requests per second; 0 for no limit."""
    burst: float = 0.0
    """Requests allowed beyond the rate."""

    @property
    def has_quota(self) -> bool:
        """Return whether the team has a quota."""
        return self.rate_per_s > 0


@attrs.define(kw_only=True)
class Keyring:
    """The valid keys, by salted digest.

    Keys are not stored in plain text, so that a memory dump does not reveal them. The
    salt is random per process, so that the time of a lookup reveals nothing either.
    """

    _salt: bytes = attrs.Factory(lambda: secrets.token_bytes(SALT_BYTES))
    _teams: dict[bytes, Team] = attrs.field(factory=dict, repr=False)

    def add(self, team: Team, keys: Iterable[str]) -> list[str]:
        """Add a team's keys; return the names of other teams that hold one of them."""
        holders = []
        for key in keys:
            holder = self._teams.setdefault(self._digest(key), team)
            if holder is not team:
                holders.append(holder.name)
        return holders

    def find(self, key: str) -> Team | None:
        """Return the team that holds a key."""
        return self._teams.get(self._digest(key))

    def _digest(self, key: str) -> bytes:
        data = key.encode("utf-8", "surrogateescape")
        hasher = hashlib.blake2b(data, digest_size=DIGEST_BYTES, key=self._salt)
        return hasher.digest()
