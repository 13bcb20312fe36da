"""`ferrydeck explain`: find the outcome of a request and its cause in daemon logs."""

from __future__ import annotations

import argparse
from typing import Any

import attrs

from ferrydeck import outcomes
from ferrydeck.commands import lines

EXAMPLE = "ferrydeck explain 9c41d07be2a35f68 box-1.log box-2.log"

CAUSES_BY_RESULT = {
    ("refused", "overload"): "refused: no daemon asked had a slot in time",
    ("refused", "rate-limit"): "refused: the servers accept fewer requests a second",
    ("refused", "pressure"): "refused: a downstream service lacked capacity or failed",
    ("refused", "no-server"): "refused: no daemon of the service accepted requests",
    ("refused", "closed"): "refused: the daemons asked were shutting down",
    ("refused", "server-refused"): "refused: the server reported that it was not run",
    ("refused", "timeout"): "refused: its deadline passed before a server received it",
    ("refused", "expired"): "refused: too little time was left before its deadline",
    ("refused", "stopping"): "refused: the daemon was shutting down",
    ("refused", "cancelled"): "refused: it was queued when its daemon shut down",
    ("declined", "no-policy"): "refused: the daemon had no policy yet",
    ("declined", "no-route"): "no route for its host and path in the policy in force",
    ("declined", "no-key"): "refused: the route requires an API key and it had none",
    ("declined", "unknown-key"): "refused: its API key belongs to no team",
    ("declined", "stale-policy"): (
        "refused: the daemon could not verify that its API key is still valid"
    ),
    ("declined", "allotment"): "refused: its team had used up its quota",
    ("declined", "stopping"): "refused: the daemon was shutting down",
    ("refused", "condemned"): "refused: too many servers exited while running it",
    ("declined", "condemned"): "refused: too many servers exited while running it",
    ("refused", "suspect"): "refused: a server exited running it; its turn came late",
    ("unknown", "server-ended"): "its server exited while running it; it may have run",
    ("unknown", "condemned"): "too many servers exited while running it",
    ("unknown", "suspect"): "a server exited while running it; no attempt was left",
    ("aborted", "server-ended"): "its server exited while streaming the response",
    ("unknown", "timeout"): "no answer by its deadline; it may have run",
    ("unknown", "stopping"): "its daemon shut down while it ran; it may have run",
    ("unknown", "budget"): "it may have run, and the retry budget was exhausted",
    ("unknown", "server-lost"): "the server's answer was lost; it may have run",
    ("unknown", "link-lost"): "the link to the target daemon was lost; it may have run",
    ("unknown", "bad-answer"): "the server's response was incomplete; it may have run",
    ("aborted", "server-lost"): "its server was lost while streaming the response",
    ("aborted", "link-lost"): "the link was lost while streaming the response",
    ("aborted", "timeout"): "its response was not read after its deadline",
    ("caller-gone", ""): "its caller disconnected",
}
"""Explanations of a request's final log line, by outcome and reason."""

FINAL_OUTCOMES = frozenset(
    {"answered", "refused", "unknown", "aborted", "declined", "caller-gone"}
)


@attrs.define(kw_only=True)
class RequestHistory:
    """The log lines about one request, ordered by time."""

    request_id: str
    lines: list[dict[str, Any]] = attrs.Factory(list)

    @property
    def final(self) -> dict[str, Any] | None:
        """The log line of the request's final outcome, excluding nested calls."""
        final_lines = [
            line
            for line in self.lines
            if line["kind"] == "request"
            and line["id"] == self.request_id
            and line.get("outcome") in FINAL_OUTCOMES
        ]
        return final_lines[-1] if final_lines else None

    def cause(self) -> str:
        """Return a sentence that explains the request's outcome."""
        final = self.final
        if final is None:
            return "unknown: no line of its final outcome; is the box's log missing?"
        key = (final["outcome"], final.get("reason", ""))
        if final["outcome"] == "answered":
            return f"answered by a server with status {final.get('reason')}"
        cause = CAUSES_BY_RESULT.get(key, f"{key[0]}: {key[1]}")
        return f"{cause} (box {final['box']}, after {final.get('ms', '?')} ms)"


def configure(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments."""
    parser.add_argument("id", help="the request's id")
    parser.add_argument(
        "files", nargs="*", help="daemon logs in any order (default: standard input)"
    )


def run(args: argparse.Namespace) -> outcomes.Outcome:
    """Print the log lines of a request and the cause of its outcome."""
    history = RequestHistory(request_id=args.id)
    reader = lines.LogReader()
    history.lines = [one for one in reader.read(args.files) if concerns(one, args.id)]
    if not history.lines:
        return outcomes.BadInput(
            text=f"no log line about {args.id}; ordinary outcomes are dropped first",
            data={"unreadable": reader.unreadable},
        )
    history.lines.sort(key=lambda line: line["time"])
    text = "\n".join([*map(format_line, history.lines), f"cause: {history.cause()}"])
    data = {"cause": history.cause(), "lines": history.lines}
    return outcomes.Done(text=text, data=data)


def concerns(line: dict[str, Any], request_id: str) -> bool:
    """Return whether a line is about a request or one of its nested calls."""
    line_id = str(line.get("id", ""))
    return line_id == request_id or line_id.startswith(request_id + ".")


def format_line(line: dict[str, Any]) -> str:
    """Return the printed form of a log line."""
    rest = {
        name: value
        for name, value in line.items()
        if name not in ("time", "level", "kind", "box", "outcome", "incarnation")
    }
    inputs = " ".join(f"{name}={value}" for name, value in rest.items())
    outcome = line.get("outcome", "")
    return f"{line['time']} {line.get('box', '?')} {line['kind']} {outcome}: {inputs}"
