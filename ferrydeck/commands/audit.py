"""`ferrydeck audit`: show the audit trails of daemons, ordered by time."""

from __future__ import annotations

import argparse
import http.client
import json

from ferrydeck import outcomes
from ferrydeck.commands import client

EXAMPLE = "ferrydeck audit 127.0.0.1:9100 --action bundle-accepted"


def configure(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments."""
    parser.add_argument("admin", nargs="+", help="admin endpoints, IP:PORT")
    parser.add_argument("--action", help="show only this action")


def run(args: argparse.Namespace) -> outcomes.Outcome:
    """Merge the daemons' audit trails by time."""
    entries, unreachable = [], []
    for address in args.admin:
        try:
            body = client.fetch(address, "GET", "/audit").body
            entries += [json.loads(line) for line in body.splitlines()]
        except (OSError, ValueError, http.client.HTTPException) as exc:
            unreachable.append(f"{address} no answer: {exc}")
    if args.action:
        entries = [one for one in entries if one["action"] == args.action]
    entries.sort(key=lambda one: one["time"])
    lines = [f"{e['time']} {e['box']} {e['action']}: {e['detail']}" for e in entries]
    text = "\n".join(lines + unreachable)
    if unreachable:
        return outcomes.NotKnown(text=text, data=entries)
    return outcomes.Done(text=text, data=entries)
