"""Simulated deployments with a chain of calls to a deepest service of little capacity.

Lookups and postings pass through `desk`, `ledger` and `plan`; entries call `deep`.
"""

from __future__ import annotations

import collections
import random

import attrs

from ferrydeck.mesh import policy, switches
from tests.mesh import samples, simulation
from tests.mesh.teams import fleets


@attrs.define(kw_only=True, frozen=True)
class Deployment:
    """Parameters of a deployment."""

    per_s: dict[str, float]
    """Request rate of each kind in the whole deployment, per second."""
    deadline_s: dict[str, float]
    boxes: dict[str, int]
    slots: dict[str, int]
    speeds: dict[str, tuple[float, ...]]
    work_s_by_prefix: tuple[tuple[str, float], ...]
    calls: dict[str, tuple[simulation.Calls, ...]]
    data_centres: int
    routes: tuple[policy.Route, ...]
    teams: tuple[tuple[fleets.TeamKeys, float], ...] = ()
    """Teams with their shares of the requests; empty if requests have no team."""

    def policy(self) -> policy.Policy:
        """Return the policy of the deployment."""
        if not self.teams:
            return samples.policy_of(*self.routes)
        holdings = [holding for holding, _ in self.teams]
        return fleets.policy_of(*holdings, routes=self.routes)


def _calls(of: str, to: str, times: int, deadline_s: float) -> simulation.Calls:
    return simulation.Calls(
        of=f"/{of}/", path=f"/{to}/1", times=times, deadline_s=deadline_s
    )


def _route(name: str, service: str, **changes: object) -> policy.Route:
    parts = (policy.SplitPart(service=service, weight=1.0),)
    return samples.route(name, parts=parts, **changes)


def _routes(times_s: dict[str, tuple[float, float]]) -> tuple[policy.Route, ...]:
    """Return the routes, by their timeouts and latency objectives."""
    once = policy.RouteKind.ONCE

    def route(name: str, service: str, **changes: object) -> policy.Route:
        timeout_s, objective_s = times_s[name]
        return _route(
            name, service, timeout_s=timeout_s, objective_s=objective_s, **changes
        )

    return (
        route("look", "desk", priority=2),
        route("post", "ledger", priority=0, kind=once),
        route("sheet", "plan", priority=2),
        route("entry", "deep", priority=2, kind=once),
        route("check", "ledger", priority=1, public=True),
        route("roster", "plan", priority=1, public=True),
        route("grade", "deep", priority=1, public=True),
    )


DEFAULT_SPEEDS = (0.6, 1.0, 1.4)
LARGE = Deployment(
    per_s={"look": 411.0, "post": 173.0, "sheet": 62.5, "entry": 46.8},
    deadline_s={"look": 5.0, "post": 5.0, "sheet": 5.0, "entry": 2.5},
    boxes={"desk": 95, "ledger": 69, "plan": 20, "deep": 10},
    slots={"desk": 15, "ledger": 15, "plan": 34, "deep": 18},
    speeds=dict.fromkeys(("desk", "ledger", "plan", "deep"), DEFAULT_SPEEDS),
    work_s_by_prefix=(
        ("/look/", 0.22),
        ("/post/", 0.28),
        ("/sheet/", 0.17),
        ("/entry/", 0.17),
        ("/check/", 0.015),
        ("/roster/", 0.015),
        ("/grade/", 0.055),
    ),
    calls={
        "desk": (_calls("look", "check", 1, 2.5),),
        "ledger": (
            _calls("check", "roster", 1, 2.0),
            _calls("post", "roster", 2, 2.0),
        ),
        "plan": (_calls("roster", "grade", 4, 0.7),),
        "deep": (),
    },
    data_centres=5,
    routes=_routes(
        {
            "look": (1.5, 1.5),
            "post": (2.0, 2.0),
            "sheet": (5.0, 1.2),
            "entry": (1.2, 0.6),
            "check": (2.5, 1.0),
            "roster": (2.0, 0.8),
            "grade": (0.7, 0.3),
        }
    ),
)
"""The largest deployment, with 194 boxes."""

SHIFTED_SPEEDS = (0.7, 0.7, 1.6)
SHIFTED = Deployment(
    per_s={"look": 382.0, "post": 484.0, "sheet": 58.6, "entry": 127.0},
    deadline_s={"look": 5.0, "post": 5.0, "sheet": 3.0, "entry": 1.5},
    boxes={"desk": 20, "ledger": 35, "plan": 8, "deep": 5},
    slots={"desk": 50, "ledger": 29, "plan": 124, "deep": 30},
    speeds={
        "desk": DEFAULT_SPEEDS,
        "ledger": SHIFTED_SPEEDS,
        "plan": DEFAULT_SPEEDS,
        "deep": SHIFTED_SPEEDS,
    },
    work_s_by_prefix=(
        ("/look/", 0.121),
        ("/post/", 0.163),
        ("/sheet/", 0.0964),
        ("/entry/", 0.096),
        ("/check/", 0.0153),
        ("/roster/", 0.0151),
        ("/grade/", 0.030),
    ),
    calls={
        "desk": (_calls("look", "check", 1, 2.5),),
        "ledger": (
            _calls("check", "roster", 1, 2.0),
            _calls("post", "roster", 1, 2.0),
        ),
        "plan": (_calls("roster", "grade", 4, 0.7),),
        "deep": (),
    },
    data_centres=3,
    routes=_routes(
        {
            "look": (1.0, 1.5),
            "post": (1.2, 1.5),
            "sheet": (3.0, 0.8),
            "entry": (0.8, 0.4),
            "check": (2.5, 1.0),
            "roster": (2.0, 0.8),
            "grade": (0.7, 0.3),
        }
    ),
    teams=(
        (fleets.team_keys("mill", priority=0), 0.11),
        (fleets.team_keys("farm", priority=1), 0.89),
    ),
)
"""A deployment with 68 boxes and teams, in which most requests are urgent."""


