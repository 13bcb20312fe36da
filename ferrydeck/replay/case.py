"""Replay cases: a request trace, the boxes that serve it, and faults."""

from __future__ import annotations

import json
import pathlib

import attrs

from ferrydeck.config import findings, options

NAME = options.Text(pattern=options.NAME_PATTERN)
SECONDS = options.Number(low=0, high=86400)


@attrs.define(kw_only=True, frozen=True)
class BoxGroup:
    """Boxes of one service, distributed round-robin over the data centres."""

    service: str = options.option(NAME)
    count: int = options.option(options.Number(low=1, high=100, integer=True))
    slots: int = options.option(options.Number(low=1, high=10_000, integer=True))


@attrs.define(kw_only=True, frozen=True)
class Fault:
    """A fault and its time span, in seconds from the start of the load."""

    kind: str = options.option(
        options.Choice(values=("slow", "demand", "platform-down", "cut"))
    )
    at: float = options.option(SECONDS)
    until: float = options.option(SECONDS)
    service: str = options.option(options.Text(pattern=r".*"), default="")
    data_centre: str = options.option(options.Text(pattern=r".*"), default="")
    factor: float = options.option(options.Number(low=0, high=1000), default=1.0)


@attrs.define(kw_only=True, frozen=True)
class Case:
    """A trace, the boxes to replay it on, and the injected faults."""

    trace: str = options.option(options.Text())
    seconds: float = options.option(SECONDS)
    """Duration of the replay, which repeats the trace."""
    loop_s: float = options.option(options.Number(low=0.1, high=86400))
    """Duration of one repetition of the trace."""
    data_centres: tuple[str, ...] = options.option(options.Items(item=NAME))
    boxes: tuple[BoxGroup, ...] = options.option(
        options.Items(item=options.Section(cls=BoxGroup))
    )
    faults: tuple[Fault, ...] = options.option(
        options.Items(item=options.Section(cls=Fault)), default=()
    )
    resends: int = options.option(
        options.Number(low=0, high=100, integer=True), default=0
    )
    """Maximum immediate resends of a failed request by its client."""


@attrs.define(kw_only=True, frozen=True)
class TraceLine:
    """One request of a trace."""

    t: float
    class_name: str
    method: str
    path: str
    key: str
    deadline_ms: int
    entry: int


def load_case(path: str) -> Case | findings.Rejected:
    """Read and validate a case file."""
    return options.read_file(Case, path)


def load_trace(path: str) -> list[TraceLine] | findings.Rejected:
    """Read a trace in JSON Lines format."""
    report = findings.Report(file=path)
    lines = []
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as exc:
        report.add("(file)", str(exc))
        return findings.Rejected(findings=tuple(report.findings))
    for number, line in enumerate(text.splitlines(), 1):
        try:
            lines.append(TraceLine(**json.loads(line)))
        except (ValueError, TypeError) as exc:
            report.add(f"line {number}", str(exc))
    if not report.clean:
        return findings.Rejected(findings=tuple(report.findings))
    return lines
