"""Teams in the platform manifest: tenants, API keys and the header for servers."""

from __future__ import annotations

import base64
import json
import time

import pytest

from ferrydeck.config import findings
from ferrydeck.mesh import effects, policy, store
from ferrydeck.mesh.teams import keys
from ferrydeck.platform import headers, kv, limits, manifest
from ferrydeck.standins import fleet
from tests.platform import mesh_fleet, test_adapter

COLUMNS = ["name", "api_keys", "priority", "rate_per_s", "burst"]
API_KEY = "28m82thhkmgjqnirth5m"


def manifest_of(*rows: list[object]) -> bytes:
    teams = {"columns": COLUMNS, "rows": list(rows)}
    return test_adapter.manifest_of(tenants=teams)


def test_manifest_teams_are_read_with_their_keys():
    raw = manifest_of(
        ["farm", [API_KEY, "other"], 1, 177, 80], ["mill", ["third"], None, None, None]
    )
    result = manifest.read(raw, "store")
    farm = keys.Team(name="farm", priority=1, rate_per_s=177.0, burst=80.0)
    assert result.teams == {"farm": farm, "mill": keys.Team(name="mill")}
    assert result.keyring.find(API_KEY) == farm
    assert result.keyring.find("third") == keys.Team(name="mill")
    assert result.keyring.find("fourth") is None
    assert not result.teams["mill"].has_quota


def test_a_manifest_without_tenants_has_no_teams():
    assert manifest.read(test_adapter.manifest_of(), "store").teams == {}


@pytest.mark.parametrize(
    ("rows", "words"),
    [
        ([["a", [API_KEY], 1, 1, 1], ["b", [API_KEY], 1, 1, 1]], ["holds too"]),
        ([["a", ["k"], 1, 1, 1], ["a", ["l"], 1, 1, 1]], ["stands twice"]),
        ([["a", [API_KEY], 1, -1, 1]], ["rate_per_s"]),
        ([["a", [API_KEY], 1, 1, "many"]], ["burst"]),
        ([["a", [API_KEY], -1, 1, 1]], ["priority"]),
        ([["a", [API_KEY + " x"], 1, 1, 1]], ["keys of a"]),
        ([["a", [""], 1, 1, 1]], ["keys of a"]),
        ([["a", API_KEY, 1, 1, 1]], ["keys of a"]),
        ([["", [API_KEY], 1, 1, 1]], ["name"]),
        ([["a\r\nx: y", [API_KEY], 1, 1, 1]], ["name"]),
        ([[API_KEY]], ["tenants[0]"]),
        (
            [["a", [API_KEY], 1, -1, 1], ["b", [""], 1, 1, 1]],
            ["tenants[0]", "tenants[1]"],
        ),
    ],
)
def test_invalid_teams_are_reported_without_their_keys(rows, words):
    result = manifest.read(manifest_of(*rows), "store")
    assert isinstance(result, findings.Rejected)
    assert all(text in str(result) for text in words)
    assert API_KEY not in str(result)


def test_policy_with_1400_routes_and_1000_teams_is_read_within_100_ms():
    routes = [
        [f"r{n}", "h.example", f"/p{n}/", "safe", "1s", "1s", 0, None, 2, "desk"]
        for n in range(1400)
    ]
    teams = [[f"t{n}", [f"k{n}a", f"k{n}b"], 1, 10, 10] for n in range(1000)]
    raw = test_adapter.manifest_of(
        tenants={"columns": COLUMNS, "rows": teams},
        routes={"columns": test_adapter.COLUMNS, "rows": routes},
    )
    durations_s = []
    for _ in range(3):
        started = time.process_time()
        result = manifest.read(raw, "store")
        durations_s.append(time.process_time() - started)
    assert len(result.teams) == 1000
    # Parsing must not delay the link checks, which run every 100 ms.
    assert min(durations_s) < 0.1


def test_api_key_header_is_removed_from_the_request():
    parsed = headers.read_request(
        [
            ("host", "h.example"),
            ("x-attempt-id", "abc"),
            ("x-api-key", API_KEY),
            ("x-tenant", "forged"),
            ("x-kept", "2"),
        ],
        teams=True,
    )
    assert parsed.key == API_KEY
    assert parsed.fields == [("host", "h.example"), ("x-kept", "2")]
    assert API_KEY not in repr(parsed)