@attrs.define(kw_only=True, frozen=True)
class Sent:
    """A request of a caller, or its retry."""

    first_at: float
    """Time of the first attempt."""
    kind: str
    key: str
    req: simulation.Request


@attrs.define(kw_only=True)
class Chain:
    """A simulated fleet with its callers and their requests."""

    world: simulation.World
    spec: Deployment
    scale: float
    rng: random.Random
    sent: list[Sent] = attrs.Factory(list)

    def load(self, *, times: float, seconds: float) -> None:
        """Send random requests at `times` the rates of the deployment.

        A rejected request is retried once if its answer contains a retry-after time.
        """
        names = list(self.spec.per_s)
        weights = list(self.spec.per_s.values())
        per_s = times * self.scale * sum(weights)
        boxes = list(self.world.boxes.values())
        end = self.world.now + seconds
        while self.world.now < end:
            [kind] = self.rng.choices(names, weights)
            box, left_s = self.rng.choice(boxes), self.spec.deadline_s[kind]
            self._send(kind, box, self.world.now, left_s, self._key())
            self.world.run(self.rng.expovariate(per_s))

    def _key(self) -> str:
        """Draw the key of a caller."""
        if not self.spec.teams:
            return ""
        holdings, shares = zip(*self.spec.teams, strict=True)
        [holding] = self.rng.choices(holdings, shares)
        return holding.keys[0]

    def _send(
        self,
        kind: str,
        box: simulation.Box,
        first: float,
        left_s: float,
        key: str,
        *,
        retry_granted: bool = True,
    ) -> None:
        req = self.world.callers.request(
            box,
            host=samples.HOST,
            path=f"/{kind}/1",
            once=kind in ("post", "entry"),
            deadline_s=left_s,
            key=key,
        )
        self.sent.append(Sent(first_at=first, kind=kind, key=key, req=req))

        def answered() -> None:
            answer = req.answer
            rejected = answer.status == 503 and answer.retry_after_s is not None
            if not rejected or not retry_granted:
                return
            pause_s = min(answer.retry_after_s, left_s / 3)
            rest_s = left_s - (self.world.now - req.at) - pause_s
            self.world.after(
                pause_s,
                lambda: self._send(kind, box, first, rest_s, key, retry_granted=False),
            )

        req.then = answered

    def shares(self, after: float, until: float, key: str = "") -> dict[str, float]:
        """Return the ratio of served requests of each kind.

        `key` selects the requests of a team.
        """
        sent: collections.Counter[str] = collections.Counter()
        served: collections.Counter[str] = collections.Counter()
        for one in self.sent:
            if not after <= one.first_at < until or (key and one.key != key):
                continue
            answer = one.req.answer
            sent[one.kind] += one.req.at == one.first_at
            served[one.kind] += answer is not None and answer.status == 200
        return {kind: served[kind] / count for kind, count in sent.items()}

    def wasted(self, after: float, until: float) -> float:
        """Return the ratio of runs whose request failed in the end."""
        ids = {run.request_id for run in self.world.targets.runs if run.ran}
        served = [
            one.req.answer.status == 200
            for one in self.sent
            if after <= one.first_at < until
            and one.req.answer
            and one.req.request_id in ids
        ]
        return 1.0 - sum(served) / max(1, len(served))


def chain_of(
    *,
    scale: float,
    seed: int = 1,
    switch_values: switches.Switches | None = None,
    spec: Deployment = LARGE,
    calls_carry_run_id: bool = False,
) -> Chain:
    """Return a fleet with `scale` times the boxes, three seconds after its start."""
    world = simulation.World(
        seed=seed,
        call_host=samples.HOST,
        calls_carry_run_id=calls_carry_run_id,
        switches=switch_values or switches.Switches(),
    )
    world.store.set_policy(spec.policy())
    number = 0
    for service, count in spec.boxes.items():
        speeds = spec.speeds[service]
        for index in range(max(2, round(scale * count))):
            speed = speeds[index % len(speeds)]
            works = tuple((of, work_s / speed) for of, work_s in spec.work_s_by_prefix)
            world.add_box(
                f"box-{number}",
                f"hall-{number % spec.data_centres}",
                service,
                slots=spec.slots[service],
                work_s_by_prefix=works,
                calls=spec.calls[service],
            )
            number += 1
    world.run(3.0)
    return Chain(world=world, spec=spec, scale=scale, rng=random.Random(seed))
