"""`ferrydeck replay`: replay a recorded case through the daemon cores."""

from __future__ import annotations

import argparse
import pathlib

import attrs

from ferrydeck import exceptions, outcomes
from ferrydeck.commands import files
from ferrydeck.config import findings
from ferrydeck.replay import case as cases
from ferrydeck.replay import player
from ferrydeck.signed.core import policies

EXAMPLE = "ferrydeck replay case.toml --bundle bundle.toml --policy full"


def configure(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments."""
    parser.add_argument("case", help="a case in TOML, which names its trace")
    parser.add_argument("--bundle", required=True, help="the bundle in force")
    parser.add_argument("--policy", default="full", choices=sorted(policies.BY_NAME))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--scale", type=int, default=1, help="factor for slots and calls"
    )


def run(args: argparse.Namespace) -> outcomes.Outcome:
    """Replay the case; show goodput, wasted work, attempts and recovery."""
    policy = policies.BY_NAME[args.policy]
    result = replay(args.case, args.bundle, policy, args.seed, args.scale)
    return outcomes.Done(text=describe(result), data=attrs.asdict(result))


def replay(
    path: str, bundle: str, policy: policies.Policy, seed: int, scale: int = 1
) -> player.Result:
    """Replay the case at a path; raises `BadInput` with all findings."""
    case = cases.load_case(path)
    if isinstance(case, findings.Rejected):
        raise exceptions.BadInput(str(case))
    trace = cases.load_trace(str(pathlib.Path(path).parent / case.trace))
    if isinstance(trace, findings.Rejected):
        raise exceptions.BadInput(str(trace))
    return player.Player(
        case=case,
        trace=trace,
        bundle=files.read_bundle(bundle),
        policy=policy,
        seed=seed,
        scale=scale,
    ).play()


def describe(result: player.Result) -> str:
    """Return a table of the measurements."""
    form = "{:18} {:>7} {:>7} {:>13} {:>14}"
    lines = [form.format("class", "sent", "whole", "sent in fault", "whole in fault")]
    for one in result.classes:
        lines.append(
            form.format(
                one.class_name,
                one.sent,
                one.whole,
                one.in_fault_sent,
                one.in_fault_whole,
            )
        )
    lines.append(
        f"goodput in fault {result.goodput}/s of {result.ideal}/s that the slots "
        f"can serve ({result.goodput_share:.3f})"
    )
    lines.append(f"wasted work {result.wasted:.3f}  attempts {result.attempts:.3f}")
    lines.append(
        f"recovery {result.recovery_s:g} s  top classes failed {result.top_refused}"
    )
    return "\n".join(lines)
