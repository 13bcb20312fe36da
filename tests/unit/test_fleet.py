from __future__ import annotations

import socket
import subprocess
import sys

import pytest

from ferrydeck import program
from ferrydeck.standins import fleet, port_range

HOLDER = """
import sys
from ferrydeck.standins import port_range
held = port_range.claim_ports(int(sys.argv[1]))
print(held is not None, flush=True)
sys.stdin.read()
"""


def test_two_processes_never_hand_out_the_same_ports():
    first = port_range.free_port()
    begins = first - (first - port_range.FIRST_PORT) % port_range.RANGE_SIZE
    other = subprocess.Popen(
        [sys.executable, "-c", HOLDER, str(begins)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    with other:
        assert other.stdout.readline() == "False\n"
        other.stdin.close()


def test_a_range_that_is_held_is_passed_over(monkeypatch):
    one = port_range.claim_free_range()
    two = port_range.claim_free_range()
    with one.guard, two.guard:
        assert not set(one.ports) & set(two.ports)


def test_a_fleet_whose_daemon_found_its_port_taken_is_not_ready(make_fleet):
    ours = make_fleet("north")
    with socket.create_server((port_range.IP, 0)) as taken:
        port = taken.getsockname()[1]
        box = ours.add_box("north-entry", "north", entry=True)
        box.daemon.kill()
        text = box.settings.read_text()
        entry = f"port = {box.ports['entry']}"
        box.settings.write_text(text.replace(entry, f"port = {port}"))
        ours.restart(box)
        assert box.daemon.popen.wait(fleet.TIMEOUT_S) == program.EXIT_ADDRESS_IN_USE
        assert "address already in use:" in box.daemon.log.read_text()
        with pytest.raises(AssertionError, match="north-entry exited with code 3"):
            ours.wait_ready(shards=False)


def test_a_handler_that_raised_is_found_in_the_logs_of_both_daemons(tmp_path):
    lines = [
        '{"time":"t","kind":"request","outcome":"answered","box":"box-1"}',
        '{"time":"t","kind":"exception","outcome":"TypeError","box":"box-1"}',
        "2026-05-17T13:22:02Z ERROR driver: a handler raised TypeError()",
    ]
    log = tmp_path / "daemon.log"
    log.write_text("\n".join(lines))
    made = fleet.Fleet.__new__(fleet.Fleet)
    made.processes = [fleet.Process(name="daemon", popen=None, log=log)]
    assert made.logged_exceptions() == [f"daemon: {line}" for line in lines[1:]]
