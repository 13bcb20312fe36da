"""A case of the replay: a recorded trace, the boxes it ran on, and its faults."""

from __future__ import annotations

import json
import pathlib

import attrs

from ferrydeck.config import findings, options

NAME = options.Text(pattern=options.NAME_PATTERN)
SECONDS = options.Number(low=0, high=86400)


@attrs.define(kw_only=True, frozen=True)
class BoxGroup:
    """Some boxes of one service, spread over the data centres in turn."""

    service: str = options.option(NAME)
    count: int = options.option(options.Number(low=1, high=100, integer=True))
    slots: int = options.option(options.Number(low=1, high=10_000, integer=True))


@attrs.define(kw_only=True, frozen=True)
class Fault:
    """Something that is wrong for some time, seconds from the start of the load."""

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
    """What is replayed, and on what."""

    trace: str = options.option(options.Text())
    seconds: float = options.option(SECONDS)
    """How long the trace is played, over and over."""
    loop_s: float = options.option(options.Number(low=0.1, high=86400))
    """Length of one round of the trace."""
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
    """How often a caller sends a failed request again, at once."""


@attrs.define(kw_only=True, frozen=True)
class TraceLine:
    """One request of the trace."""

    t: float
    class_name: str
    method: str
    path: str
    key: str
    deadline_ms: int
    entry: int


def load_case(path: str) -> Case | findings.Rejected:
    """Read and check a case file."""
    return options.read_file(Case, path)


def load_trace(path: str) -> list[TraceLine] | findings.Rejected:
    """Read a trace: one JSON object a line."""
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
