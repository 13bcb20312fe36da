"""The daemons of the platform as processes, with stand-ins for store and servers."""

from __future__ import annotations

import select
import signal
import socket
import subprocess
import sys

import pytest

from ferrydeck.standins import fleet
from tests.platform import mesh_fleet

LONG = 3_000_000
"""Length of a long answer, bytes: far over what is handed on whole."""


@pytest.fixture
def mesh(tmp_path):
    made = mesh_fleet.MeshFleet(tmp_path)
    yield made
    made.close()
    assert made.logged_exceptions() == []


def two_boxes(mesh, **server):
    mesh.use(mesh_fleet.manifest(4))
    boxes = [mesh.add_box(**server) for _ in range(2)]
    mesh.wait_linked()
    return boxes


def exchange(address: str, data: bytes) -> bytes:
    """Send bytes and return all that comes until the other side closes."""
    host, port = address.split(":")
    with socket.create_connection((host, int(port)), timeout=10) as conn:
        conn.sendall(data)
        out = b""
        while part := conn.recv(65536):
            out += part
        return out


def test_requests_are_served_end_to_end(mesh):
    first, second = two_boxes(mesh)
    for number in range(40):
        answer = first.call(f"/look/{number}?x=y", f"id-{number}")
        assert answer.status == 200
        assert answer.body == b"desk GET /look/%d " % number
        assert answer.fields["x-attempt-id"] == f"id-{number}"
        assert answer.fields["x-response-seal"]
    assert set(first.ran()) & set(second.ran()) == set()
    posted = second.call("/pay/1", "p-1", method="POST", body=b"12.50")
    assert posted.status == 200
    assert posted.body.endswith(b"12.50")
    runs = first.ran() + second.ran()
    assert runs.count("p-1") == 1


def test_a_body_in_chunks_is_served(mesh):
    first, _ = two_boxes(mesh)
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


def test_bad_input_is_refused_and_closes(mesh):
    first, _ = two_boxes(mesh)
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
    assert not {"a"} & set(first.ran())


def test_a_request_smuggled_behind_a_body_is_a_request_of_its_own(mesh):
    first, second = two_boxes(mesh)
    head = b"Host: calls.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 2000\r\n"
    data = (
        b"POST /pay/1 HTTP/1.1\r\n" + head % b"s-1" + b"Content-Length: 4\r\n\r\nbody"
    )
    data += b"GET /look/1 HTTP/1.1\r\n" + head % b"s-2" + b"Connection: close\r\n\r\n"
    answers = exchange(first.address("calls"), data)
    assert answers.count(b"HTTP/1.1 200 OK") == 2
    assert answers.index(b"s-1") < answers.index(b"s-2")
    runs = first.ran() + second.ran()
    assert (runs.count("s-1"), runs.count("s-2")) == (1, 1)


def test_without_a_policy_a_daemon_is_not_ready_and_refuses(mesh):
    box = mesh.add_box()
    fleet.eventually(
        lambda: box.call("/look/1", "a").status == 503, "it refuses as not run"
    )
    assert not box.ready()
    assert float(box.call("/look/1", "b").fields["retry-after"]) > 0
    mesh.use(mesh_fleet.manifest(4))
    fleet.eventually(box.ready, "it is ready with a policy")


def test_a_new_policy_is_in_force_everywhere_also_when_history_is_forgotten(mesh):
    boxes = two_boxes(mesh)
    mesh.control("forget")
    mesh.use(mesh_fleet.manifest(9))
    for box in boxes:
        fleet.eventually(
            lambda box=box: box.metric("ferrydeck_policy_version") == 9,
            "the new policy is in force",
            within_s=2.0,
        )


# Guards against revisions and leases of the store's history before its return from a
# copy: the next policy was missed, and records stayed lost.
def test_a_new_policy_is_in_force_after_the_store_came_back_from_a_copy(mesh):
    boxes = two_boxes(mesh)
    mesh.control("copy")
    # Revisions that the copy doesn't have: the daemons hold the last of them.
    for version in (6, 7, 9):
        mesh.use(mesh_fleet.manifest(version))
        in_force(boxes, version)
    third = mesh.add_box()
    mesh.wait_linked()
    mesh.control("restore")
    mesh.use(mesh_fleet.manifest(12))
    for number in range(40):
        mesh.control("write", f"other/{number}".encode())
    in_force([*boxes, third], 12)
    fleet.eventually(
        lambda: sum("ferrydeck/box/" in key for key in keys_held(mesh)) == 3,
        "all records are back",
    )
    eras = [one for box in boxes for one in box.lines() if one["kind"] == "store-era"]
    assert [(one["old"], one["era"]) for one in eras] == [(1, 2)] * 2


