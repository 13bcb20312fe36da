from __future__ import annotations

import json
import threading
import time

import pytest
from cryptography.hazmat.primitives.asymmetric import ed25519

from ferrydeck.commands import client
from ferrydeck.signed import bundle as bundles
from ferrydeck.signed import settings, signing
from ferrydeck.signed.core import platform, rollout
from ferrydeck.standins import fleet, sample
from tests import worlds

MAX_ROLLOUT_S = 6.0


def start(make_fleet, *, signers=("akosua",), needed=1):
    mesh = make_fleet("north", "south")
    for name in signers[1:]:
        mesh.add_signer(name)
    mesh.signatures_needed = needed
    for name in ("north", "south"):
        mesh.add_box(f"{name}-entry", name, entry=True)
        mesh.add_box(f"{name}-catalogue", name, service="catalogue")
    rolled = mesh.roll(sample.bundle_toml(1), signers=signers[:needed])
    assert rolled.returncode == 0, rolled.stderr
    mesh.wait_ready()
    return mesh


def digest_of(mesh):
    return next(iter(mesh.boxes.values())).status()["bundle_digest"]


def versions(mesh, names=()):
    boxes = [mesh.boxes[name] for name in names] or mesh.boxes.values()
    return {box.status()["bundle_version"] for box in boxes}


def wait_in_force(mesh, version, names=()):
    """Wait until a version is in force; return the elapsed seconds."""
    started = time.monotonic()
    what = f"version {version} in force"
    fleet.eventually(
        lambda: versions(mesh, names) == {version}, what, within_s=MAX_ROLLOUT_S
    )
    return time.monotonic() - started


def check_audit_trails(mesh, expected):
    """Check that the audit trail of each box has increasing versions only."""
    for box in mesh.boxes.values():
        details = [one["detail"] for one in box.audit("bundle-accepted")]
        accepted = [int(detail.split()[1]) for detail in details]
        assert accepted == sorted(set(accepted)), (box.name, accepted)
        assert accepted[-1] == expected, (box.name, accepted)
        assert all("signed by akosua" in detail for detail in details)


def test_rollout_reaches_every_box_in_time(make_fleet):
    mesh = start(make_fleet)
    rolled = mesh.roll(sample.bundle_toml(2, parent=digest_of(mesh)))
    assert rolled.returncode == 0, rolled.stderr
    assert wait_in_force(mesh, 2) < MAX_ROLLOUT_S
    check_audit_trails(mesh, 2)


