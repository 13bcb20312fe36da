"""The bound on retries: an allowance that is split, never copied, and a budget."""

from __future__ import annotations

import attrs

MAX_BUDGET_TOKENS = 10.0
"""Retries that a quiet service may make before its share counts."""


@attrs.define(kw_only=True)
class RetryAllowance:
    """The extra attempts that are left to one request at one hop.

    What a hop hands to a child leaves the ledger; what the child did not use
    comes back with its answer. No answer means that it is spent. So the sum
    over all hops never exceeds what the request started with.
    """

    remaining: int
    seen_fingerprints: set[int] = attrs.Factory(set)
    """Fingerprints of the calls that were made for this request here."""

    def take_child_share(self) -> int:
        """Take the part for a child out: all but one kept for this hop's own use."""
        part = self.remaining - 1 if self.remaining > 1 else self.remaining
        self.remaining -= part
        return part

    def refund(self, unused: int) -> None:
        """Put back what a child did not use."""
        self.remaining += max(0, unused)

    def try_spend(self) -> bool:
        """Take one extra attempt; false where none is left."""
        if self.remaining < 1:
            return False
        self.remaining -= 1
        return True

    def is_new_call(self, fingerprint: int) -> bool:
        """Return whether a call is fresh; the same call again is a retry."""
        if fingerprint in self.seen_fingerprints:
            return False
        self.seen_fingerprints.add(fingerprint)
        return True


@attrs.define(kw_only=True)
class RetryBudget:
    """Retries towards one service, held to a share of its fresh calls."""

    ratio: float
    tokens: float = MAX_BUDGET_TOKENS

    def record_call(self) -> None:
        """Count a fresh call."""
        self.tokens = min(self.tokens + self.ratio, MAX_BUDGET_TOKENS)

    def try_spend(self) -> bool:
        """Take one retry; false where the share is used up."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
