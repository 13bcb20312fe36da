from __future__ import annotations

import attrs
import pytest

from ferrydeck.config import findings
from ferrydeck.signed import bundle as bundles
from ferrydeck.signed import daemon, settings, signing
from ferrydeck.standins import sample
from tests import worlds

GOOD = f"""
cluster = "test"
box = "box-1"
data_centre = "north"
ip = "127.0.0.1"
[peer]
port = 9000
call_port = 9001
[admin]
port = 9100
[platform]
address = "127.0.0.1:7000"
[[signers]]
name = "akosua"
key = "{"0" * 64}"
"""


def load(tmp_path, text):
    path = tmp_path / "box.toml"
    path.write_text(text)
    return settings.load(str(path))


def keys_of(rejected):
    assert isinstance(rejected, findings.Rejected)
    return [finding.key for finding in rejected.findings]


def test_valid_settings_are_loaded(tmp_path):
    cfg = load(tmp_path, GOOD)
    assert cfg.box == "box-1"
    assert cfg.entry is None
    assert cfg.signers[0].name == "akosua"


def test_all_findings_are_reported_with_key_and_reason(tmp_path):
    text = GOOD.replace("port = 9100", "port = 9000").replace("7000", "x")
    text = text.replace('box = "box-1"', 'bix = "box-1"')
    rejected = load(tmp_path, text)
    assert keys_of(rejected) == ["bix", "box", "platform.address"]
    assert "'box'" in rejected.findings[0].reason
    assert str(tmp_path) in str(rejected)


def test_inconsistent_keys_are_reported(tmp_path):
    text = GOOD.replace("port = 9100", "port = 9000")
    text = text.replace('ip = "127', 'signatures_needed = 2\nip = "127')
    assert keys_of(load(tmp_path, text)) == ["admin.port", "signatures_needed"]


@pytest.mark.parametrize("text", ["box = ", "\xff", 'box = "a"\nbox = "b"'])
def test_invalid_toml_is_reported(tmp_path, text):
    assert keys_of(load(tmp_path, text)) == ["(file)"]


def test_check_validates_without_starting(tmp_path, capsys):
    path = tmp_path / "box.toml"
    path.write_text(GOOD.replace("ip =", "ipp ="))
    assert daemon.main(["--settings", str(path), "--check"]) == 2
    assert "ipp" in capsys.readouterr().err
    path.write_text(GOOD)
    assert daemon.main(["--settings", str(path), "--check"]) == 0


def load_bundle(tmp_path, text):
    path = tmp_path / "bundle.toml"
    path.write_text(text)
    return bundles.load(str(path))


def test_inconsistent_bundle_entries_are_reported(tmp_path):
    text = sample.bundle_toml()
    text = text.replace('class_name = "publish"', 'class_name = "nothing"')
    text = text.replace('name = "catalogue"', 'name = "membership"')
    reasons = [str(one) for one in load_bundle(tmp_path, text).findings]
    assert len(reasons) == 3
    assert "'membership' is a duplicate" in reasons[0]
    assert "unknown service 'catalogue'" in reasons[1]
    assert "unknown class 'nothing'" in reasons[2]


def test_a_get_route_must_be_repeatable(tmp_path):
    text = worlds.LEDGER.replace('method = "POST"', 'method = "GET"')
    [finding] = load_bundle(tmp_path, text).findings
    assert finding.key == "routes[0].repeatable"


def test_the_canonical_form_round_trips():
    bundle = worlds.parse(sample.bundle_toml())
    signed = signing.SignedBundle(body=bundles.canonical_body(bundle).decode())
    verified = signing.verify(signing.encode(signed), signers=(), needed=0, name="test")
    assert verified.bundle == bundle
    assert verified.digest == bundles.digest_of(bundles.canonical_body(bundle))


def test_a_body_that_is_not_canonical_is_rejected():
    body = bundles.canonical_body(worlds.parse(worlds.LEDGER)).decode()
    signed = signing.SignedBundle(body=body.replace(":", ": "))
    rejected = signing.verify(signing.encode(signed), signers=(), needed=0, name="test")
    assert keys_of(rejected) == ["body"]


def test_the_quarantine_includes_window_deadline_and_lease():
    bundle = worlds.parse(worlds.LEDGER)
    assert bundle.quarantine_s == 3 + 1 + 2
    longer = attrs.evolve(bundle, once=attrs.evolve(bundle.once, lease_s=10))
    assert longer.quarantine_s == 3 + 1 + 10
