"""`ferrydeck explain`: find in daemons' logs what became of a request."""

from __future__ import annotations

import argparse
from typing import Any

import attrs

from ferrydeck import outcomes
from ferrydeck.commands import lines

EXAMPLE = "ferrydeck explain 9c41d07be2a35f68 box-1.log box-2.log"

CAUSES_BY_RESULT = {
    ("refused", "overload"): "refused: every gate asked had no slot in time",
    ("refused", "pressure"): "refused: what its run needs is short of room, or fails",
    ("refused", "no-server"): "refused: no gate of the service took work",
    ("refused", "closed"): "refused: the gates asked were closing",
    ("refused", "server-refused"): "refused: the server said that it did not run it",
    ("refused", "timeout"): "refused: its time was over before a server had it",
    ("refused", "expired"): "refused: too little time was left",
    ("declined", "no-policy"): "refused: the daemon had no policy yet",
    ("declined", "no-route"): "no route for its host and path in the policy in force",
    ("declined", "no-key"): "refused: the route wants a key and it had none",
    ("declined", "unknown-key"): "refused: no team holds its key",
    ("declined", "stale-policy"): (
        "refused: the daemon could not tell whether its key still counts"
    ),
    ("declined", "allotment"): "refused: its team had used its allotment",
    ("declined", "stopping"): "refused: the daemon was about to end",
    ("refused", "condemned"): "refused: as many servers ended under it as is borne",
    ("declined", "condemned"): "refused: as many servers ended under it as is borne",
    ("refused", "suspect"): "refused: a server ended under it, and its turn was late",
    ("unknown", "server-ended"): "its server ended while it ran; it may have run",
    ("unknown", "condemned"): "as many servers ended under it as is borne",
    ("unknown", "suspect"): "a server ended under it, and it had no further attempt",
    ("aborted", "server-ended"): "a long answer broke off as its server ended",
    ("unknown", "timeout"): "no answer by its deadline; it may have run",
    ("unknown", "budget"): "it may have run, and the bound on repeats was reached",
    ("unknown", "server-lost"): "the server's answer was lost; it may have run",
    ("unknown", "link-lost"): "the link to the gate was lost; it may have run",
    ("unknown", "bad-answer"): "the server's answer was not whole; it may have run",
    ("aborted", "server-lost"): "a long answer broke off with its server",
    ("aborted", "link-lost"): "a long answer broke off with the link to its gate",
    ("caller-gone", ""): "its caller went away",
}
"""What the last line of a request means, by outcome and reason."""

FINAL_OUTCOMES = frozenset(
    {"answered", "refused", "unknown", "aborted", "declined", "caller-gone"}
)


@attrs.define(kw_only=True)
class RequestHistory:
    """The lines about one request, in the order of time."""

    request_id: str
    lines: list[dict[str, Any]] = attrs.Factory(list)

    @property
    def final(self) -> dict[str, Any] | None:
        """The line of the request's own final answer."""
        final_lines = [
            line
            for line in self.lines
            if line["kind"] == "request"
            and line["id"] == self.request_id
            and line.get("outcome") in FINAL_OUTCOMES
        ]
        return final_lines[-1] if final_lines else None

    def cause(self) -> str:
        """Return one sentence on what became of the request."""
        final = self.final
        if final is None:
            return "unknown: no line of its final answer; is the box's log missing?"
        key = (final["outcome"], final.get("reason", ""))
        if final["outcome"] == "answered":
            return f"answered by a server with status {final.get('reason')}"
        cause = CAUSES_BY_RESULT.get(key, f"{key[0]}: {key[1]}")
        return f"{cause} (box {final['box']}, after {final.get('ms', '?')} ms)"


def configure(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments."""
    parser.add_argument("id", help="the request's id")
    parser.add_argument(
        "files", nargs="*", help="logs of daemons, in any order; none: standard input"
    )


def run(args: argparse.Namespace) -> outcomes.Outcome:
    """Print the story of a request and its cause."""
    history = RequestHistory(request_id=args.id)
    reader = lines.LogReader()
    history.lines = [one for one in reader.read(args.files) if concerns(one, args.id)]
    if not history.lines:
        return outcomes.BadInput(
            text=f"no line about {args.id}: lines of plain outcomes are left out first",
            data={"unreadable": reader.unreadable},
        )
    history.lines.sort(key=lambda line: line["time"])
    text = "\n".join([*map(format_line, history.lines), f"cause: {history.cause()}"])
    data = {"cause": history.cause(), "lines": history.lines}
    return outcomes.Done(text=text, data=data)


def concerns(line: dict[str, Any], request_id: str) -> bool:
    """Return whether a line is about a request, or a call made for it."""
    line_id = str(line.get("id", ""))
    return line_id == request_id or line_id.startswith(request_id + ".")


def format_line(line: dict[str, Any]) -> str:
    """Return one line of the story."""
    rest = {
        name: value
        for name, value in line.items()
        if name not in ("time", "level", "kind", "box", "outcome", "incarnation")
    }
    inputs = " ".join(f"{name}={value}" for name, value in rest.items())
    outcome = line.get("outcome", "")
    return f"{line['time']} {line.get('box', '?')} {line['kind']} {outcome}: {inputs}"
