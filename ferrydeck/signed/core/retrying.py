"""Whether a call is tried again after an attempt, and after which pause.

Inputs are the call and why its attempt ended. A call is given up if the reason is
final, no other box is left, its time or allowance is spent, or retries have used up
their share of the service's fresh calls. Owns the budgets by service; relies on
`routing` for the boxes, and on the call's own ledger for the allowance.
"""

from __future__ import annotations

import attrs

from ferrydeck.signed.core import calls, context, retries, routing
from ferrydeck.signed.wire import messages

MOVE_PAUSE_S = 0.02
"""Pause before the retry of a call whose shard changes hands, seconds."""
MOVE_GROWTH = 3
"""Factor by which that pause grows with each attempt."""

OWNER_CHANGES = frozenset(
    {messages.Reason.MOVING, messages.Reason.NOT_OWNER, messages.Reason.NO_LEASE}
)
"""Rejections that come of a shard that changes hands: the box may be asked again."""
UNBUDGETED = OWNER_CHANGES | {
    messages.Reason.LEAVING,
    messages.Reason.INCARNATION,
    messages.Reason.NOT_SENT,
}
"""Rejections that come of a change of boxes, not of load: no budget is asked."""
NOT_RETRIED = frozenset({messages.Reason.KEY_MISMATCH, messages.Reason.RETRIES_SPENT})
"""Rejections that every other box would repeat."""
BY_OWNER = frozenset(
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

    pause_s: float = 0.0


@attrs.define(kw_only=True, frozen=True)
class GiveUp:
    """Answer the caller; the call itself may have run or not."""

    may_have_run: bool


@attrs.define(kw_only=True)
class Retrying:
    """Decides on retries of the calls that came in at this daemon."""

    ctx: context.Context
    router: routing.Router
    budgets: dict[str, retries.RetryBudget] = attrs.Factory(dict)

    def after_rejection(
        self, now: float, call: calls.Call, box: str, reason: messages.Reason
    ) -> Retry | GiveUp:
        """Decide on a call that `box` rejected: this attempt has not run.

        Of a call that must not run twice, an earlier sending of the key may have
        run, unless the owner of the key itself rejects it.
        """
        by_owner = not call.route.repeatable and reason in BY_OWNER
        give_up = GiveUp(may_have_run=not call.route.repeatable and not by_owner)
        if by_owner or reason in NOT_RETRIED or call.cancelling:
            return give_up
        if not self._another_box(call):
            return give_up
        if not self.spend(now, call, budgeted=reason not in UNBUDGETED):
            return give_up
        if reason not in OWNER_CHANGES or call.owner_hint not in ("", box):
            return Retry()
        pause_s = MOVE_PAUSE_S * MOVE_GROWTH**call.attempts
        return Retry(pause_s=min(pause_s, call.remaining(now) / 2))

    def after_uncertain(self, now: float, call: calls.Call) -> Retry | GiveUp:
        """Decide on a call whose attempt may have run."""
        if call.route.repeatable and self.spend(now, call):
            return Retry()
        return GiveUp(may_have_run=True)

    def after_lost_link(self, now: float, call: calls.Call) -> Retry | GiveUp:
        """Decide on a call whose box was lost: no answer will come."""
        if not call.route.repeatable or call.cancelling:
            return GiveUp(may_have_run=True)
        if not self._another_box(call):
            return GiveUp(may_have_run=True)
        return self.after_uncertain(now, call)

    def leaves_silent_box(self, now: float, call: calls.Call) -> bool:
        """Return whether a call is tried elsewhere because its box is silent.

        A box that is slow but sends messages is waited for: the same work begun
        anew elsewhere would only add to the load.
        """
        if not call.route.repeatable:
            return False
        if not self.router.silent(now, call.attempt.box):
            return False
        if not self._another_box(call, call.attempt.box):
            return False
        return self.spend(now, call)

    def count_fresh(self, service: str) -> None:
        """Count a fresh call to a service, which earns a share of a retry."""
        self._budget(service).record_call()

    def spend(self, now: float, call: calls.Call, *, budgeted: bool = True) -> bool:
        """Take one retry from what the request and the service have left."""
        if call.remaining(now) <= 0:
            return False
        if call.allowance.remaining < 1:
            self.ctx.count("retries_denied", "allowance")
            return False
        asks_budget = budgeted and self.ctx.policy.limit_retry_ratio
        if asks_budget and not self._budget(call.service).try_spend():
            self.ctx.count("retries_denied", "budget")
            return False
        return call.allowance.try_spend()

    def _another_box(self, call: calls.Call, *besides: str) -> bool:
        """Return whether a box of the service was not tried yet."""
        tried = {*call.tried, *besides}
        peers = self.router.candidates(call.service)
        return any(peer.member.box not in tried for peer in peers)

    def _budget(self, service: str) -> retries.RetryBudget:
        budget = self.budgets.get(service)
        if budget is None:
            share = self.ctx.active.bundle.retry.budget
            budget = self.budgets[service] = retries.RetryBudget(ratio=share)
        return budget
