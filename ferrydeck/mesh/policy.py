"""The policy: routes, services, teams and limits on callers, by version.

Owns the look-up of routes and the order of shedding; `ferrydeck.platform` reads it from
the form in which the store holds it.
"""

from __future__ import annotations

import enum

import attrs

from ferrydeck.mesh.teams import keys


class Kind(enum.StrEnum):
    """How often a request may run, and how large its answer is."""

    SAFE = "safe"
    ONCE = "once"
    """At most once for each request of a caller."""
    DOWNLOAD = "download"
    """Safe, with a large answer."""


@attrs.define(kw_only=True, frozen=True)
class SplitPart:
    """A service that gets a part of a route's requests."""

    service: str
    weight: float
    """Its part of the requests, relative to the other parts' weights."""


@attrs.define(kw_only=True, frozen=True)
class Route:
    """Where requests of a host and a path prefix go, and within which limits."""

    name: str
    host: str
    prefix: str
    kind: Kind
    timeout_s: float
    """The longest time that a request is held, seconds."""
    objective_s: float
    """The time within which an answer is on time, seconds."""
    priority: int
    """Place in the order of shedding; 0 is shed last."""
    max_attempts: int
    """The greatest number of targets that one request is sent to."""
    parts: tuple[SplitPart, ...]
    public: bool = False
    """Whether its requests need no key, where there are teams."""

    @property
    def retryable(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is not Kind.ONCE


@attrs.define(kw_only=True, frozen=True)
class Service:
    """What daemons need to know of the targets of one service."""

    name: str
    health_path: str
    """Path of the health check of its targets."""


@attrs.define(kw_only=True, frozen=True)
class CallerLimits:
    """What a caller may send, and how long its connection may take or be idle."""

    head_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    head_s: float = 3.0
    """Time for the head of a request, seconds."""
    idle_s: float = 15.0
    """Time without a request, seconds."""


@attrs.define(kw_only=True, frozen=True)
class Priorities:
    """The order of shedding as one number: by team first, then by route.

    Without teams it is the priority of the route. A team without a priority of its own,
    and requests of no team, come with the teams that are shed first.
    """

    lowest_route: int
    """The priority of the routes that are shed first."""
    lowest_team: int = 0

    @property
    def lowest(self) -> int:
        """The priority that is shed first."""
        return self.of(None, self.lowest_route)

    def of(self, team: keys.Team | None, route: int) -> int:
        """Return the priority of a team's request on a route of priority `route`."""
        own = None if team is None else team.priority
        return (self.lowest_team if own is None else own) * self._step + route

    def of_call(self, caller: int, route: int) -> int:
        """Return the priority of a call that a run of priority `caller` makes."""
        team, own = divmod(caller, self._step)
        return team * self._step + min(own, route)

    @property
    def _step(self) -> int:
        return self.lowest_route + 1


@attrs.define(kw_only=True)
class Policy:
    """One version of the policy, with its routes sorted for look-up."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    caller_limits: CallerLimits = CallerLimits()
    raw: bytes = attrs.field(default=b"", repr=False)
    """The policy as the store holds it, to be sent to other daemons."""
    revision: int = 0
    """When the store took it, by the store's count; 0 where not known."""
    teams: dict[str, keys.Team] = attrs.Factory(dict)
    """The teams by name; empty where requests are nobody's in particular."""
    keyring: keys.Keyring = attrs.Factory(keys.Keyring)
    priorities: Priorities = attrs.field(init=False)
    _by_host: dict[str, list[Route]] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        routes = max((one.priority for one in self.routes), default=0)
        teams = max((one.priority or 0 for one in self.teams.values()), default=0)
        self.priorities = Priorities(lowest_route=routes, lowest_team=teams)
        self._by_host = {}
        for route in self.routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: -len(route.prefix))

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix of a path."""
        bare = path.partition("?")[0]
        for route in self._by_host.get(normalize_host(host), ()):
            if bare.startswith(route.prefix):
                return route
        return None


def normalize_host(host: str) -> str:
    """Return a host in lower case without its port."""
    name, colon, port = host.rpartition(":")
    if colon and port.isdigit():
        host = name
    return host.strip().lower()
