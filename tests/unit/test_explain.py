from __future__ import annotations

import json

from ferrydeck import cli


def line(time: str, box: str, **fields: object) -> str:
    values = {"time": time, "level": "info", "kind": "request", "box": box} | fields
    return json.dumps(values)


def explain(capsys, tmp_path, lines: list[str], request_id: str = "a") -> tuple:
    log = tmp_path / "daemons.log"
    log.write_text("\n".join(lines) + "\n")
    code = cli.main(["explain", request_id, str(log)])
    captured = capsys.readouterr()
    return code, captured.out + captured.err


def test_lines_of_several_boxes_are_sorted_and_the_cause_is_named(capsys, tmp_path):
    lines = [
        line("10:00:02", "box-1", id="a", outcome="refused", reason="overload", ms=62),
        line("10:00:01", "box-2", kind="gate", id="a", outcome="refused"),
        line("10:00:01", "box-2", id="b", outcome="answered", reason="200"),
        "not a line of ours {",
        "plain text",
    ]
    code, text = explain(capsys, tmp_path, lines)
    assert code == 0
    rows = text.splitlines()
    assert rows[0].startswith("10:00:01 box-2 gate refused")
    assert rows[-1] == (
        "cause: refused: no daemon asked had a slot in time (box box-1, after 62 ms)"
    )
    assert len(rows) == 3


def test_nested_calls_are_included(capsys, tmp_path):
    lines = [
        line("10:00:01", "box-2", id="a.c", outcome="unknown", reason="timeout"),
        line("10:00:02", "box-1", id="a", outcome="answered", reason="500"),
        line("10:00:02", "box-1", id="ab", outcome="answered", reason="200"),
    ]
    code, text = explain(capsys, tmp_path, lines)
    assert code == 0
    assert len(text.splitlines()) == 3
    assert "answered by a server with status 500" in text


def test_a_missing_final_outcome_is_reported(capsys, tmp_path):
    lines = [line("10:00:01", "box-2", kind="gate", id="a", outcome="broken")]
    _, text = explain(capsys, tmp_path, lines)
    assert "no line of its final outcome" in text


def test_an_unknown_request_id_is_bad_input(capsys, tmp_path):
    code, text = explain(capsys, tmp_path, [line("10:00:01", "b", id="z")])
    assert code == 2
    assert "no log line about a" in text
