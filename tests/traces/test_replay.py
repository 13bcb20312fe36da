from __future__ import annotations

import pathlib
import tomllib

import pytest

from ferrydeck import cli
from ferrydeck.commands import replay
from ferrydeck.signed.core import policies

FOLDER = pathlib.Path(__file__).parent
STATED = tomllib.loads((FOLDER / "stated.toml").read_text())


def played(name, policy="full", seed=1):
    bundle = str(FOLDER / "bundle.toml")
    path = str(FOLDER / f"{name}.toml")
    return replay.replay(path, bundle, policies.BY_NAME[policy], seed)


@pytest.mark.parametrize("name", sorted(STATED))
def test_a_case_comes_out_as_stated(name):
    stated = STATED[name]
    result = played(name)
    assert result.goodput_share >= stated["goodput_share"]
    assert result.wasted <= stated["wasted"]
    assert result.attempts <= stated["attempts"]
    assert result.top_refused <= stated["top_failed"]
    if "recovery_s" in stated:
        assert result.recovery_s <= stated["recovery_s"]


def test_the_same_seed_gives_the_same_figures():
    assert played("nkwanta-cut") == played("nkwanta-cut")


def test_bad_cases_and_traces_are_told_with_their_place(tmp_path, capsys):
    bundle = str(FOLDER / "bundle.toml")
    path = tmp_path / "case.toml"
    path.write_text('trace = "t.jsonl"\nsecond = 5\n')
    assert cli.main(["replay", str(path), "--bundle", bundle]) == 2
    assert "'seconds'" in capsys.readouterr().err
    path.write_text((FOLDER / "nkwanta-cut.toml").read_text())
    (tmp_path / "nkwanta.jsonl").write_text('{"t": 1}\nnothing\n')
    assert cli.main(["replay", str(path), "--bundle", bundle]) == 2
    assert "line 2" in capsys.readouterr().err
