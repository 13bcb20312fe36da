"""Whether a request may be sent again, paid from the budget that all daemons share.

A box that is lost takes requests of a few daemons with it, whose own shares are soon
spent. What they lack they borrow: a lender takes it off its own share before it says
so, hence a lost word only makes the whole smaller.
"""

from __future__ import annotations

import attrs

from ferrydeck.mesh import budget, calls, messages, peers, runtime

HOPS = 5
"""Gates that one request is shown to at most, those that refuse it included."""
OFFERS_MOST = 8
"""Servers that one request is offered to at most where they shed it: of requests to
servers that shed half, one in 250 is given up."""
LEAST_RETRY_S = 0.03
"""A request with less time left than this is not sent again, seconds."""
LOAN_S = 0.06
"""How long a request waits for a loan, seconds: three times a link's way and back at
a busy daemon."""
ASK_EVERY_S = 0.02
"""Pause between two requests for a loan of the same kind, seconds."""
LENDERS = 8
"""Daemons that are asked for a loan at once."""


@attrs.define(kw_only=True, frozen=True)
class LoanTimer:
    """A request has waited for a loan as long as it may."""

    number: int


@attrs.define(kw_only=True)
class Repeats:
    """Pays for repeats, and borrows where this daemon's share is spent."""

    rt: runtime.Runtime
    peers: peers.Peers
    budget: budget.RetryBudget
    short: dict[int, calls.Call] = attrs.Factory(dict)
    """Calls that wait for a loan, by number."""
    _asked_at: dict[str, float] = attrs.Factory(dict)

    def may_repeat(self, now: float, call: calls.Call) -> bool:
        """Tell whether a request may run at another server, and pay for it."""
        if not call.route.repeatable or call.offered >= call.route.attempts:
            return False
        if call.hops >= HOPS or call.deadline - now < LEAST_RETRY_S:
            return False
        if not self.budget.may_spend(now, call.service):
            call.note(self.rt, "not-repeated", messages.Reason.BUDGET)
            return False
        call.note(self.rt, "repeated", "")
        return True

    def may_offer_again(self, now: float, call: calls.Call) -> bool:
        """Tell whether a shed request that its gate pays for may still be offered.

        Once as many servers were asked as the route allows, it goes to these again.
        """
        return call.offered < OFFERS_MOST and call.deadline - now >= LEAST_RETRY_S

    def waits_for_loan(self, now: float, call: calls.Call) -> bool:
        """Have a request wait for a loan, where one may come in time."""
        if not call.route.repeatable or call.offered >= call.route.attempts:
            return False
        late = call.deadline - now < LEAST_RETRY_S + LOAN_S
        if late or call.hops >= HOPS or not self.peers.linked():
            return False
        self.short[call.number] = call
        self.rt.at(now + LOAN_S, LoanTimer(number=call.number))
        self.ask(now, call.service)
        return True

    def ask(self, now: float, service: str) -> None:
        """Ask some daemons for what repeats of a service lack."""
        if now - self._asked_at.get(service, -1e9) < ASK_EVERY_S:
            return
        self._asked_at[service] = now
        linked = [
            peer
            for peer in self.peers.by_address.values()
            if peer.link is peers.Link.UP and not peer.suspect(now)
        ]
        lenders = self.rt.rng.sample(linked, min(LENDERS, len(linked)))
        ask = messages.LoanAsk(service=service)
        for peer in lenders:
            self.peers.send(now, peer, ask)

    def lend(self, now: float, ask: messages.LoanAsk) -> messages.Loan:
        """Return a part of this daemon's share."""
        tokens = self.budget.lend(now, ask.service)
        return messages.Loan(service=ask.service, tokens=tokens)

    def lent(self, now: float, loan: messages.Loan) -> list[calls.Call]:
        """Take a loan; return the calls that may be sent again now, paid for."""
        self.budget.receive(now, loan.service, loan.tokens)
        waiting = [one for one in self.short.values() if one.service == loan.service]
        paid = []
        for call in waiting:
            if not self.may_repeat(now, call):
                self.ask(now, loan.service)
                break
            del self.short[call.number]
            paid.append(call)
        return paid
