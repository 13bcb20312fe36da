"""State shared by the parts of the core: identity, timers and pending effects."""

from __future__ import annotations

import collections
import heapq
import random
from typing import Any

import attrs

from ferrydeck.signed import bundle as bundles
from ferrydeck.signed import signing
from ferrydeck.signed.core import effects, policies
from ferrydeck.signed.wire import messages


@attrs.define(kw_only=True, frozen=True)
class Identity:
    """The identity of this daemon."""

    cluster: str
    box: str
    incarnation: int
    address: str
    call_address: str
    data_centre: str
    region: str = "default"
    service: str = ""
    """The service of the local target; empty if there is none."""


@attrs.define(kw_only=True)
class ActiveBundle:
    """The active bundle and its lookup tables."""

    bundle: bundles.Bundle
    digest: str = ""
    raw: bytes = b""
    signers: tuple[str, ...] = ()
    ranks: dict[str, int] = attrs.field(init=False)
    services: dict[str, bundles.Service] = attrs.field(init=False)
    once_services: frozenset[str] = attrs.field(init=False)
    _routes: dict[tuple[str, str], list[bundles.Route]] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.ranks = {cls.name: cls.rank for cls in self.bundle.classes}
        self.services = {service.name: service for service in self.bundle.services}
        self.once_services = frozenset(
            route.service for route in self.bundle.routes if not route.repeatable
        )
        self._routes = collections.defaultdict(list)
        for route in self.bundle.routes:
            self._routes[route.service, route.method].append(route)
        for routes in self._routes.values():
            routes.sort(key=lambda route: -len(route.path))

    def route(self, service: str, method: str, path: str) -> bundles.Route | None:
        """Return the route with the longest matching path prefix."""
        for route in self._routes.get((service, method), ()):
            prefix = route.path.rstrip("/") + "/"
            if path == route.path or path.startswith(prefix):
                return route
        return None


def make_active_bundle(verified: signing.Verified) -> ActiveBundle:
    """Return a verified bundle with its lookup tables."""
    return ActiveBundle(
        bundle=verified.bundle,
        digest=verified.digest,
        raw=verified.raw,
        signers=verified.signers,
    )


@attrs.define(kw_only=True)
class Context:
    """State shared by the parts of one daemon's core."""

    identity: Identity
    rng: random.Random
    policy: policies.Policy = policies.Policy()
    active: ActiveBundle | None = None
    leaving: bool = False
    pending_effects: list[effects.Effect] = attrs.Factory(list)
    loopback: collections.deque[messages.Message] = attrs.Factory(collections.deque)
    timers: list[tuple[float, int, Any]] = attrs.Factory(list)
    _last_number: int = 0

    def next_number(self) -> int:
        """Return a number that is unique within this incarnation."""
        self._last_number += 1
        return self._last_number

    def emit(self, effect: effects.Effect) -> None:
        """Add an effect for the driver to carry out."""
        self.pending_effects.append(effect)

    def send(
        self, box: str, address: str, incarnation: int, message: messages.Message
    ) -> None:
        """Send a message to a daemon; messages to itself bypass the network."""
        if box == self.identity.box and incarnation == self.identity.incarnation:
            self.loopback.append(message)
            return
        self.pending_effects.append(
            effects.SendPeer(
                box=box, address=address, incarnation=incarnation, message=message
            )
        )

    def count(self, name: str, label: str = "") -> None:
        """Increment a counter."""
        self.pending_effects.append(effects.Count(name=name, label=label))

    def audit(self, action: str, detail: str) -> None:
        """Write a state change to the audit trail."""
        self.pending_effects.append(effects.Audit(action=action, detail=detail))

    def schedule(self, when: float, timer: Any) -> None:
        """Fire `timer` at `when`; handlers ignore timers that are out of date."""
        heapq.heappush(self.timers, (when, self.next_number(), timer))

    def pop_due_timer(self, now: float) -> Any | None:
        """Remove and return a timer that is due, or return `None`."""
        if not self.timers or self.timers[0][0] > now:
            return None
        return heapq.heappop(self.timers)[2]

    def jittered_ms(self, base_s: float) -> int:
        """Return a random time of one to two times `base_s`, in milliseconds."""
        return int(1000 * base_s * (1 + self.rng.random()))
