"""The platform's names, formats and calls, read and made by the adapter."""

from __future__ import annotations

import json
import pathlib
import re
import subprocess
import tomllib

import pytest

from ferrydeck.config import findings
from ferrydeck.mesh import context, effects, policy, store
from ferrydeck.platform import headers, heartbeats, kv, limits, manifest, units

ROOT = pathlib.Path(__file__).parents[2]
COLUMNS = [
    "name",
    "host",
    "path_prefix",
    "route_type",
    "timeout",
    "target_latency",
    "priority",
    "traffic_split",
    "max_attempts",
    "service",
]
SPLIT = [{"service": "book", "weight": 90}, {"service": "desk", "weight": 10}]


def manifest_of(**changes: object) -> bytes:
    table = {
        "version": "r7",
        "routes": {
            "columns": COLUMNS,
            "rows": [
                [
                    "a",
                    "h.example",
                    "/a/",
                    "safe",
                    "5000ms",
                    "1200ms",
                    2,
                    SPLIT,
                    2,
                    None,
                ],
                [
                    "b",
                    "h.example",
                    "/a/b/",
                    "unsafe",
                    "0.8s",
                    "1.5s",
                    0,
                    None,
                    2,
                    "desk",
                ],
            ],
        },
        "services": {
            "columns": ["name", "health_path", "max_connections", "protocol"],
            "rows": [["desk", "/healthz", 634, "h1"], ["book", "/well", 100, "h1"]],
        },
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1000,
            "header_timeout": "3000ms",
            "idle_timeout": "15s",
        },
    }
    return json.dumps(table | changes).encode()


def test_a_manifest_is_read():
    made = manifest.read(manifest_of(), "store")
    assert made.version == 7
    first = made.find("H.example:80", "/a/x?y=/b/")
    assert first.parts == (
        policy.SplitPart(service="book", weight=90),
        policy.SplitPart(service="desk", weight=10),
    )
    assert (first.timeout_s, first.objective_s, first.max_attempts) == (5.0, 1.2, 2)
    longer = made.find("h.example", "/a/b/c")
    assert longer.kind is policy.RouteKind.ONCE
    assert made.find("h.example", "/c/") is None
    assert made.find("other.example", "/a/") is None
    assert made.services["book"].health_path == "/well"
    assert made.caller_limits.body_bytes == 1000
    assert made.caller_limits.idle_s == 15.0


@pytest.mark.parametrize(
    ("changes", "word"),
    [
        ({"version": "7"}, "version"),
        ({"version": None}, "version"),
        ({"services": {"columns": ["name"], "rows": []}}, "unknown service"),
        ({"routes": {"columns": COLUMNS, "rows": [["a"]]}}, "routes[0]"),
        ({"routes": None}, "routes"),
        ({"limits": {"idle_timeout": "15"}}, "limits"),
    ],
)
def test_a_manifest_that_can_not_be_used_is_rejected_with_its_place(changes, word):
    made = manifest.read(manifest_of(**changes), "store")
    assert isinstance(made, findings.Rejected)
    assert word in str(made)


def test_a_manifest_that_is_cut_short_is_rejected():
    assert isinstance(manifest.read(manifest_of()[:-9], "store"), findings.Rejected)


def test_the_era_of_an_answer_is_read():
    assert kv.read_era([("store-era", "12"), ("content-length", "2")]) == 12
    assert kv.read_era([("content-length", "2")]) == 0


@pytest.mark.parametrize("stated", ["", "-1", "1.5", "new", "\u0663", "9" * 40])
def test_an_era_that_is_no_number_is_rejected(stated):
    with pytest.raises(ValueError, match="invalid era"):
        kv.read_era([("store-era", stated)])


@pytest.mark.parametrize(("text", "value"), [("1500ms", 1.5), ("2.5s", 2.5)])
def test_times_carry_their_unit(text, value):
    assert units.parse_duration(text) == value


@pytest.mark.parametrize("text", ["15", "", "ms", "1.2.3s", "-5s", None, 5])
def test_other_times_are_refused(text):
    with pytest.raises(ValueError):
        units.parse_duration(text)


def test_fields_of_a_request_are_read_and_those_of_one_hop_dropped():
    facts = headers.read_request(
        [
            ("host", "h.example"),
            ("x-attempt-id", "abc"),
            ("x-deadline-ms", "1500"),
            ("x-caller-service", "forged"),
            ("x-expect-instance", "forged"),
            ("connection", "close, x-private"),
            ("x-private", "1"),
            ("x-kept", "2"),
        ]
    )
    assert (facts.request_id, facts.deadline_s) == ("abc", 1.5)
    assert facts.fields == [("host", "h.example"), ("x-kept", "2")]


@pytest.mark.parametrize("stated", ["abc", "-5", "1.5", "9" * 20])
def test_a_deadline_that_is_no_number_is_a_fault(stated):
    assert headers.read_request([("x-deadline-ms", stated)]).invalid_deadline


