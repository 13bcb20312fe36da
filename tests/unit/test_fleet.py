from __future__ import annotations

import socket
import subprocess
import sys

import pytest

from ferrydeck import program
from ferrydeck.standins import fleet, port_range

RESERVE_RANGE = """
import sys
from ferrydeck.standins import port_range
held = port_range.claim_ports(int(sys.argv[1]))
print(held is not None, flush=True)
sys.stdin.read()
"""


def test_two_processes_never_allocate_the_same_ports():
    first = port_range.free_port()
    range_start = first - (first - port_range.FIRST_PORT) % port_range.RANGE_SIZE
    process = subprocess.Popen(
        [sys.executable, "-c", RESERVE_RANGE, str(range_start)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    with process:
        assert process.stdout.readline() == "False\n"
        process.stdin.close()


def test_a_reserved_port_range_is_skipped(monkeypatch):
    first = port_range.claim_free_range()
    second = port_range.claim_free_range()
    with first.guard, second.guard:
        assert not set(first.ports) & set(second.ports)


def test_waiting_fails_if_a_daemon_finds_its_port_taken(make_fleet):
    mesh = make_fleet("north")
    with socket.create_server((port_range.IP, 0)) as taken:
        port = taken.getsockname()[1]
        box = mesh.add_box("north-entry", "north", entry=True)
        box.daemon.kill()
        text = box.settings.read_text()
        entry = f"port = {box.ports['entry']}"
        box.settings.write_text(text.replace(entry, f"port = {port}"))
        mesh.restart(box)
        assert box.daemon.popen.wait(fleet.TIMEOUT_S) == program.EXIT_ADDRESS_IN_USE
        assert "address already in use:" in box.daemon.log.read_text()
        with pytest.raises(AssertionError, match="north-entry exited with code 3"):
            mesh.wait_ready(shards=False)


def test_exceptions_are_found_in_the_logs_of_both_daemons(tmp_path):
    lines = [
        '{"time":"t","kind":"request","outcome":"answered","box":"box-1"}',
        '{"time":"t","kind":"exception","outcome":"TypeError","box":"box-1"}',
        "2026-05-17T13:22:02Z ERROR driver: a handler raised TypeError()",
    ]
    log = tmp_path / "daemon.log"
    log.write_text("\n".join(lines))
    mesh = fleet.Fleet.__new__(fleet.Fleet)
    mesh.processes = [fleet.Process(name="daemon", popen=None, log=log)]
    assert mesh.logged_exceptions() == [f"daemon: {line}" for line in lines[1:]]
