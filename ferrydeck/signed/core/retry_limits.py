"""Limits on retries: an allowance per request and a budget per service."""

from __future__ import annotations

import attrs

MAX_BUDGET_TOKENS = 10.0
"""Initial and maximum number of retries that a budget holds."""


@attrs.define(kw_only=True)
class RetryAllowance:
    """The retries left for one request at one hop.

    A share moves to the next hop with each attempt, and the unused part returns with
    its answer; without an answer it counts as spent. So all hops together never exceed
    the initial allowance.
    """

    remaining: int
    seen_fingerprints: set[int] = attrs.Factory(set)
    """Fingerprints of the nested calls made for this request at this hop."""

    def take_child_share(self) -> int:
        """Take the next hop's share: all but one, or all if only one is left."""
        share = self.remaining - 1 if self.remaining > 1 else self.remaining
        self.remaining -= share
        return share

    def refund(self, unused: int) -> None:
        """Add back the unused part of a share."""
        self.remaining += max(0, unused)

    def try_spend(self) -> bool:
        """Charge one retry; return false if none is left."""
        if self.remaining < 1:
            return False
        self.remaining -= 1
        return True

    def is_new_call(self, fingerprint: int) -> bool:
        """Return whether a nested call is new; a repeated one counts as a retry."""
        if fingerprint in self.seen_fingerprints:
            return False
        self.seen_fingerprints.add(fingerprint)
        return True


@attrs.define(kw_only=True)
class RetryBudget:
    """Token bucket that limits retries to a ratio of the calls to a service."""

    ratio: float
    tokens: float = MAX_BUDGET_TOKENS

    def record_call(self) -> None:
        """Add the tokens earned by a new call."""
        self.tokens = min(self.tokens + self.ratio, MAX_BUDGET_TOKENS)

    def try_spend(self) -> bool:
        """Charge one retry; return false if the budget is used up."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
