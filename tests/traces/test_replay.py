from __future__ import annotations

import pathlib
import tomllib

import pytest

from ferrydeck import cli
from ferrydeck.commands import replay
from ferrydeck.signed.core import policies

FOLDER = pathlib.Path(__file__).parent
LIMITS = tomllib.loads((FOLDER / "stated.toml").read_text())


def run_case(name, policy="full", seed=1):
    bundle = str(FOLDER / "bundle.toml")
    path = str(FOLDER / f"{name}.toml")
    return replay.replay(path, bundle, policies.BY_NAME[policy], seed)


@pytest.mark.parametrize("name", sorted(LIMITS))
def test_a_case_meets_its_limits(name):
    limits = LIMITS[name]
    result = run_case(name)
    assert result.goodput_share >= limits["goodput_share"]
    assert result.wasted <= limits["wasted"]
    assert result.attempts <= limits["attempts"]
    assert result.top_refused <= limits["top_failed"]
    if "recovery_s" in limits:
        assert result.recovery_s <= limits["recovery_s"]


def test_the_same_seed_gives_the_same_result():
    assert run_case("nkwanta-cut") == run_case("nkwanta-cut")


def test_errors_in_cases_and_traces_name_their_location(tmp_path, capsys):
    bundle = str(FOLDER / "bundle.toml")
    path = tmp_path / "case.toml"
    path.write_text('trace = "t.jsonl"\nsecond = 5\n')
    assert cli.main(["replay", str(path), "--bundle", bundle]) == 2
    assert "'seconds'" in capsys.readouterr().err
    path.write_text((FOLDER / "nkwanta-cut.toml").read_text())
    (tmp_path / "nkwanta.jsonl").write_text('{"t": 1}\nnothing\n')
    assert cli.main(["replay", str(path), "--bundle", bundle]) == 2
    assert "line 2" in capsys.readouterr().err
