"""The prices of services as daemons report them to each other.

The daemons of an overloaded service set its price, which all daemons need that admit
callers' requests. Each of these sees too few runs to learn it from their answers alone.
So the load that a daemon sends contains all prices that it knows, with their age.

Owns the table of known prices. Relies on `pricing` for the price of the local target,
and on the messages of other daemons for all others.
"""

from __future__ import annotations

import math

import attrs
import msgspec

SMOOTHING_S = 0.1
"""Time constant for averaging the reports of a service's own daemons, seconds; the
prices of its targets differ."""
HOP_AGE_S = 0.02
"""Added to the age of a price per hop, seconds. It exceeds the transmission time, so
that a price expires even if daemons keep reporting it to each other."""
MAX_FRESH_AGE_S = 0.5
"""Age up to which a price counts in full, seconds. Several daemons settle on it, and a
report passes through up to four services."""
DECAY_TIME_S = 1.0
"""Time over which an older price decreases to 0, seconds."""
MIN_PRICE = 0.01
"""A lower price counts as 0."""
MAX_REPORTS = 16
"""Maximum number of prices in a message; each takes about ten bytes."""


class PriceReport(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The price of a service's slot time, as daemons send it."""

    service: str
    price_pct: int
    """Price in hundredths (`pricing`)."""
    age_ms: int


@attrs.define(kw_only=True)
class KnownPrice:
    """The last known price of one service."""

    value: float
    at: float
    """Time of the newest report, on this daemon's clock."""
    last_positive_at: float
    """Time of the newest report with a price above 0."""

    def value_at(self, now: float) -> float:
        """Return the price, reduced by its age."""
        decaying_s = max(0.0, now - self.at - MAX_FRESH_AGE_S)
        return self.value * max(0.0, 1.0 - decaying_s / DECAY_TIME_S)

    def update(self, at: float, value: float) -> None:
        """Replace the price by a newer one."""
        self.value = value
        self.at = at
        if value >= MIN_PRICE:
            self.last_positive_at = at

    def expired(self, now: float) -> bool:
        """Return whether the price is 0 and other daemons know it."""
        return now - self.last_positive_at > MAX_FRESH_AGE_S + DECAY_TIME_S


@attrs.define(kw_only=True)
class PriceTable:
    """The known prices of all services."""

    _known: dict[str, KnownPrice] = attrs.Factory(dict)

    def set(self, now: float, service: str, price: float) -> None:
        """Store the price that this daemon has set for the local target."""
        known = self._known.get(service)
        if known is not None:
            known.update(now, price)
        elif price >= MIN_PRICE:
            self._known[service] = KnownPrice(value=price, at=now, last_positive_at=now)

    def received(self, now: float, service: str, reports: list[PriceReport]) -> None:
        """Store the reports of a daemon whose target belongs to `service`.

        A price of its own service is that of one target, and is averaged with the
        others. The price of another service is forwarded and is an average already.
        """
        for report in reports:
            at = now - report.age_ms / 1000
            price = report.price_pct / 100
            known = self._known.get(report.service)
            if known is None:
                known = KnownPrice(value=price, at=at, last_positive_at=at)
                self._known[report.service] = known
            elif at > known.at and report.service == service:
                weight = 1.0 - math.exp((known.at - at) / SMOOTHING_S)
                known.update(at, known.value + weight * (price - known.value))
            elif at > known.at:
                known.update(at, price)

    def price(self, now: float, service: str) -> float:
        """Return the price of a service's slot time; 0 if unknown."""
        known = self._known.get(service)
        return known.value_at(now) if known is not None else 0.0

    def reports(self, now: float) -> list[PriceReport]:
        """Return the current and recent prices, the highest first.

        A price that fell to 0 is reported too, so that requests are admitted again at
        once. Without overload the list is empty.
        """
        if not self._known:
            return []
        expired = [name for name, known in self._known.items() if known.expired(now)]
        for name in expired:
            del self._known[name]
        prices = [
            (known.value_at(now), name, known.at) for name, known in self._known.items()
        ]
        prices.sort(reverse=True)
        return [
            PriceReport(
                service=name,
                price_pct=round(100 * price),
                age_ms=round(1000 * (now - at + HOP_AGE_S)),
            )
            for price, name, at in prices[:MAX_REPORTS]
        ]
