"""A fleet whose deepest service is short of room, as the users' sheets lay it out.

Callers ask `desk` (lookups) and `ledger` (postings), and some ask `deep` itself
(entries). A lookup makes one call to the ledger, which makes one to `plan`, which makes
four to `deep`, in turn; a posting makes one or two calls to `plan`. The times, the
slots and the shares of the kinds are those of the sheets, and so is the number of
fronts for each deep server: each front sees a few runs a second.
"""

from __future__ import annotations

import collections
import random

import attrs

from ferrydeck.mesh import policy, switches
from tests.mesh import samples, simulation
from tests.mesh.teams import fleets


@attrs.define(kw_only=True, frozen=True)
class Sheet:
    """A deployment as the users' sheet states it."""

    per_s: dict[str, float]
    """Requests a second of each kind, of the whole deployment."""
    deadline_s: dict[str, float]
    boxes: dict[str, int]
    slots: dict[str, int]
    speeds: dict[str, tuple[float, ...]]
    works_s: tuple[tuple[str, float], ...]
    calls: dict[str, tuple[simulation.Calls, ...]]
    data_centres: int
    routes: tuple[policy.Route, ...]
    teams: tuple[tuple[fleets.TeamKeys, float], ...] = ()
    """Teams with their parts of all requests; empty where requests have no team."""

    def policy(self) -> policy.Policy:
        """Return the policy that operators wrote for it."""
        if not self.teams:
            return samples.policy_of(*self.routes)
        held = [one for one, _ in self.teams]
        return fleets.policy_of(*held, routes=self.routes)


def _calls(of: str, to: str, times: int, deadline_s: float) -> simulation.Calls:
    return simulation.Calls(
        of=f"/{of}/", path=f"/{to}/1", times=times, deadline_s=deadline_s
    )


def _route(name: str, service: str, **changes: object) -> policy.Route:
    parts = (policy.SplitPart(service=service, weight=1.0),)
    return samples.route(name, parts=parts, **changes)


def _routes(times_s: dict[str, tuple[float, float]]) -> tuple[policy.Route, ...]:
    """Return the routes of a sheet by their timeouts and targets."""
    once = policy.Kind.ONCE

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


USUAL_SPEEDS = (0.6, 1.0, 1.4)
LARGE = Sheet(
    per_s={"look": 411.0, "post": 173.0, "sheet": 62.5, "entry": 46.8},
    deadline_s={"look": 5.0, "post": 5.0, "sheet": 5.0, "entry": 2.5},
    boxes={"desk": 95, "ledger": 69, "plan": 20, "deep": 10},
    slots={"desk": 15, "ledger": 15, "plan": 34, "deep": 18},
    speeds=dict.fromkeys(("desk", "ledger", "plan", "deep"), USUAL_SPEEDS),
    works_s=(
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
"""The largest deployment, of 194 boxes."""

SHIFTED_SPEEDS = (0.7, 0.7, 1.6)
SHIFTED = Sheet(
    per_s={"look": 382.0, "post": 484.0, "sheet": 58.6, "entry": 127.0},
    deadline_s={"look": 5.0, "post": 5.0, "sheet": 3.0, "entry": 1.5},
    boxes={"desk": 20, "ledger": 35, "plan": 8, "deep": 5},
    slots={"desk": 50, "ledger": 29, "plan": 124, "deep": 30},
    speeds={
        "desk": USUAL_SPEEDS,
        "ledger": SHIFTED_SPEEDS,
        "plan": USUAL_SPEEDS,
        "deep": SHIFTED_SPEEDS,
    },
    works_s=(
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
"""A deployment of 68 boxes with teams, whose most frequent kind is the most urgent."""


@attrs.define(kw_only=True, frozen=True)
class Sent:
    """A request of a caller, or its second try."""

    first: float
    """When its caller tried first."""
    kind: str
    key: str
    req: simulation.Request


@attrs.define(kw_only=True)
class Chain:
    """The fleet, its callers, and what they got."""

    world: simulation.World
    sheet: Sheet
    scale: float
    rng: random.Random
    sent: list[Sent] = attrs.Factory(list)

    def load(self, *, times: float, seconds: float) -> None:
        """Have callers send `times` what the sheet says, spread at random.

        A rejected caller comes back once if its answer says when.
        """
        names = list(self.sheet.per_s)
        weights = list(self.sheet.per_s.values())
        per_s = times * self.scale * sum(weights)
        boxes = list(self.world.boxes.values())
        ends = self.world.now + seconds
        while self.world.now < ends:
            [kind] = self.rng.choices(names, weights)
            box, left_s = self.rng.choice(boxes), self.sheet.deadline_s[kind]
            self._send(kind, box, self.world.now, left_s, self._key())
            self.world.run(self.rng.expovariate(per_s))

    def _key(self) -> str:
        """Draw a caller's key."""
        if not self.sheet.teams:
            return ""
        held, parts = zip(*self.sheet.teams, strict=True)
        [holding] = self.rng.choices(held, parts)
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
        self.sent.append(Sent(first=first, kind=kind, key=key, req=req))

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
        """Return which part of the requests of each kind were served.

        `key` picks those of a team.
        """
        owed: collections.Counter[str] = collections.Counter()
        served: collections.Counter[str] = collections.Counter()
        for one in self.sent:
            if not after <= one.first < until or (key and one.key != key):
                continue
            answer = one.req.answer
            owed[one.kind] += one.req.at == one.first
            served[one.kind] += answer is not None and answer.status == 200
        return {kind: served[kind] / count for kind, count in owed.items()}

    def wasted(self, after: float, until: float) -> float:
        """Return which part of the runs of callers' requests ended in a failure."""
        ids = {one.request_id for one in self.world.targets.runs if one.ran}
        ended = [
            one.req.answer.status == 200
            for one in self.sent
            if after <= one.first < until
            and one.req.answer
            and one.req.request_id in ids
        ]
        return 1.0 - sum(ended) / max(1, len(ended))


def chain_of(
    *,
    scale: float,
    seed: int = 1,
    off: switches.Switches | None = None,
    sheet: Sheet = LARGE,
    calls_named: bool = False,
) -> Chain:
    """Return a fleet of `scale` times the boxes of the sheet, three seconds old."""
    world = simulation.World(
        seed=seed,
        call_host=samples.HOST,
        calls_named=calls_named,
        switches=off or switches.Switches(),
    )
    world.store.use(sheet.policy())
    number = 0
    for service, count in sheet.boxes.items():
        speeds = sheet.speeds[service]
        for index in range(max(2, round(scale * count))):
            speed = speeds[index % len(speeds)]
            works = tuple((of, work_s / speed) for of, work_s in sheet.works_s)
            world.add_box(
                f"box-{number}",
                f"hall-{number % sheet.data_centres}",
                service,
                slots=sheet.slots[service],
                works_s=works,
                calls=sheet.calls[service],
            )
            number += 1
    world.run(3.0)
    return Chain(world=world, sheet=sheet, scale=scale, rng=random.Random(seed))
