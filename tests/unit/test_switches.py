from __future__ import annotations

from ferrydeck.config import findings
from ferrydeck.mesh import settings

SETTINGS = """
box = "box-1"
data_centre = "hall"
region = "coast"
ip = "10.0.0.1"
service = "desk"
target = "10.0.0.1:80"
calls = "10.0.0.1:81"
ready = "10.0.0.1:82"
reports = "10.0.0.1:83"
store = "10.0.0.9:84"
link_port = 7000
metrics_port = 9464
"""


def loaded(tmp_path, more: str = "") -> settings.Settings | findings.Rejected:
    path = tmp_path / "daemon.toml"
    path.write_text(SETTINGS + more)
    return settings.load(str(path))


def test_all_mechanisms_are_enabled_by_default(tmp_path):
    tuning = settings.read_switches(loaded(tmp_path))
    assert tuning.price_slots
    assert tuning.compress_far


def test_a_mechanism_can_be_disabled(tmp_path):
    cfg = loaded(tmp_path, "[tuning]\nprice_slots = false\n")
    assert not settings.read_switches(cfg).price_slots
    assert settings.read_switches(cfg).pass_rank_on


def test_invalid_switches_are_reported_with_their_keys(tmp_path):
    more = "[tuning]\nprise_slots = false\ncompress_far = 1\n"
    rejected = loaded(tmp_path, more)
    assert isinstance(rejected, findings.Rejected)
    assert "tuning.compress_far" in str(rejected)
    more = "[tuning]\nprise_slots = false\n"
    assert "price_slots" in str(loaded(tmp_path, more))
