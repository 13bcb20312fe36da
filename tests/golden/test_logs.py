"""Output of the log commands for recorded decision logs."""

from __future__ import annotations

import json
import pathlib

import pytest

from ferrydeck import cli

LOGS = pathlib.Path(__file__).parent / "logs"
FILES = [str(LOGS / f"box-{number}.log") for number in (1, 2)]
RUNS = json.loads((LOGS / "outputs.json").read_text())


@pytest.mark.parametrize("run", RUNS, ids=lambda run: " ".join(run["args"]))
def test_the_output_of_a_command_is_unchanged(run, capsys):
    code = cli.main([*run["args"], *FILES])
    printed = capsys.readouterr()
    assert (code, printed.out, printed.err) == (run["code"], run["out"], run["err"])