def in_force(boxes, version: int) -> None:
    fleet.eventually(
        lambda: all(box.metric("ferrydeck_policy_version") == version for box in boxes),
        f"version {version} is in force",
    )


def keys_held(mesh) -> list[str]:
    return mesh.control("state")["keys"]


@pytest.mark.parametrize("fault", ["busy", "silent", "lost"])
def test_requests_are_served_while_the_store_is_faulty(mesh, fault):
    first, _ = two_boxes(mesh)
    mesh.control("fault", fault.encode())
    for number in range(20):
        assert first.call("/look/1", f"{fault}-{number}").status == 200


def test_a_daemon_that_was_killed_comes_back_while_the_store_is_down(mesh):
    first, second = two_boxes(mesh)
    mesh.control("fault", b"busy")
    second.daemon.kill()
    second.daemon = mesh.start_daemon(2, second.settings)
    fleet.eventually(second.ready, "it takes the policy from the other daemon")
    fleet.eventually(lambda: second.call("/look/1", "back").status == 200, "it serves")
    assert first.call("/look/1", "other").status == 200


def test_a_leaving_server_is_acknowledged_and_gets_no_new_work(mesh):
    first, second = two_boxes(mesh)
    assert second.control("drain")["acked"]
    before = len(second.ran())
    for number in range(30):
        assert first.call("/look/1", f"d-{number}").status == 200
        assert second.call("/look/1", f"e-{number}").status == 200
    assert len(second.ran()) == before


def test_an_answer_without_the_servers_mark_is_not_passed_on(mesh):
    first, second = two_boxes(mesh)
    for box in (first, second):
        box.control("mood", b"unsealed")
    assert first.call("/pay/1", "u-1", method="POST", body=b"x").status == 502


def test_a_posting_whose_answer_is_cut_is_not_sent_again(mesh):
    first, second = two_boxes(mesh)
    for box in (first, second):
        box.control("mood", b"cut")
    answer = first.call("/pay/1", "c-1", method="POST", body=b"x")
    assert answer.status == 502
    assert "retry-after" not in answer.fields
    assert (first.ran() + second.ran()).count("c-1") == 1


def test_a_posting_that_a_server_did_not_run_is_sent_to_the_other(mesh):
    first, second = two_boxes(mesh)
    first.control("mood", b"shed")
    for number in range(4):
        answer = first.call("/pay/1", f"n-{number}", method="POST", body=b"x")
        assert answer.status in (200, 503)
        if answer.status == 503:
            assert float(answer.fields["retry-after"]) > 0
            assert f"n-{number}" not in first.ran() + second.ran()


def test_a_planned_stop_ends_with_zero_and_answers_what_came_before(mesh):
    first, second = two_boxes(mesh, work_ms=300)
    conn = socket.create_connection((second.ip, second.ports["calls"]), timeout=10)
    conn.sendall(
        b"GET /look/1 HTTP/1.1\r\nHost: calls.example\r\n"
        b"X-Attempt-Id: t-1\r\nX-Deadline-Ms: 2000\r\n\r\n"
    )
    fleet.eventually(lambda: "t-1" in first.ran() + second.ran(), "the request runs")
    second.daemon.signal(signal.SIGTERM)
    fleet.eventually(lambda: not second.ready(), "it is not ready any more")
    assert conn.recv(65536).startswith(b"HTTP/1.1 200 OK")
    conn.close()
    assert second.daemon.popen.wait(10) == 0


