"""End-to-end tests of mesh daemons with a stand-in store and stand-in servers."""

from __future__ import annotations

import select
import signal
import socket
import subprocess
import sys

import pytest

from ferrydeck.standins import fleet
from tests.platform import mesh_fleet

BODY_BYTES = 3_000_000
"""Larger than the answers that a daemon forwards unstreamed."""


def start_two(mesh, **server):
    mesh.publish(mesh_fleet.manifest(4))
    boxes = [mesh.add_box(**server) for _ in range(2)]
    mesh.wait_linked()
    return boxes


def exchange(address: str, data: bytes) -> bytes:
    """Send bytes and return everything received until the peer closes."""
    host, port = address.split(":")
    with socket.create_connection((host, int(port)), timeout=10) as conn:
        conn.sendall(data)
        out = b""
        while chunk := conn.recv(65536):
            out += chunk
        return out


def test_requests_are_served_end_to_end(mesh):
    first, second = start_two(mesh)
    for number in range(40):
        answer = first.call(f"/look/{number}?x=y", f"id-{number}")
        assert answer.status == 200
        assert answer.body == b"desk GET /look/%d " % number
        assert answer.fields["x-attempt-id"] == f"id-{number}"
        assert answer.fields["x-response-seal"]
    assert set(first.ran_ids()) & set(second.ran_ids()) == set()
    posted = second.call("/pay/1", "p-1", method="POST", body=b"12.50")
    assert posted.status == 200
    assert posted.body.endswith(b"12.50")
    runs = first.ran_ids() + second.ran_ids()
    assert runs.count("p-1") == 1


def test_chunked_body_is_served(mesh):
    first, _ = start_two(mesh)
    answer = first.call(
        "/pay/2",
        "p-2",
        method="POST",
        body=iter([b"12", b".", b"50"]),
        fields={"Transfer-Encoding": "chunked"},
        chunked=True,
    )
    assert answer.status == 200
    assert answer.body.endswith(b"12.50")


def test_malformed_requests_are_rejected_and_close_the_connection(mesh):
    first, _ = start_two(mesh)
    address = first.address("calls")
    host = b"Host: calls.example\r\n"
    cases = {
        b"GET /look/1 HTTP/1.1\r\n" + host + b"Connection: close\r\n\r\n": b"400",
        b"GET /look/1 HTTP/1.1\n" + host + b"\r\n": b"400",
        b"GET /look/1 HTTP/1.1\r\n" + host + b" folded: 1\r\n\r\n": b"400",
        b"GET /look/1 HTTP/1.1\r\n" + host + b"X: " + b"y" * 5000: b"431",
        b"POST /pay/1 HTTP/1.1\r\n" + host + b"Content-Length: 200000\r\n\r\n": b"413",
        b"POST /pay/1 HTTP/1.1\r\n"
        + host
        + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n": b"400",
        b"GET /look/1 HTTP/1.1\r\n"
        + host
        + b"X-Attempt-Id: a\r\nX-Deadline-Ms: x\r\nConnection: close\r\n\r\n": b"400",
        b"GET /none/1 HTTP/1.1\r\n"
        + host
        + b"X-Attempt-Id: a\r\nConnection: close\r\n\r\n": b"404",
    }
    for data, status in cases.items():
        assert exchange(address, data)[9:12] == status, data[:80]
    assert not {"a"} & set(first.ran_ids())


def test_request_after_a_body_is_parsed_separately(mesh):
    first, second = start_two(mesh)
    head = b"Host: calls.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 2000\r\n"
    data = (
        b"POST /pay/1 HTTP/1.1\r\n" + head % b"s-1" + b"Content-Length: 4\r\n\r\nbody"
    )
    data += b"GET /look/1 HTTP/1.1\r\n" + head % b"s-2" + b"Connection: close\r\n\r\n"
    answers = exchange(first.address("calls"), data)
    assert answers.count(b"HTTP/1.1 200 OK") == 2
    assert answers.index(b"s-1") < answers.index(b"s-2")
    runs = first.ran_ids() + second.ran_ids()
    assert (runs.count("s-1"), runs.count("s-2")) == (1, 1)


def test_daemon_without_a_policy_is_not_ready_and_refuses_requests(mesh):
    box = mesh.add_box()
    fleet.eventually(
        lambda: box.call("/look/1", "a").status == 503, "the request is refused"
    )
    assert not box.ready()
    assert float(box.call("/look/1", "b").fields["retry-after"]) > 0
    mesh.publish(mesh_fleet.manifest(4))
    fleet.eventually(box.ready, "it is ready with a policy")


def test_new_policy_takes_effect_after_the_store_loses_its_history(mesh):
    boxes = start_two(mesh)
    mesh.control("forget")
    mesh.publish(mesh_fleet.manifest(9))
    for box in boxes:
        fleet.eventually(
            lambda box=box: box.metric("ferrydeck_policy_version") == 9,
            "the new policy is in force",
            within_s=2.0,
        )


