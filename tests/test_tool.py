from __future__ import annotations

import json

import pynng
import pytest

from ferrydeck import cli
from ferrydeck.commands import client
from ferrydeck.signed.wire import codec, messages
from ferrydeck.standins import fleet, port_range, sample


@pytest.fixture
def mesh(make_fleet):
    running_fleet = make_fleet("north")
    running_fleet.add_box("entry", "north", entry=True)
    running_fleet.add_box("ledger", "north", service="payments-ledger")
    rolled = running_fleet.roll(sample.bundle_toml())
    assert rolled.returncode == 0, rolled.stderr
    running_fleet.wait_ready()
    return running_fleet


def test_operator_commands_on_a_running_fleet(mesh, tmp_path):
    entry, ledger = mesh.boxes["entry"], mesh.boxes["ledger"]
    call = mesh.run_tool(
        "call",
        entry.address("entry"),
        "/payments-ledger/postings",
        "--post",
        "12.50",
        "--key",
        "k1",
        "--json",
    )
    output = json.loads(call.stdout)
    assert (call.returncode, output["data"]["outcome"]) == (0, "done")
    assert output["data"]["box"] == "ledger"
    refused = mesh.run_tool("call", entry.address("entry"), "/nothing/here")
    assert (refused.returncode, "not-run" in refused.stderr) == (1, True)
    admins = [box.address("admin") for box in mesh.boxes.values()]
    status = mesh.run_tool("status", *admins)
    assert "bundle_version=1" in status.stdout
    audit = mesh.run_tool("audit", *admins, "--action", "bundle-accepted")
    assert audit.stdout.count("bundle-accepted") == 2
    bundle = tmp_path / "next.toml"
    bundle.write_text(sample.bundle_toml(2, parent="0" * 64, lease_s=7))
    review = mesh.run_tool("review", str(bundle), "--settings", str(entry.settings))
    assert '+  "lease_s": 7,' in review.stdout
    drained = mesh.run_tool("drain", ledger.address("admin"), "--wait-s", "0.5")
    # The last box of a service keeps its shards, since no other box can own them.
    assert drained.returncode == 1
    mesh.set_faults(down=True)
    rolled = mesh.roll(sample.bundle_toml(2))
    assert rolled.returncode == 3
    unreachable = mesh.run_tool("status", f"127.0.0.1:{port_range.free_port()}")
    assert unreachable.returncode == 3


@pytest.mark.parametrize("command", sorted(cli.COMMANDS))
def test_each_command_has_help_with_an_example(command, capsys):
    with pytest.raises(SystemExit) as ended:
        cli.main([command, "--help"])
    assert ended.value.code == 0
    assert "example: ferrydeck" in capsys.readouterr().out


def test_metrics_health_and_readiness_endpoints(mesh):
    ledger = mesh.boxes["ledger"].address("admin")
    assert client.fetch(ledger, "GET", "/health").status == 200
    assert client.fetch(ledger, "GET", "/ready").status == 200
    assert client.fetch(ledger, "GET", "/drain").status == 405
    text = client.fetch(ledger, "GET", "/metrics").body.decode()
    for name in ("ferrydeck_bundle_version 1.0", "ferrydeck_shards_owned 32.0"):
        assert name in text


def test_bad_peer_messages_are_counted_and_dropped(mesh):
    ledger = mesh.boxes["ledger"]
    incarnation = ledger.status()["incarnation"]

    def message(cluster="demo", receiver=incarnation):
        return codec.encode(
            messages.Cancel(attempt=1),
            cluster=cluster,
            box="stranger",
            incarnation=1,
            address="127.0.0.1:9",
            receiver=receiver,
            bundle=0,
            sent=0.0,
        )

    invalid = [b"", b"\x00" * 50, message()[:-3], message("other"), message(receiver=7)]
    with pynng.Push0(dial=f"tcp://{ledger.address('peer')}") as socket:
        for message_bytes in invalid * 5:
            socket.send(message_bytes)

    def dropped():
        text = client.fetch(ledger.address("admin"), "GET", "/metrics").body.decode()
        lines = [one for one in text.splitlines() if "peer_messages_dropped" in one]
        counts = [float(one.rsplit(" ", 1)[1]) for one in lines if "_total" in one]
        return sum(counts) >= len(invalid) * 5

    fleet.eventually(dropped, "all are counted")
    path = "/payments-ledger/balances"
    answer = client.fetch(mesh.boxes["entry"].address("entry"), "GET", path)
    assert answer.status == 200
