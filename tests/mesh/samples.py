"""Sample policies, simulated worlds and requests for the mesh tests."""

from __future__ import annotations

from ferrydeck.mesh import policy
from tests.mesh import simulation

HOST = "calls.example"


def route(name: str = "look", **changes: object) -> policy.Route:
    values = {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": policy.RouteKind.SAFE,
        "timeout_s": 2.0,
        "objective_s": 1.0,
        "priority": 2,
        "max_attempts": 2,
        "parts": (policy.SplitPart(service="desk", weight=1.0),),
    }
    return policy.Route(**(values | changes))


def pay(**changes: object) -> policy.Route:
    return route("pay", kind=policy.RouteKind.ONCE, priority=0, **changes)


def policy_of(*routes: policy.Route, version: int = 4) -> policy.Policy:
    names = {part.service for one in routes for part in one.parts} | {"desk"}
    services = {
        name: policy.Service(name=name, health_path="/healthz") for name in names
    }
    return policy.Policy(
        version=version, routes=routes, services=services, raw=b"given"
    )


def world_of(
    boxes: int = 3, *, seed: int = 1, data_centres: int = 1, **target: object
) -> simulation.World:
    """Return a world of boxes with a `desk` target each, after two seconds."""
    made = simulation.World(seed=seed)
    made.store.set_policy(policy_of(route(), pay()))
    for index in range(boxes):
        made.add_box(f"box-{index}", f"hall-{index % data_centres}", "desk", **target)
    made.run(2.0)
    return made


def ask(world: simulation.World, box: str, **more: object) -> simulation.Request:
    values = {"host": HOST, "path": "/look/1"} | more
    return world.callers.request(world.boxes[box], **values)


def post(world: simulation.World, box: str, **more: object) -> simulation.Request:
    return ask(world, box, path="/pay/1", once=True, **more)


def statuses(requests: list[simulation.Request]) -> list[int]:
    """Return the status of each request, 0 for those without an answer."""
    return [req.answer.status if req.answer else 0 for req in requests]


def load(world, box, count, *, every_s=0.01, send=None, **more):
    """Send requests at regular intervals."""
    requests = []
    for _ in range(count):
        requests.append((send or ask)(world, box, **more))
        world.run(every_s)
    return requests
