"""`ferrydeck status`: show the status of daemons."""

from __future__ import annotations

import argparse
import http.client
import json

from ferrydeck import outcomes
from ferrydeck.commands import client

EXAMPLE = "ferrydeck status 127.0.0.1:9100 127.0.0.1:9101"
STATUS_FIELDS = ("data_centre", "service", "ready", "leaving", "bundle_version", "jobs")


def configure(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments."""
    parser.add_argument("admin", nargs="+", help="admin endpoints, IP:PORT")


def run(args: argparse.Namespace) -> outcomes.Outcome:
    """Show one line for each daemon."""
    lines, data, unreachable = [], {}, False
    for address in args.admin:
        try:
            table = json.loads(client.fetch(address, "GET", "/status").body)
        except (OSError, ValueError, http.client.HTTPException) as exc:
            lines.append(f"{address} no answer: {exc}")
            data[address] = None
            unreachable = True
            continue
        data[address] = table
        fields = " ".join(f"{name}={table[name]}" for name in STATUS_FIELDS)
        peers = sum(peer["takes_work"] for peer in table["peers"])
        lines.append(
            f"{table['box']} {fields} shards={len(table['shards'])} peers={peers}"
        )
    text = "\n".join(lines)
    if unreachable:
        return outcomes.NotKnown(text=text, data=data)
    return outcomes.Done(text=text, data=data)
