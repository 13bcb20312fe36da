"""`ferrydeck drain`: stop a daemon's new work and wait for work in flight."""

from __future__ import annotations

import argparse
import http.client
import json
import time

from ferrydeck import clock, outcomes
from ferrydeck.commands import client

EXAMPLE = "ferrydeck drain 127.0.0.1:9100 --wait-s 30"
POLL_INTERVAL_S = 0.1


def configure(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments."""
    parser.add_argument("admin", help="admin endpoint, IP:PORT")
    parser.add_argument(
        "--wait-s", type=float, default=30.0, help="maximum wait in seconds"
    )


def run(args: argparse.Namespace) -> outcomes.Outcome:
    """Start the drain and wait until nothing is in flight."""
    try:
        client.fetch(args.admin, "POST", "/drain")
        deadline = clock.now() + args.wait_s
        table = status(args.admin)
        while not is_drained(table) and clock.now() < deadline:
            time.sleep(POLL_INTERVAL_S)
            table = status(args.admin)
    except (OSError, ValueError, http.client.HTTPException) as exc:
        return outcomes.NotKnown(text=f"{args.admin} no answer: {exc}")
    remaining = f"jobs={table['jobs']} callers={table['callers_waiting']}"
    text = f"{table['box']} {remaining} shards={len(table['shards'])}"
    if is_drained(table):
        return outcomes.Done(text=f"{text} drained", data=table)
    return outcomes.Refused(text=f"{text} still in flight", data=table)


def status(address: str) -> dict[str, object]:
    """Return the daemon's status."""
    return json.loads(client.fetch(address, "GET", "/status").body)


def is_drained(table: dict[str, object]) -> bool:
    """Return whether nothing is in flight and no shard is owned."""
    return not (table["jobs"] or table["callers_waiting"] or table["shards"])
