"""`ferrydeck`: the command-line tool for operators."""

from __future__ import annotations

import argparse
import sys
import types

import msgspec

from ferrydeck import exceptions, outcomes
from ferrydeck.commands import (
    audit,
    call,
    check,
    drain,
    explain,
    keygen,
    replay,
    review,
    roll,
    sign,
    status,
    summary,
)

COMMANDS: dict[str, types.ModuleType] = {
    "check": check,
    "keygen": keygen,
    "review": review,
    "sign": sign,
    "roll": roll,
    "status": status,
    "audit": audit,
    "drain": drain,
    "call": call,
    "replay": replay,
    "explain": explain,
    "summary": summary,
}
EXIT_HELP = "exit codes: 0 done, 1 refused, 2 invalid input, 3 unreachable or unknown"


def parser() -> argparse.ArgumentParser:
    """Return the argument parser."""
    root = argparse.ArgumentParser(
        prog="ferrydeck", description="The operators' tool.", epilog=EXIT_HELP
    )
    subparsers = root.add_subparsers(dest="command", required=True, metavar="COMMAND")
    for name, module in COMMANDS.items():
        summary_text = module.__doc__.partition(": ")[2].strip()
        subparser = subparsers.add_parser(
            name,
            help=summary_text,
            description=summary_text,
            epilog=f"example: {module.EXAMPLE} | {EXIT_HELP}",
        )
        module.configure(subparser)
        subparser.add_argument("--json", action="store_true", help="print JSON")
    return root


def main(argv: list[str] | None = None) -> int:
    """Run a command and return its exit code."""
    args = parser().parse_args(argv)
    try:
        outcome = COMMANDS[args.command].run(args)
    except exceptions.BadInput as exc:
        outcome = outcomes.BadInput(text=str(exc))
    except exceptions.PlatformUnreachable as exc:
        outcome = outcomes.NotKnown(text=str(exc))
    print_outcome(outcome, as_json=args.json)
    return outcomes.EXIT_CODES[type(outcome)]


def print_outcome(outcome: outcomes.Outcome, *, as_json: bool) -> None:
    """Print an outcome to standard output if it succeeded, else to standard error."""
    stream = sys.stdout if isinstance(outcome, outcomes.Done) else sys.stderr
    if not as_json:
        print(outcome.text, file=stream)
        return
    table = {"result": type(outcome).__name__, "text": outcome.text}
    table["data"] = outcome.data
    print(msgspec.json.encode(table).decode(), file=sys.stdout)


if __name__ == "__main__":
    sys.exit(main())
