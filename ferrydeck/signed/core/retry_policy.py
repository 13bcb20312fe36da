"""Decides whether a call is retried after a failed attempt, and after which delay.

A call is given up if the reason is final, no untried box is left, its deadline has
passed, or its retry allowance or the retry budget of its service is used up.
"""

from __future__ import annotations

import attrs

from ferrydeck.signed.core import calls, context, retry_limits, routing
from ferrydeck.signed.wire import messages

MOVING_BACKOFF_S = 0.02
"""Base delay before retrying a call whose shard is changing its owner."""
MOVING_BACKOFF_FACTOR = 3
"""Growth of this delay with each attempt."""

OWNER_CHANGE_REASONS = frozenset(
    {messages.Reason.MOVING, messages.Reason.NOT_OWNER, messages.Reason.NO_LEASE}
)
"""The shard is changing its owner, so the same box may be tried again."""
BUDGET_EXEMPT_REASONS = OWNER_CHANGE_REASONS | {
    messages.Reason.LEAVING,
    messages.Reason.INCARNATION,
    messages.Reason.NOT_SENT,
}
"""Rejections caused by membership changes, not by load."""
NON_RETRYABLE_REASONS = frozenset(
    {messages.Reason.KEY_MISMATCH, messages.Reason.RETRIES_SPENT}
)
"""Rejections that every other box would return too."""
OWNER_REASONS = frozenset(
    {
        messages.Reason.OVERLOAD,
        messages.Reason.EXPIRED,
        messages.Reason.CANCELLED,
        messages.Reason.KEYS_FULL,
        messages.Reason.KEY_MISMATCH,
        messages.Reason.STALE_SENDING,
        messages.Reason.LEAVING,
        messages.Reason.TARGET_LOST,
        messages.Reason.NO_ANSWER,
    }
)
"""Rejections that the owner of a key returns after checking its state."""


@attrs.define(kw_only=True, frozen=True)
class Retry:
    """Retry after `delay_s`; the retry has already been charged."""

    delay_s: float = 0.0


@attrs.define(kw_only=True, frozen=True)
class GiveUp:
    """Answer the caller without another attempt."""

    may_have_run: bool


@attrs.define(kw_only=True)
class RetryPolicy:
    """Decides about retries and keeps the retry budgets of the services."""

    ctx: context.Context
    router: routing.Router
    budgets: dict[str, retry_limits.RetryBudget] = attrs.Factory(dict)

    def after_rejection(
        self, now: float, call: calls.Call, box: str, reason: messages.Reason
    ) -> Retry | GiveUp:
        """Decide after `box` rejected an attempt without running it.

        An earlier request with the key of a non-repeatable call may have run, unless
        the rejection comes from the key's owner.
        """
        by_owner = not call.route.repeatable and reason in OWNER_REASONS
        give_up = GiveUp(may_have_run=not call.route.repeatable and not by_owner)
        if by_owner or reason in NON_RETRYABLE_REASONS or call.cancelling:
            return give_up
        if not self._has_untried_box(call):
            return give_up
        if not self.try_spend(now, call, budgeted=reason not in BUDGET_EXEMPT_REASONS):
            return give_up
        if reason not in OWNER_CHANGE_REASONS or call.owner_hint not in ("", box):
            return Retry()
        delay_s = MOVING_BACKOFF_S * MOVING_BACKOFF_FACTOR**call.attempts
        return Retry(delay_s=min(delay_s, call.remaining_s(now) / 2))

    def after_uncertain(self, now: float, call: calls.Call) -> Retry | GiveUp:
        """Decide after an attempt that may have run."""
        if call.route.repeatable and self.try_spend(now, call):
            return Retry()
        return GiveUp(may_have_run=True)

    def after_lost_link(self, now: float, call: calls.Call) -> Retry | GiveUp:
        """Decide after the connection to the box of an attempt was lost."""
        if not call.route.repeatable or call.cancelling:
            return GiveUp(may_have_run=True)
        if not self._has_untried_box(call):
            return GiveUp(may_have_run=True)
        return self.after_uncertain(now, call)

    def leaves_unresponsive_box(self, now: float, call: calls.Call) -> bool:
        """Return whether to retry a call elsewhere because its box is unresponsive.

        A slow box that still sends messages is not abandoned, because running the same
        work elsewhere would only add load.
        """
        if not call.route.repeatable:
            return False
        if not self.router.unresponsive(now, call.attempt.box):
            return False
        if not self._has_untried_box(call, call.attempt.box):
            return False
        return self.try_spend(now, call)

    def record_call(self, service: str) -> None:
        """Credit the retry budget of a service for a new call."""
        self._budget(service).record_call()

    def try_spend(self, now: float, call: calls.Call, *, budgeted: bool = True) -> bool:
        """Charge a retry to the call's allowance and the service's budget."""
        if call.remaining_s(now) <= 0:
            return False
        if call.allowance.remaining < 1:
            self.ctx.count("retries_denied", "allowance")
            return False
        use_budget = budgeted and self.ctx.policy.limit_retry_ratio
        if use_budget and not self._budget(call.service).try_spend():
            self.ctx.count("retries_denied", "budget")
            return False
        return call.allowance.try_spend()

    def _has_untried_box(self, call: calls.Call, *excluded: str) -> bool:
        """Return whether the service has another box that was not tried."""
        tried = {*call.tried_boxes, *excluded}
        peers = self.router.candidates(call.service)
        return any(peer.member.box not in tried for peer in peers)

    def _budget(self, service: str) -> retry_limits.RetryBudget:
        budget = self.budgets.get(service)
        if budget is None:
            ratio = self.ctx.active.bundle.retry.budget
            budget = self.budgets[service] = retry_limits.RetryBudget(ratio=ratio)
        return budget
