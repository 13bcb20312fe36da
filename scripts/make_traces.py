"""Generates the traces and cases in `tests/traces` from fixed seeds.

A trace covers ten seconds of one deployment. Slots and request rates are one
twentieth of the deployment's.
"""

from __future__ import annotations

import json
import pathlib
import random
import urllib.parse

FOLDER = pathlib.Path("tests/traces")
LOOP_S = 10.0
SECONDS = 40.0


DEPLOYMENTS = {
    "nkwanta": {
        "boxes": {
            "farmer-enquiry": (5, 4),
            "payments-ledger": (4, 5),
            "route-planning": (3, 6),
            "intake-recorder": (3, 1),
        },
        "deep": "payments-ledger",
        "data_centres": ["depot-1", "depot-2", "depot-3"],
        "kinds": [
            ("lookup", "GET", "/farmer-enquiry/farmers", 30, 1000, 70,
             [("/payments-ledger/balances", 60)]),
            ("payment-posting", "POST", "/payments-ledger/postings", 60, 3000, 20, []),
            ("lookup", "GET", "/payments-ledger/balances", 60, 1000, 30, []),
            ("lookup", "GET", "/route-planning/sheets", 80, 2000, 20,
             [("/intake-recorder/volumes", 20)]),
            ("intake-entry", "POST", "/intake-recorder/entries", 20, 3000, 30, []),
        ],
    },
    "hladvarp": {
        "boxes": {
            "catalogue": (5, 7),
            "membership": (3, 12),
            "audio-delivery": (3, 12),
            "publishing": (3, 2),
        },
        "deep": "audio-delivery",
        "data_centres": ["reykjavik-1", "reykjavik-2", "reykjavik-3"],
        "kinds": [
            ("browse", "GET", "/catalogue/shows", 80, 1000, 100,
             [("/audio-delivery/counts", 40)]),
            ("audio-download", "GET", "/audio-delivery/episodes", 200, 10000, 40, []),
            ("payment-posting", "POST", "/membership/dues", 60, 3000, 10, []),
            ("lookup", "GET", "/membership/members", 50, 1000, 60, []),
            ("publish", "POST", "/publishing/episodes", 60, 3000, 10,
             [("/audio-delivery/counts", 40)]),
            ("lookup", "GET", "/publishing/feeds", 30, 1000, 30, []),
        ],
    },
}  # fmt: skip


def trace_lines(kinds: list, rng: random.Random) -> list[dict]:
    """Return the requests of one repetition, with exponential interarrival times."""
    lines = []
    for class_name, method, path, ms, deadline_ms, rate, nested in kinds:
        at = rng.expovariate(rate)
        while at < LOOP_S:
            calls = [
                urllib.parse.quote(f"{nested_path}?ms={vary(rng, time)}", safe="")
                for nested_path, time in nested
            ]
            query = f"?ms={vary(rng, ms)}"
            if calls:
                query += f"&call={urllib.parse.quote(','.join(calls), safe='')}"
            lines.append(
                {
                    "t": round(at, 4),
                    "class_name": class_name,
                    "method": method,
                    "path": path + query,
                    "key": f"r{len(lines)}" if method == "POST" else "",
                    "deadline_ms": deadline_ms,
                    "entry": rng.randrange(3),
                }
            )
            at += rng.expovariate(rate)
    return sorted(lines, key=lambda line: line["t"])


def vary(rng: random.Random, ms: float) -> float:
    """Return a service time within 40% of `ms`."""
    return round(ms * rng.uniform(0.6, 1.4), 1)


def to_toml(name: str, deployment: dict, faults: list[list[str]], resends: int) -> str:
    """Return a case in TOML."""
    lines = [f'trace = "{name}.jsonl"', f"seconds = {SECONDS}", f"loop_s = {LOOP_S}"]
    lines += [f"data_centres = {json.dumps(deployment['data_centres'])}"]
    lines += [f"resends = {resends}"]
    for service, (count, slots) in deployment["boxes"].items():
        lines += ["", "[[boxes]]", f'service = "{service}"']
        lines += [f"count = {count}", f"slots = {slots}"]
    for fault in faults:
        lines += ["", "[[faults]]", *fault]
    return "\n".join(lines) + "\n"


def cases_of(deployment: dict) -> dict[str, tuple[list[list[str]], int]]:
    """Return the faults and the number of resends of each case."""
    span = ["at = 8.0", "until = 28.0"]
    slow = [
        'kind = "slow"',
        f'service = "{deployment["deep"]}"',
        "factor = 10.0",
        *span,
    ]
    demand = ['kind = "demand"', "factor = 3.0", *span]
    out = ['kind = "platform-down"', "at = 0.0", "until = 40.0"]
    cut = ['kind = "cut"', f'data_centre = "{deployment["data_centres"][2]}"', *span]
    return {
        "slow": ([slow], 0),
        "demand": ([demand], 0),
        "both": ([slow, demand], 3),
        "platform-out": ([out], 0),
        "cut": ([cut], 0),
    }  # fmt: skip


def main() -> None:
    """Write all traces and cases."""
    for name, deployment in DEPLOYMENTS.items():
        lines = trace_lines(deployment["kinds"], random.Random(name))
        text = "".join(json.dumps(line) + "\n" for line in lines)
        (FOLDER / f"{name}.jsonl").write_text(text)
        for case, (faults, resends) in cases_of(deployment).items():
            path = FOLDER / f"{name}-{case}.toml"
            path.write_text(to_toml(name, deployment, faults, resends))


if __name__ == "__main__":
    main()
