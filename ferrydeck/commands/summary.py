"""`ferrydeck summary`: count refusals, failures and lost dependencies in logs."""

from __future__ import annotations

import argparse
import collections
from typing import Any

import attrs

from ferrydeck import outcomes
from ferrydeck.commands import lines

EXAMPLE = "ferrydeck summary --by route box-1.log box-2.log"

SERVED_OUTCOMES = frozenset({"answered", "caller-gone"})
INTERMEDIATE_OUTCOMES = frozenset({"repeated", "not-repeated"})
"""Outcomes that don't finish a request."""
LOSS_KINDS = frozenset(
    {"link-lost", "server-lost", "server-ended", "member-lost", "store-lost"}
)
"""Kinds of log lines that report a lost peer, server or store."""
SECOND_LENGTH = 19
"""Length of a timestamp truncated to seconds."""
GROUP_FIELDS = ("box", "route", "service", "team")


@attrs.define(kw_only=True)
class Summary:
    """Counts of events by second and group."""

    group: str
    counts: collections.Counter[tuple[str, ...]] = attrs.Factory(collections.Counter)
    left_out: int = 0

    def add(self, line: dict[str, Any]) -> None:
        """Count the event that a log line reports."""
        second = str(line["time"])[:SECOND_LENGTH]
        if line["kind"] == "lines-left-out":
            self.left_out += int(line.get("count", 0))
            return
        event_name = self._event_name(line)
        if event_name:
            self.counts[(second, event_name, str(line.get(self.group, "-")))] += 1

    def rows(self) -> list[tuple[str, str, str, int]]:
        """Return second, event, group and count, ordered by time."""
        return [(*key, count) for key, count in sorted(self.counts.items())]

    def totals(self) -> list[tuple[str, int]]:
        """Return the events and their total counts, the most frequent first."""
        totals: collections.Counter[str] = collections.Counter()
        for (_, event_name, _), count in self.counts.items():
            totals[event_name] += count
        return totals.most_common()

    def _event_name(self, line: dict[str, Any]) -> str:
        """Return the event that a line reports, empty if it isn't counted."""
        kind, outcome = line["kind"], line.get("outcome", "")
        reason = str(line.get("reason", ""))
        if kind in LOSS_KINDS:
            return f"{kind} {reason}".strip()
        if kind != "request" or outcome in INTERMEDIATE_OUTCOMES:
            return ""
        failed = outcome == "answered" and reason >= "500"
        if outcome in SERVED_OUTCOMES and not failed:
            return ""
        return f"{outcome} {reason}".strip()


def configure(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments."""
    parser.add_argument(
        "--by", choices=GROUP_FIELDS, default="route", help="what to group by"
    )
    parser.add_argument(
        "files", nargs="*", help="daemon logs in any order (default: standard input)"
    )


def run(args: argparse.Namespace) -> outcomes.Outcome:
    """Print refusals, failures and losses by second."""
    reader = lines.LogReader()
    summary = Summary(group=args.by)
    line_count = 0
    for line in reader.read(args.files):
        line_count += 1
        summary.add(line)
    if not line_count:
        return outcomes.BadInput(text="no log line of a daemon")
    rows = summary.rows()
    text = [
        f"{second}  {count:6}  {name}  {group}" for second, name, group, count in rows
    ]
    text += [f"in all  {count:6}  {name}" for name, count in summary.totals()]
    text.append(
        f"{line_count} lines read, {reader.unreadable} unreadable; "
        f"{summary.left_out} omitted by daemons, so the counts are minimums"
    )
    data = {
        "rows": rows,
        "totals": summary.totals(),
        "left_out": summary.left_out,
        "unreadable": reader.unreadable,
    }
    return outcomes.Done(text="\n".join(text), data=data)
