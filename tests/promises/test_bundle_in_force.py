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

BOUND_S = 6.0


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


def in_force(mesh, version, names=()):
    """Wait until a version is in force; return how long it took, seconds."""
    begun = time.monotonic()
    what = f"version {version} in force"
    fleet.eventually(lambda: versions(mesh, names) == {version}, what, within_s=BOUND_S)
    return time.monotonic() - begun


def check_trails(mesh, wanted):
    """Check that each box has taken rising versions only, all on its trail."""
    for box in mesh.boxes.values():
        details = [one["detail"] for one in box.audit("bundle-accepted")]
        taken = [int(detail.split()[1]) for detail in details]
        assert taken == sorted(set(taken)), (box.name, taken)
        assert taken[-1] == wanted, (box.name, taken)
        assert all("signed by akosua" in detail for detail in details)


def test_a_roll_is_in_force_at_every_box_in_time(make_fleet):
    mesh = start(make_fleet)
    rolled = mesh.roll(sample.bundle_toml(2, parent=digest_of(mesh)))
    assert rolled.returncode == 0, rolled.stderr
    assert in_force(mesh, 2) < BOUND_S
    check_trails(mesh, 2)


def test_of_two_operators_who_race_one_wins_and_the_other_is_told(make_fleet):
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

    racers = [
        threading.Thread(target=roll, args=("akosua", 5.0)),
        threading.Thread(target=roll, args=("kwame", 6.0)),
    ]
    for racer in racers:
        racer.start()
    for racer in racers:
        racer.join()
    codes = sorted(result.returncode for result in results.values())
    assert codes == [0, 1], results
    winner = next(name for name, one in results.items() if one.returncode == 0)
    loser = next(name for name in results if name != winner)
    assert f"signed by {winner}" in results[loser].stderr
    assert in_force(mesh, 2) < BOUND_S
    winning = results[winner].stdout.split()[3]
    assert {box.status()["bundle_digest"] for box in mesh.boxes.values()} == {winning}


@pytest.mark.parametrize("lost", [1, 2])
def test_a_lost_answer_after_the_write_is_found_to_have_succeeded(make_fleet, lost):
    mesh = start(make_fleet)
    mesh.set_faults(lose_answers=lost)
    rolled = mesh.roll(sample.bundle_toml(2, parent=digest_of(mesh)))
    assert rolled.returncode == 0, rolled.stderr
    assert in_force(mesh, 2) < BOUND_S


def test_a_box_that_starts_while_the_platform_is_out_takes_its_peers_bundle(make_fleet):
    mesh = start(make_fleet)
    mesh.roll(sample.bundle_toml(2, parent=digest_of(mesh)))
    in_force(mesh, 2)
    mesh.set_faults(down=True)
    box = mesh.boxes["south-catalogue"]
    box.daemon.kill()
    mesh.restart(box)
    assert in_force(mesh, 2) < BOUND_S
    sources = [one["detail"] for one in box.audit("bundle-accepted")]
    assert len(sources) == 1 and "from platform" not in sources[0]


def test_a_data_centre_cut_off_from_the_platform_gets_it_from_the_other(make_fleet):
    mesh = start(make_fleet)
    mesh.set_faults(cut_ports=[mesh.platform_ports["south"]])
    mesh.roll(sample.bundle_toml(2, parent=digest_of(mesh)))
    assert in_force(mesh, 2) < BOUND_S
    mesh.set_faults()
    mesh.roll(sample.bundle_toml(3, parent=digest_of(mesh)))
    assert in_force(mesh, 3) < BOUND_S
    check_trails(mesh, 3)


