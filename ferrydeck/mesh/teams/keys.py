"""Teams and the keys by which their requests are known.

Owns the salted digests of the keys; the policy holds one keyring.
"""

from __future__ import annotations

import hashlib
import secrets
from collections.abc import Iterable

import attrs

DIGEST_BYTES = 16
"""Length of what is kept of a key, bytes: two keys of a policy never share it."""
SALT_BYTES = 16
"""Length of a keyring's secret, bytes."""


@attrs.define(kw_only=True, frozen=True)
class Team:
    """A customer of the deployment."""

    name: str
    priority: int | None = None
    """Its place in the order of shedding, before its routes'; `None` for theirs."""
    rate_per_s: float = 0.0
    """Requests that it may have run, a second; 0 for no limit."""
    burst: float = 0.0
    """Requests that it may have run beyond its rate."""

    @property
    def has_quota(self) -> bool:
        """Return whether it has a quota."""
        return self.rate_per_s > 0


@attrs.define(kw_only=True)
class Keyring:
    """The keys that count, by salted digest.

    No key is kept as it is, so none can be read from a dump of this table, and how
    long a look-up takes shows nothing of the keys: digests are compared, with a secret
    that each process draws for itself.
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
        text = key.encode("utf-8", "surrogateescape")
        made = hashlib.blake2b(text, digest_size=DIGEST_BYTES, key=self._salt)
        return made.digest()