# Guards against the use of revisions and leases from before the restore of the store:
# the next policy was missed, and box records stayed lost.
def test_new_policy_takes_effect_after_the_store_is_restored(mesh):
    boxes = start_two(mesh)
    mesh.control("copy")
    # The snapshot lacks these revisions, but the daemons hold the last one.
    for version in (6, 7, 9):
        mesh.publish(mesh_fleet.manifest(version))
        wait_in_force(boxes, version)
    third = mesh.add_box()
    mesh.wait_linked()
    mesh.control("restore")
    mesh.publish(mesh_fleet.manifest(12))
    for number in range(40):
        mesh.control("write", f"other/{number}".encode())
    wait_in_force([*boxes, third], 12)
    fleet.eventually(
        lambda: sum("ferrydeck/box/" in key for key in store_keys(mesh)) == 3,
        "all box records are written again",
    )
    eras = [e for box in boxes for e in box.log_lines() if e["kind"] == "store-era"]
    assert [(one["old"], one["era"]) for one in eras] == [(1, 2)] * 2


def wait_in_force(boxes, version: int) -> None:
    fleet.eventually(
        lambda: all(box.metric("ferrydeck_policy_version") == version for box in boxes),
        f"version {version} is in force",
    )


def store_keys(mesh) -> list[str]:
    return mesh.control("state")["keys"]


@pytest.mark.parametrize("fault", ["busy", "silent", "lost"])
def test_requests_are_served_while_the_store_is_faulty(mesh, fault):
    first, _ = start_two(mesh)
    mesh.control("fault", fault.encode())
    for number in range(20):
        assert first.call("/look/1", f"{fault}-{number}").status == 200


def test_killed_daemon_restarts_while_the_store_is_down(mesh):
    first, second = start_two(mesh)
    mesh.control("fault", b"busy")
    second.daemon.kill()
    second.daemon = mesh.start_daemon(2, second.settings)
    fleet.eventually(second.ready, "ready with the policy of the other daemon")
    fleet.eventually(lambda: second.call("/look/1", "back").status == 200, "it serves")
    assert first.call("/look/1", "other").status == 200


def test_draining_server_is_acknowledged_and_gets_no_new_work(mesh):
    first, second = start_two(mesh)
    assert second.control("drain")["acked"]
    before = len(second.ran_ids())
    for number in range(30):
        assert first.call("/look/1", f"d-{number}").status == 200
        assert second.call("/look/1", f"e-{number}").status == 200
    assert len(second.ran_ids()) == before


def test_answer_without_the_response_seal_is_not_forwarded(mesh):
    first, second = start_two(mesh)
    for box in (first, second):
        box.control("mood", b"unsealed")
    assert first.call("/pay/1", "u-1", method="POST", body=b"x").status == 502


def test_posting_with_a_truncated_answer_is_not_retried(mesh):
    first, second = start_two(mesh)
    for box in (first, second):
        box.control("mood", b"cut")
    answer = first.call("/pay/1", "c-1", method="POST", body=b"x")
    assert answer.status == 502
    assert "retry-after" not in answer.fields
    assert (first.ran_ids() + second.ran_ids()).count("c-1") == 1


def test_posting_refused_by_a_server_is_retried_elsewhere(mesh):
    first, second = start_two(mesh)
    first.control("mood", b"shed")
    for number in range(4):
        answer = first.call("/pay/1", f"n-{number}", method="POST", body=b"x")
        assert answer.status in (200, 503)
        if answer.status == 503:
            assert float(answer.fields["retry-after"]) > 0
            assert f"n-{number}" not in first.ran_ids() + second.ran_ids()


def test_planned_stop_answers_running_requests_and_exits_with_zero(mesh):
    first, second = start_two(mesh, work_ms=300)
    conn = socket.create_connection((second.ip, second.ports["calls"]), timeout=10)
    conn.sendall(
        b"GET /look/1 HTTP/1.1\r\nHost: calls.example\r\n"
        b"X-Attempt-Id: t-1\r\nX-Deadline-Ms: 2000\r\n\r\n"
    )
    fleet.eventually(lambda: "t-1" in first.ran_ids() + second.ran_ids(), "it runs")
    second.daemon.signal(signal.SIGTERM)
    fleet.eventually(lambda: not second.ready(), "it is not ready")
    assert conn.recv(65536).startswith(b"HTTP/1.1 200 OK")
    conn.close()
    assert second.daemon.popen.wait(10) == 0


def test_reload_signal_applies_valid_settings_and_rejects_invalid_ones(mesh):
    first, _ = start_two(mesh)
    first.daemon.signal(signal.SIGHUP)

    def reloads() -> list[str]:
        return [one["outcome"] for one in first.log_lines() if one["kind"] == "reload"]

    fleet.eventually(lambda: reloads() == ["taken"], "valid settings are applied")
    first.settings.write_text("box = 5\n")
    first.daemon.signal(signal.SIGHUP)
    fleet.eventually(lambda: reloads()[-1] == "rejected", "settings are rejected")
    assert first.call("/look/1", "still").status == 200