def test_of_two_concurrent_rollouts_one_fails_with_a_conflict(make_fleet):
    mesh = start(make_fleet, signers=("akosua", "kwame"))
    parent = digest_of(mesh)
    results = {}

    def roll(signer, window):
        text = sample.bundle_toml(2, parent=parent, resend_window_s=window)
        source = mesh.folder / f"race-{signer}.toml"
        signed = mesh.folder / f"race-{signer}.json"
        source.write_text(text)
        key = str(mesh.key_file(signer))
        arguments = ("--signer", signer, "--key", key, "--out", str(signed))
        assert mesh.run_tool("sign", str(source), *arguments).returncode == 0
        settings = str(mesh.boxes["north-entry"].settings)
        results[signer] = mesh.run_tool("roll", str(signed), "--settings", settings)

    threads = [
        threading.Thread(target=roll, args=("akosua", 5.0)),
        threading.Thread(target=roll, args=("kwame", 6.0)),
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    codes = sorted(result.returncode for result in results.values())
    assert codes == [0, 1], results
    winner = next(name for name, one in results.items() if one.returncode == 0)
    loser = next(name for name in results if name != winner)
    assert f"signed by {winner}" in results[loser].stderr
    assert wait_in_force(mesh, 2) < MAX_ROLLOUT_S
    winning = results[winner].stdout.split()[3]
    assert {box.status()["bundle_digest"] for box in mesh.boxes.values()} == {winning}


@pytest.mark.parametrize("lost", [1, 2])
def test_rollout_succeeds_when_the_write_answer_is_lost(make_fleet, lost):
    mesh = start(make_fleet)
    mesh.set_faults(lose_answers=lost)
    rolled = mesh.roll(sample.bundle_toml(2, parent=digest_of(mesh)))
    assert rolled.returncode == 0, rolled.stderr
    assert wait_in_force(mesh, 2) < MAX_ROLLOUT_S


def test_box_started_during_a_platform_outage_gets_the_bundle_from_a_peer(make_fleet):
    mesh = start(make_fleet)
    mesh.roll(sample.bundle_toml(2, parent=digest_of(mesh)))
    wait_in_force(mesh, 2)
    mesh.set_faults(down=True)
    box = mesh.boxes["south-catalogue"]
    box.daemon.kill()
    mesh.restart(box)
    assert wait_in_force(mesh, 2) < MAX_ROLLOUT_S
    sources = [one["detail"] for one in box.audit("bundle-accepted")]
    assert len(sources) == 1 and "from platform" not in sources[0]


def test_data_centre_without_the_platform_gets_the_bundle_from_the_other(make_fleet):
    mesh = start(make_fleet)
    mesh.set_faults(cut_ports=[mesh.platform_ports["south"]])
    mesh.roll(sample.bundle_toml(2, parent=digest_of(mesh)))
    assert wait_in_force(mesh, 2) < MAX_ROLLOUT_S
    mesh.set_faults()
    mesh.roll(sample.bundle_toml(3, parent=digest_of(mesh)))
    assert wait_in_force(mesh, 3) < MAX_ROLLOUT_S
    check_audit_trails(mesh, 3)


def test_older_bundle_from_the_platform_is_ignored(make_fleet):
    mesh = start(make_fleet)
    # The first stale fault records the state that later ones serve.
    mesh.set_faults(stale=True)
    rolled = mesh.roll(sample.bundle_toml(2, parent=digest_of(mesh)))
    assert rolled.returncode == 0, rolled.stderr
    mesh.set_faults()
    wait_in_force(mesh, 2)
    mesh.set_faults(stale=True)
    box = mesh.boxes["north-catalogue"]
    assert box.daemon.stop() == 0
    others = [one for one in mesh.boxes.values() if one is not box]
    for other in others:
        other.daemon.freeze()
    reads = mesh.platform_counts()["reads"]
    mesh.restart(box)
    # With its peers frozen, the box reads the stale pointer and bundle first.
    fleet.eventually(lambda: mesh.platform_counts()["reads"] > reads + 1, "reads")
    for other in others:
        other.daemon.thaw()
    wait_in_force(mesh, 2)
    check_audit_trails(mesh, 2)
    assert len(box.audit("bundle-accepted")) == 1
    other = mesh.boxes["north-entry"]
    fleet.eventually(lambda: counter_sum(other, "older-pointer"), "fault counted")


def write_unchecked(mesh, raw, version):
    """Write a pointer and a bundle to the platform without the tool's checks."""
    port = client.PlatformClient(address=mesh.control)
    prior = port.read(rollout.POINTER).entry
    port.send(platform.Write(key=f"bundle/{version}", value=raw, expected_version=0))
    value = json.dumps({"version": version, "digest": "0" * 64})
    port.send(
        platform.Write(key=rollout.POINTER, value=value, expected_version=prior.version)
    )


def test_invalid_bundles_are_rejected(make_fleet):
    mesh = start(make_fleet, signers=("akosua", "kwame"), needed=2)
    text = sample.bundle_toml(2, parent=digest_of(mesh))
    refused = mesh.roll(text, signers=("akosua",))
    assert refused.returncode == 2
    assert "1 valid, 2 required" in refused.stderr
    signed = mesh.folder / "bundle-1.json"
    one = json.loads(signed.read_text())
    forged = dict(one, signatures=one["signatures"] * 2)
    forged["signatures"][1] = dict(one["signatures"][0], signer="kwame")
    broken = dict(one, body=one["body"].replace('"version":2', '"version":9'))
    for version, invalid in ((2, one), (3, forged), (9, broken), (10, {"body": 1})):
        before = {name: rejected(box) for name, box in mesh.boxes.items()}
        write_unchecked(mesh, json.dumps(invalid), version)
        for name, box in mesh.boxes.items():
            fleet.eventually(
                lambda box=box, count=before[name]: rejected(box) > count,
                f"{name} rejects {version}",
            )
    assert versions(mesh) == {1}
    good = mesh.roll(
        sample.bundle_toml(11, parent="0" * 64), signers=("akosua", "kwame")
    )
    assert good.returncode == 0, good.stderr
    assert wait_in_force(mesh, 11) < MAX_ROLLOUT_S


def rejected(box):
    """Return how many bundles a box has rejected."""
    return counter_sum(box, 'name="bundles_rejected"')


def counter_sum(box, label):
    """Return the sum of the counters whose line contains the label."""
    lines = [one for one in box_metrics(box) if label in one and "_total" in one]
    return sum(float(line.rsplit(" ", 1)[1]) for line in lines)


def box_metrics(box):
    body = client.fetch(box.address("admin"), "GET", "/metrics").body
    return body.decode().splitlines()


def test_check_command_reports_findings_of_a_bundle(make_fleet):
    mesh = start(make_fleet)
    text = sample.bundle_toml(2).replace("slots = 150", "slots = 0")
    text = text.replace('class_name = "publish"', 'class_name = "nothing"')
    path = mesh.folder / "bad.toml"
    path.write_text(text)
    checked = mesh.run_tool("check", str(path))
    assert checked.returncode == 2
    assert "slots" in checked.stderr


def test_older_bundle_from_a_peer_is_ignored():
    sim = worlds.ledger_world()
    secret = "11" * 32
    key = ed25519.Ed25519PrivateKey.from_private_bytes(bytes.fromhex(secret))
    public = key.public_key().public_bytes_raw().hex()
    core = sim.boxes["north-entry"].core
    core.rollout.signers = (settings.Signer(name="akosua", key=public),)

    def signed(version):
        text = worlds.LEDGER.replace("version = 1", f"version = {version}")
        body = bundles.canonical_body(worlds.parse(text)).decode()
        one = signing.sign(
            signing.SignedBundle(body=body), signer="akosua", secret=secret
        )
        return signing.encode(one)

    for version, expected in ((3, 3), (2, 3), (5, 5), (4, 5), (1, 5)):
        core.rollout.offer(1.0, signed(version), "peer")
        assert core.rollout.version == expected


def test_bundle_digest_depends_on_the_body():
    signed = signing.SignedBundle(body="{}")
    assert signed.digest == signing.SignedBundle(body="{}").digest
    assert signed.digest != signing.SignedBundle(body="{ }").digest