def test_a_platform_that_serves_an_older_bundle_is_ignored(make_fleet):
    mesh = start(make_fleet)
    # From here on the platform can be made to show what it shows now.
    mesh.set_faults(stale=True)
    rolled = mesh.roll(sample.bundle_toml(2, parent=digest_of(mesh)))
    assert rolled.returncode == 0, rolled.stderr
    mesh.set_faults()
    in_force(mesh, 2)
    mesh.set_faults(stale=True)
    box = mesh.boxes["north-catalogue"]
    assert box.daemon.stop() == 0
    others = [one for one in mesh.boxes.values() if one is not box]
    for other in others:
        other.daemon.freeze()
    reads = mesh.platform_counts()["reads"]
    mesh.restart(box)
    # The platform speaks first: its pointer and its bundle are both old.
    fleet.eventually(lambda: mesh.platform_counts()["reads"] > reads + 1, "reads")
    for other in others:
        other.daemon.thaw()
    in_force(mesh, 2)
    check_trails(mesh, 2)
    assert len(box.audit("bundle-accepted")) == 1
    other = mesh.boxes["north-entry"]
    fleet.eventually(lambda: count_of(other, "older-pointer"), "the fault is counted")


def rolled_raw(mesh, raw, version):
    """Write a pointer and a bundle to the platform, past the tool's checks."""
    port = client.PlatformClient(address=mesh.control)
    pointer = port.read(rollout.POINTER).entry
    port.send(platform.Write(key=f"bundle/{version}", value=raw, expected_version=0))
    value = json.dumps({"version": version, "digest": "0" * 64})
    port.send(
        platform.Write(
            key=rollout.POINTER, value=value, expected_version=pointer.version
        )
    )


def test_bundles_that_fail_a_check_are_not_taken(make_fleet):
    mesh = start(make_fleet, signers=("akosua", "kwame"), needed=2)
    text = sample.bundle_toml(2, parent=digest_of(mesh))
    refused = mesh.roll(text, signers=("akosua",))
    assert refused.returncode == 2
    assert "1 valid of 2" in refused.stderr
    signed = mesh.folder / "bundle-1.json"
    one = json.loads(signed.read_text())
    forged = dict(one, signatures=one["signatures"] * 2)
    forged["signatures"][1] = dict(one["signatures"][0], signer="kwame")
    broken = dict(one, body=one["body"].replace('"version":2', '"version":9'))
    for version, bad in ((2, one), (3, forged), (9, broken), (10, {"body": 1})):
        before = {name: rejected(box) for name, box in mesh.boxes.items()}
        rolled_raw(mesh, json.dumps(bad), version)
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
    assert in_force(mesh, 11) < BOUND_S


def rejected(box):
    """Return how many bundles of the platform a box has not taken."""
    return count_of(box, 'name="bundles_rejected"')


def count_of(box, mark):
    """Return the sum of the counters whose line has a mark in it."""
    lines = [one for one in box_metrics(box) if mark in one and "_total" in one]
    return sum(float(line.rsplit(" ", 1)[1]) for line in lines)


def box_metrics(box):
    body = client.fetch(box.address("admin"), "GET", "/metrics").body
    return body.decode().splitlines()


def test_a_bundle_with_findings_is_refused_with_all_of_them(make_fleet):
    mesh = start(make_fleet)
    text = sample.bundle_toml(2).replace("slots = 150", "slots = 0")
    text = text.replace('class_name = "publish"', 'class_name = "nothing"')
    path = mesh.folder / "bad.toml"
    path.write_text(text)
    checked = mesh.run_tool("check", str(path))
    assert checked.returncode == 2
    assert "slots" in checked.stderr


def test_an_older_bundle_is_never_taken_from_anybody():
    made = worlds.ledger_world()
    secret = "11" * 32
    key = ed25519.Ed25519PrivateKey.from_private_bytes(bytes.fromhex(secret))
    public = key.public_key().public_bytes_raw().hex()
    core = made.boxes["north-entry"].core
    core.rollout.signers = (settings.Signer(name="akosua", key=public),)

    def signed(version):
        text = worlds.LEDGER.replace("version = 1", f"version = {version}")
        body = bundles.canonical_body(worlds.parse(text)).decode()
        one = signing.sign(
            signing.SignedBundle(body=body), signer="akosua", secret=secret
        )
        return signing.encode(one)

    for version, wanted in ((3, 3), (2, 3), (5, 5), (4, 5), (1, 5)):
        core.rollout.offer(1.0, signed(version), "peer")
        assert core.rollout.version == wanted


def test_a_signature_is_of_the_body_it_signs():
    signed = signing.SignedBundle(body="{}")
    assert signed.digest == signing.SignedBundle(body="{}").digest
    assert signed.digest != signing.SignedBundle(body="{ }").digest