def test_api_key_header_is_forwarded_without_teams():
    parsed = headers.read_request([("x-api-key", API_KEY), ("x-tenant", "kept")])
    assert parsed.fields == [("x-api-key", API_KEY), ("x-tenant", "kept")]
    assert parsed.key == ""


def test_repeated_api_key_header_is_an_error():
    fields = [("x-api-key", API_KEY), ("x-api-key", API_KEY)]
    assert headers.read_request(fields, teams=True).multiple_keys


@pytest.mark.parametrize(("team", "told"), [("farm", "farm"), ("", None)])
def test_server_receives_the_team_header(team, told):
    dispatch = effects.Dispatch(
        dispatch=1,
        method="GET",
        path="/a",
        fields=[],
        body=b"",
        request_id="abc",
        target_id="i-1",
        caller="desk",
        left_s=0.25,
        team=team,
    )
    assert dict(headers.target_fields(dispatch)).get("x-tenant") == told


def test_revocation_deadline_requires_strict_revoke():
    report = findings.Report(file="x")
    stated = {"revoke": "5000ms", "strict_revoke": "true"}
    assert limits.read(stated, "", report).revoke_s == 5.0
    assert limits.read(stated | {"strict_revoke": "false"}, "", report).revoke_s is None
    assert limits.read({"revoke": "5000ms"}, "", report).revoke_s is None


def item_of(raw: bytes, revision: int) -> dict[str, object]:
    value = base64.b64encode(raw).decode()
    return {"tls_key": "op/config", "value": value, "revision": revision}


def test_policy_proof_is_read_only_and_returns_a_newer_policy():
    request = store.ProvePolicy(version=7, revision=31)
    call = kv.to_http(request)
    assert (call.method, call.path) == ("POST", "/api/kv-txn")
    assert json.loads(call.body) == {
        "expected_rev": [{"tls_key": "op/config", "revision": 31}],
        "put": [],
        "remove": [],
    }
    assert kv.from_http(request, 200, [b'{"revision":40}']) == store.PolicyProved()
    body = json.dumps({"items": [item_of(test_adapter.manifest_of(), 35)]}).encode()
    outcome = kv.from_http(request, 412, [body])
    assert isinstance(outcome.policy, policy.Policy)
    assert (outcome.policy.version, outcome.policy.revision) == (7, 35)


def test_policy_proof_without_a_policy_has_no_answer():
    request = store.ProvePolicy(version=7, revision=31)
    for status, body in ((412, b'{"items":[null]}'), (412, b"{}"), (503, b"")):
        assert isinstance(kv.from_http(request, status, [body]), store.NoAnswer)


def test_api_keys_are_added_and_revoked_end_to_end(mesh):
    def manifest_with_keys(version: int, *api_keys: str) -> dict[str, object]:
        result = mesh_fleet.manifest(version)
        routes = result["routes"]
        routes["columns"] = [*routes["columns"], "public"]
        public = [[*row, row[0] == "look"] for row in routes["rows"]]
        routes["rows"] = public
        rows = [["farm", list(api_keys), 1, 1000, 1000]]
        return result | {"tenants": {"columns": COLUMNS, "rows": rows}}

    mesh.publish(manifest_with_keys(4, API_KEY, "spare"))
    boxes = [mesh.add_box() for _ in range(2)]
    mesh.wait_linked()
    box = boxes[0]

    def post(request_id: str, **fields: str) -> int:
        return box.call(
            "/pay/1", request_id, method="POST", body=b"1", fields=fields
        ).status

    assert post("p-1", **{"X-Api-Key": API_KEY}) == 200
    assert post("p-2") == 401
    assert post("p-3", **{"X-Api-Key": "never-held"}) == 401
    mesh.publish(manifest_with_keys(5, "spare"))
    fleet.eventually(
        lambda: box.metric("ferrydeck_policy_version") == 5, "the policy is in force"
    )
    assert post("p-4", **{"X-Api-Key": API_KEY}) == 401
    assert post("p-5", **{"X-Api-Key": "spare"}) == 200
    ran_ids = [one for node in boxes for one in node.ran_ids() if one.startswith("p-")]
    assert sorted(ran_ids) == ["p-1", "p-5"]
    logs = "".join(node.daemon.log.read_text() for node in boxes)
    assert API_KEY not in logs
    assert "never-held" not in logs
