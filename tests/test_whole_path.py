from __future__ import annotations

from ferrydeck.commands import client
from ferrydeck.signed.core import headers
from ferrydeck.standins import sample


def test_posting_is_served_once_end_to_end_by_separate_processes(make_fleet):
    mesh = make_fleet("north", "south")
    entry = mesh.add_box("north-entry", "north", entry=True)
    mesh.add_box("north-ledger", "north", service="payments-ledger")
    mesh.add_box("south-ledger", "south", service="payments-ledger")
    rolled = mesh.roll(sample.bundle_toml())
    assert rolled.returncode == 0, rolled.stderr
    mesh.wait_ready()

    for _ in range(2):
        answer = client.fetch(
            entry.address("entry"),
            "POST",
            "/payments-ledger/postings/7",
            body=b"12.50",
            headers={headers.IDEMPOTENCY_KEY: "posting-7"},
        )
        assert answer.status == 200
        assert answer.headers[headers.OUTCOME] == "done"
        assert b'"key":"posting-7"' in answer.body

    assert mesh.effects() == {"posting-7": 1}
    assert [box.daemon.stop() for box in mesh.boxes.values()] == [0, 0, 0]