def test_a_server_is_told_id_time_lifetime_and_calling_service():
    dispatch = effects.Dispatch(
        dispatch=1,
        method="GET",
        path="/a",
        fields=[("host", "h")],
        body=b"",
        request_id="abc",
        target_id="i-1",
        caller="desk",
        left_s=0.25,
    )
    told = dict(headers.target_fields(dispatch))
    assert told == {
        "host": "h",
        "x-attempt-id": "abc",
        "x-deadline-ms": "250",
        "x-expect-instance": "i-1",
        "x-caller-service": "desk",
    }


def test_only_the_servers_word_says_that_it_did_not_run():
    assert headers.read_answer(503, [("x-not-executed", "1")]).not_run
    assert headers.read_answer(421, []).not_run
    assert not headers.read_answer(503, []).not_run
    assert not headers.read_answer(500, [("x-response-seal", "s")]).not_run


def test_an_answer_of_another_request_is_known():
    assert headers.matches_request("abc", [("x-attempt-id", "abc")])
    assert not headers.matches_request("abc", [("x-attempt-id", "abd")])


def test_reports_are_read():
    body = b'{"service":"desk","address":"10.0.0.1:80","slots":8,"state":"draining",'
    body += b'"cold_remaining":"1500ms","sequence":4,"zone":"a","version":"v1"}'
    beat = heartbeats.read(1, "PUT", "/api/instances/i-1", body)
    assert (beat.target_id, beat.ready, beat.terminating) == ("i-1", False, False)
    assert (beat.slots, beat.sequence, beat.warmup_s) == (8, 4, 1.5)
    assert heartbeats.read(1, "DELETE", "/api/instances/i-1", b"").terminating


@pytest.mark.parametrize(
    ("method", "path", "body"),
    [
        ("GET", "/api/instances/i-1", b""),
        ("PUT", "/api/instances/", b"{}"),
        ("PUT", "/api/instances/a/b", b"{}"),
        ("PUT", "/other", b"{}"),
        ("PUT", "/api/instances/i-1", b"{"),
        ("PUT", "/api/instances/i-1", b'{"cold_remaining":"5"}'),
    ],
)
def test_what_is_no_report_is_refused(method, path, body):
    assert heartbeats.read(1, method, path, body) is None


def test_terms_are_read_and_others_passed_over():
    report = findings.Report(file="x")
    made = limits.read(
        {"grace": "6s", "retry_budget_ratio": "0.2", "budget_slack": "49", "x": "y"},
        "1500ms",
        report,
    )
    assert report.clean
    assert made == context.Limits(retry_slack=49.0)


def test_terms_that_can_not_be_read_are_findings():
    report = findings.Report(file="x")
    limits.read({"grace": "six", "budget_slack": "many"}, "soon", report)
    assert [one.key for one in report.findings] == [
        "terms.budget_slack",
        "terms.grace",
        "terms.report_interval",
    ]


def test_answers_of_the_store_that_make_no_sense_are_no_answers():
    for body in (b"", b"{", b"[]", b'{"events":[{}]}'):
        request = store.WatchPolicy(after=1, wait_s=1)
        assert isinstance(kv.from_http(request, 200, [body]), store.NoAnswer)
    assert isinstance(kv.from_http(store.ReadPolicy(), 503, [b"{}"]), store.NoAnswer)


def test_statuses_of_the_store_have_their_meaning():
    watch = store.WatchPolicy(after=1, wait_s=1)
    assert kv.from_http(watch, 410, [b"{}"]) == store.HistoryGone()
    assert kv.from_http(store.KeepLease(lease=1), 404, [b"{}"]) == store.LeaseOver()
    assert kv.from_http(store.ReadPolicy(), 404, [b""]) == store.PolicyFound(
        policy=None, at=0
    )


def test_the_pins_of_the_build_are_those_of_the_project():
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    lines = (ROOT / "requirements.txt").read_text().splitlines()
    pins = [line for line in lines if line and not line.startswith("#")]
    assert pins == project["dependencies"]


def test_the_platforms_names_stand_nowhere_else():
    names = "x-attempt-id|x-not-executed|x-response-seal|x-expect-instance"
    names += "|x-caller-service|kv-txn|kv-watch|tls_key|op/config|/api/instances"
    names += "|x-api-key|x-tenant|api_keys|expected_rev"
    tracked = subprocess.run(
        ["git", "ls-files", "ferrydeck"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    ).stdout.split()
    inside = ("ferrydeck/platform/", "ferrydeck/standins/")
    found = [
        path
        for path in tracked
        if path.endswith(".py")
        and not path.startswith(inside)
        and re.search(names, (ROOT / path).read_text(), re.IGNORECASE)
    ]
    assert found == []


def test_the_adapter_is_under_a_tenth_of_the_product():
    def lines(folder: str) -> int:
        files = (ROOT / folder).rglob("*.py")
        return sum(len(path.read_text().splitlines()) for path in files)

    assert lines("ferrydeck/platform") < lines("ferrydeck") / 10
