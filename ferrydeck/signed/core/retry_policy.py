"""Whether a call is tried again after an attempt, and after which pause.

Inputs are the call and why its attempt ended. A call is given up if the reason is
final, no other box is left, its time or allowance is spent, or retries have used up
their share of the service's fresh calls. Owns the budgets by service; relies on
`routing` for the boxes, and on the call's own ledger for the allowance.
"""

from __future__ import annotations

import attrs

from ferrydeck.signed.core import calls, context, retry_limits, routing
from ferrydeck.signed.wire import messages

MOVING_BACKOFF_S = 0.02
"""Pause before the retry of a call whose shard changes hands, seconds."""
MOVING_BACKOFF_FACTOR = 3
"""Factor by which that pause grows with each attempt."""

OWNER_CHANGE_REASONS = frozenset(
    {messages.Reason.MOVING, messages.Reason.NOT_OWNER, messages.Reason.NO_LEASE}
)
"""Rejections that come of a shard that changes hands: the box may be asked again."""
BUDGET_EXEMPT_REASONS = OWNER_CHANGE_REASONS | {
    messages.Reason.LEAVING,
    messages.Reason.INCARNATION,
    messages.Reason.NOT_SENT,
}
"""Rejections that come of a change of boxes, not of load: no budget is asked."""
NON_RETRYABLE_REASONS = frozenset(
    {messages.Reason.KEY_MISMATCH, messages.Reason.RETRIES_SPENT}
)
"""Rejections that every other box would repeat."""
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
"""Rejections that the owner of a key sends after it looked the key up."""


@attrs.define(kw_only=True, frozen=True)
class Retry:
    """Try again after `pause_s`, seconds; 0 for at once. The retry is spent."""

    delay_s: float = 0.0


@attrs.define(kw_only=True, frozen=True)
class GiveUp:
    """Answer the caller; the call itself may have run or not."""

    may_have_run: bool


@attrs.define(kw_only=True)
class RetryPolicy:
    """Decides on retries of the calls that came in at this daemon."""

    ctx: context.Context
    router: routing.Router
    budgets: dict[str, retry_limits.RetryBudget] = attrs.Factory(dict)

    def after_rejection(
        self, now: float, call: calls.Call, box: str, reason: messages.Reason
    ) -> Retry | GiveUp:
        """Decide on a call that `box` rejected: this attempt has not run.

        Of a call that must not run twice, an earlier sending of the key may have
        run, unless the owner of the key itself rejects it.
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
        pause_s = MOVING_BACKOFF_S * MOVING_BACKOFF_FACTOR**call.attempts
        return Retry(delay_s=min(pause_s, call.remaining_s(now) / 2))

    def after_uncertain(self, now: float, call: calls.Call) -> Retry | GiveUp:
        """Decide on a call whose attempt may have run."""
        if call.route.repeatable and self.try_spend(now, call):
            return Retry()
        return GiveUp(may_have_run=True)

    def after_lost_link(self, now: float, call: calls.Call) -> Retry | GiveUp:
        """Decide on a call whose box was lost: no answer will come."""
        if not call.route.repeatable or call.cancelling:
            return GiveUp(may_have_run=True)
        if not self._has_untried_box(call):
            return GiveUp(may_have_run=True)
        return self.after_uncertain(now, call)

    def leaves_unresponsive_box(self, now: float, call: calls.Call) -> bool:
        """Return whether a call is tried elsewhere because its box is silent.

        A box that is slow but sends messages is waited for: the same work begun
        anew elsewhere would only add to the load.
        """
        if not call.route.repeatable:
            return False
        if not self.router.unresponsive(now, call.attempt.box):
            return False
        if not self._has_untried_box(call, call.attempt.box):
            return False
        return self.try_spend(now, call)

    def record_call(self, service: str) -> None:
        """Count a fresh call to a service, which earns a share of a retry."""
        self._budget(service).record_call()

    def try_spend(self, now: float, call: calls.Call, *, budgeted: bool = True) -> bool:
        """Take one retry from what the request and the service have left."""
        if call.remaining_s(now) <= 0:
            return False
        if call.allowance.remaining < 1:
            self.ctx.count("retries_denied", "allowance")
            return False
        asks_budget = budgeted and self.ctx.policy.limit_retry_ratio
        if asks_budget and not self._budget(call.service).try_spend():
            self.ctx.count("retries_denied", "budget")
            return False
        return call.allowance.try_spend()

    def _has_untried_box(self, call: calls.Call, *besides: str) -> bool:
        """Return whether a box of the service was not tried yet."""
        tried = {*call.tried_boxes, *besides}
        peers = self.router.candidates(call.service)
        return any(peer.member.box not in tried for peer in peers)

    def _budget(self, service: str) -> retry_limits.RetryBudget:
        budget = self.budgets.get(service)
        if budget is None:
            share = self.ctx.active.bundle.retry.budget
            budget = self.budgets[service] = retry_limits.RetryBudget(ratio=share)
        return budget