def test_a_signal_to_reload_takes_what_can_change_and_keeps_the_process(mesh):
    first, _ = two_boxes(mesh)
    first.daemon.signal(signal.SIGHUP)

    def reloads() -> list[str]:
        return [one["outcome"] for one in first.lines() if one["kind"] == "reload"]

    fleet.eventually(lambda: reloads() == ["taken"], "the settings are read again")
    first.settings.write_text("box = 5\n")
    first.daemon.signal(signal.SIGHUP)
    fleet.eventually(lambda: reloads()[-1] == "rejected", "bad ones are kept out")
    assert first.call("/look/1", "still").status == 200


def test_a_signal_to_reload_while_the_libraries_load_does_not_end_the_process():
    # The first library that the daemon loads has the signal sent.
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
    done = subprocess.run([sys.executable, "-c", program], capture_output=True)
    assert done.returncode == 2, done.stderr


def test_the_time_for_a_head_runs_from_its_first_byte(mesh):
    limits = {"header_timeout": "1s", "idle_timeout": "20s"}
    mesh.use(mesh_fleet.manifest(4) | {"limits": limits})
    first, second = (mesh.add_box() for _ in range(2))
    mesh.wait_linked()
    del second
    host, port = first.address("calls").split(":")
    request = (
        b"GET /look/1 HTTP/1.1\r\nHost: calls.example\r\n"
        b"X-Attempt-Id: r-1\r\nX-Deadline-Ms: 2000\r\n\r\n"
    )
    with socket.create_connection((host, int(port)), timeout=10) as conn:
        assert rested(conn, 1.5)
        conn.sendall(request[:30])
        assert rested(conn, 0.4)
        conn.sendall(request[30:])
        assert conn.recv(65536).startswith(b"HTTP/1.1 200")
        conn.sendall(request[:30])
        assert conn.recv(65536).startswith(b"HTTP/1.1 408")


def test_a_long_answer_comes_whole_also_to_a_slow_reader(mesh):
    first, second = two_boxes(mesh)
    for number in range(4):
        for box in (first, second):
            answer = box.call(f"/look/1?size={LONG}", f"long-{box.name}-{number}")
            assert (answer.status, len(answer.body)) == (200, LONG)
    host, port = first.address("calls").split(":")
    with socket.socket() as conn:
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        conn.settimeout(10)
        conn.connect((host, int(port)))
        conn.sendall(
            b"GET /look/1?size=%d HTTP/1.1\r\nHost: calls.example\r\n"
            b"X-Attempt-Id: slow\r\nX-Deadline-Ms: 9000\r\n"
            b"Connection: close\r\n\r\n" % LONG
        )
        data = conn.recv(1000)
        for _ in range(10):
            data += conn.recv(1000)
            select.select([], [], [], 0.05)
        while part := conn.recv(65536):
            data += part
    head, _, body = data.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200")
    assert len(body) == LONG


def test_a_body_that_stops_midway_is_refused_and_runs_nowhere(mesh):
    limits = {"header_timeout": "500ms", "idle_timeout": "20s"}
    mesh.use(mesh_fleet.manifest(4) | {"limits": limits})
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
    assert not [one for box in boxes for one in box.ran() if one == "half"]


def rested(conn: socket.socket, seconds: float) -> bool:
    """Wait that nothing comes on a connection for some time."""
    readable, _, _ = select.select([conn], [], [], seconds)
    return not readable


def test_settings_with_findings_end_the_daemon_with_all_of_them(mesh, tmp_path):
    path = tmp_path / "bad.toml"
    path.write_text('box = 5\nip = "here"\nlink_port = 0\n[terms]\ngrace = "six"\n')
    daemon = mesh.spawn("bad", "ferrydeck.meshd", "--settings", str(path))
    assert daemon.popen.wait(20) == 2
    told = daemon.log.read_text()
    for word in ("box: expected text", "ip:", "link_port:", "store: is required"):
        assert word in told


def test_each_request_has_its_line_with_what_decided(mesh):
    first, _ = two_boxes(mesh)
    first.call("/look/1", "told-1")

    def told() -> list[dict[str, object]]:
        return [one for one in first.lines() if one.get("id") == "told-1"]

    fleet.eventually(told, "the line is written")
    [line] = told()
    assert (line["kind"], line["outcome"], line["reason"]) == (
        "request",
        "answered",
        "200",
    )
    assert (line["route"], line["service"], line["version"]) == ("look", "desk", 4)
