"""The versioned policy: routes, services, teams and limits on callers.

Defines route lookup and shedding priorities; `ferrydeck.platform` parses the policy
from the format of the store.
"""

from __future__ import annotations

import enum

import attrs

from ferrydeck.mesh.teams import keys


class RouteKind(enum.StrEnum):
    """Whether requests of a route may be repeated, and how large their answers are."""

    SAFE = "safe"
    ONCE = "once"
    """Runs at most once per request of a caller."""
    DOWNLOAD = "download"
    """Like `SAFE`, with large answers."""


@attrs.define(kw_only=True, frozen=True)
class SplitPart:
    """A service that receives a share of the requests of a route."""

    service: str
    weight: float
    """Weight relative to the other parts of the split."""


@attrs.define(kw_only=True, frozen=True)
class Route:
    """Routing rule and limits for requests with a host and path prefix."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    """Maximum time to answer a request, seconds."""
    objective_s: float
    """Latency objective, seconds."""
    priority: int
    """Shedding priority; 0 is shed last."""
    max_attempts: int
    """Maximum number of targets that a request is sent to."""
    parts: tuple[SplitPart, ...]
    public: bool = False
    """Whether requests need no API key although the policy has teams."""

    @property
    def retryable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is not RouteKind.ONCE


@attrs.define(kw_only=True, frozen=True)
class Service:
    """Configuration of the targets of a service."""

    name: str
    health_path: str
    """URL path of the health check."""


@attrs.define(kw_only=True, frozen=True)
class CallerLimits:
    """Size limits and timeouts for callers."""

    head_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    head_s: float = 3.0
    """Timeout for the head of a request, seconds."""
    idle_s: float = 15.0
    """Idle timeout of a connection, seconds."""


@attrs.define(kw_only=True, frozen=True)
class Priorities:
    """Shedding priorities as one number, ordered by team, then by route.

    Without teams it is the priority of the route. Requests without a team, or of a team
    without a priority, rank with the lowest team.
    """

    lowest_route: int
    """Priority of the routes that are shed first."""
    lowest_team: int = 0

    @property
    def lowest(self) -> int:
        """Priority that is shed first."""
        return self.of(None, self.lowest_route)

    def of(self, team: keys.Team | None, route: int) -> int:
        """Return the priority of a request of `team` on a route of priority `route`."""
        own = None if team is None else team.priority
        return (self.lowest_team if own is None else own) * self._step + route

    def of_call(self, caller: int, route: int) -> int:
        """Return the priority of a call made by a run of priority `caller`."""
        team, own = divmod(caller, self._step)
        return team * self._step + min(own, route)

    @property
    def _step(self) -> int:
        return self.lowest_route + 1


@attrs.define(kw_only=True)
class Policy:
    """One version of the policy, with an index of its routes."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    caller_limits: CallerLimits = CallerLimits()
    raw: bytes = attrs.field(default=b"", repr=False)
    """The policy as encoded in the store, to send to other daemons."""
    revision: int = 0
    """Store revision that wrote it; 0 if unknown."""
    teams: dict[str, keys.Team] = attrs.Factory(dict)
    """Teams by name; empty if the deployment has none."""
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

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route for a host whose prefix is the longest match of a path."""
        bare = path.partition("?")[0]
        for route in self._by_host.get(normalize_host(host), ()):
            if bare.startswith(route.prefix):
                return route
        return None


def normalize_host(host: str) -> str:
    """Return a host name in lower case, without its port."""
    name, colon, port = host.rpartition(":")
    if colon and port.isdigit():
        host = name
    return host.strip().lower()