def test_reload_signal_during_startup_imports_does_not_kill_the_process():
    # Sends the signal when the daemon imports its first library.
    program = """
import os, signal, sys

class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == "circuits":
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, Finder())
from ferrydeck import meshd
sys.exit(meshd.main(["--settings", "/nowhere.toml"]))
"""
    result = subprocess.run([sys.executable, "-c", program], capture_output=True)
    assert result.returncode == 2, result.stderr


def test_header_timeout_starts_at_the_first_byte(mesh):
    limits = {"header_timeout": "1s", "idle_timeout": "20s"}
    mesh.publish(mesh_fleet.manifest(4) | {"limits": limits})
    first, second = (mesh.add_box() for _ in range(2))
    mesh.wait_linked()
    del second
    host, port = first.address("calls").split(":")
    request = (
        b"GET /look/1 HTTP/1.1\r\nHost: calls.example\r\n"
        b"X-Attempt-Id: r-1\r\nX-Deadline-Ms: 2000\r\n\r\n"
    )
    with socket.create_connection((host, int(port)), timeout=10) as conn:
        assert stays_silent(conn, 1.5)
        conn.sendall(request[:30])
        assert stays_silent(conn, 0.4)
        conn.sendall(request[30:])
        assert conn.recv(65536).startswith(b"HTTP/1.1 200")
        conn.sendall(request[:30])
        assert conn.recv(65536).startswith(b"HTTP/1.1 408")


def test_long_answer_is_complete_for_a_slow_reader(mesh):
    first, second = start_two(mesh)
    for number in range(4):
        for box in (first, second):
            answer = box.call(f"/look/1?size={BODY_BYTES}", f"long-{box.name}-{number}")
            assert (answer.status, len(answer.body)) == (200, BODY_BYTES)
    host, port = first.address("calls").split(":")
    with socket.socket() as conn:
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        conn.settimeout(10)
        conn.connect((host, int(port)))
        conn.sendall(
            b"GET /look/1?size=%d HTTP/1.1\r\nHost: calls.example\r\n"
            b"X-Attempt-Id: slow\r\nX-Deadline-Ms: 9000\r\n"
            b"Connection: close\r\n\r\n" % BODY_BYTES
        )
        data = conn.recv(1000)
        for _ in range(10):
            data += conn.recv(1000)
            select.select([], [], [], 0.05)
        while chunk := conn.recv(65536):
            data += chunk
    head, _, body = data.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200")
    assert len(body) == BODY_BYTES


def test_incomplete_body_is_refused_and_not_run(mesh):
    limits = {"header_timeout": "500ms", "idle_timeout": "20s"}
    mesh.publish(mesh_fleet.manifest(4) | {"limits": limits})
    boxes = [mesh.add_box() for _ in range(2)]
    mesh.wait_linked()
    host, port = boxes[0].address("calls").split(":")
    with socket.create_connection((host, int(port)), timeout=10) as conn:
        conn.sendall(
            b"POST /pay/1 HTTP/1.1\r\nHost: calls.example\r\nX-Attempt-Id: half\r\n"
            b"X-Deadline-Ms: 5000\r\nContent-Length: 10\r\n\r\n12"
        )
        assert conn.recv(65536).startswith(b"HTTP/1.1 408")
        assert conn.recv(65536) == b""
    assert not [one for box in boxes for one in box.ran_ids() if one == "half"]


def stays_silent(conn: socket.socket, seconds: float) -> bool:
    """Return whether nothing arrives on a connection for the given time."""
    readable, _, _ = select.select([conn], [], [], seconds)
    return not readable


def test_daemon_reports_all_errors_in_its_settings_and_exits(mesh, tmp_path):
    path = tmp_path / "bad.toml"
    path.write_text('box = 5\nip = "here"\nlink_port = 0\n[terms]\ngrace = "six"\n')
    daemon = mesh.spawn("bad", "ferrydeck.meshd", "--settings", str(path))
    assert daemon.popen.wait(20) == 2
    log_text = daemon.log.read_text()
    for word in ("box: expected text", "ip:", "link_port:", "store: is required"):
        assert word in log_text


def test_each_request_has_a_decision_log_line(mesh):
    first, _ = start_two(mesh)
    first.call("/look/1", "told-1")

    def request_lines() -> list[dict[str, object]]:
        return [one for one in first.log_lines() if one.get("id") == "told-1"]

    fleet.eventually(request_lines, "the log line is written")
    [line] = request_lines()
    assert (line["kind"], line["outcome"], line["reason"]) == (
        "request",
        "answered",
        "200",
    )
    assert (line["route"], line["service"], line["version"]) == ("look", "desk", 4)
