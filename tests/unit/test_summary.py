from __future__ import annotations

import json

from ferrydeck import cli


def line(second: int, **more: object) -> str:
    values = {"time": f"2026-05-17T13:22:{second:02}.368", "kind": "request"} | more
    return json.dumps(values)


LINES = [
    line(2, id="a", outcome="refused", reason="pressure", route="look", box="box-1"),
    line(1, id="b", outcome="refused", reason="pressure", route="look", box="box-2"),
    line(1, id="c", outcome="refused", reason="pressure", route="look", box="box-1"),
    line(1, id="d", outcome="answered", reason="200", route="look", box="box-1"),
    line(1, id="e", outcome="answered", reason="500", route="pay", box="box-1"),
    line(1, id="f", outcome="repeated", reason="silent", route="pay", box="box-1"),
    line(1, kind="link-lost", reason="silent", peer="box-3", box="box-1"),
    line(1, kind="lines-left-out", count=7, box="box-1"),
    "plain text",
    "{ broken",
]


def summary(capsys, tmp_path, lines: list[str], *more: str) -> tuple[int, str]:
    log = tmp_path / "daemons.log"
    log.write_text("\n".join(lines) + "\n")
    code = cli.main(["summary", *more, str(log)])
    captured = capsys.readouterr()
    return code, captured.out + captured.err


def test_failures_are_counted_by_second_and_route(capsys, tmp_path):
    code, text = summary(capsys, tmp_path, LINES)
    assert code == 0
    rows = [row.split() for row in text.splitlines()]
    assert ["2026-05-17T13:22:01", "2", "refused", "pressure", "look"] in rows
    assert ["2026-05-17T13:22:01", "1", "answered", "500", "pay"] in rows
    assert ["2026-05-17T13:22:01", "1", "link-lost", "silent", "-"] in rows
    assert ["in", "all", "3", "refused", "pressure"] in rows
    assert not [row for row in rows if "repeated" in row or "200" in row]
    assert text.splitlines()[-1].startswith("8 lines read, 1 unreadable; 7 omitted")


def test_counts_by_box_in_json(capsys, tmp_path):
    code, text = summary(capsys, tmp_path, LINES, "--by", "box", "--json")
    assert code == 0
    data = json.loads(text)["data"]
    assert ["2026-05-17T13:22:01", "refused pressure", "box-2", 1] in data["rows"]
    assert data["left_out"] == 7


def test_a_log_without_lines_is_bad_input(capsys, tmp_path):
    assert summary(capsys, tmp_path, ["plain text"])[0] == 2
