"""Planned stops of daemons with answers and queued requests of their callers."""

from __future__ import annotations

import signal
import socket

from ferrydeck.standins import fleet
from tests.platform import mesh_fleet

BODY_BYTES = 250_000
"""More than the kernel holds by itself for a caller that does not read."""
SEGMENT_BYTES = 1400
"""Longest TCP segment, as on a network, where a sender's buffer stays small."""
WORK_MS = 500.0
SLOTS = 2
DEADLINE = "6000ms"
POSTINGS = 24


def slow_caller(box: mesh_fleet.MeshBox, request_id: str) -> socket.socket:
    """Send a request for a long answer, and read nothing of it."""
    conn = socket.socket()
    conn.settimeout(10)
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    conn.connect((box.ip, box.ports["calls"]))
    conn.sendall(
        f"GET /look/1?size={BODY_BYTES} HTTP/1.1\r\nHost: {mesh_fleet.HOST}\r\n"
        f"X-Attempt-Id: {request_id}\r\nX-Deadline-Ms: 9000\r\n\r\n".encode()
    )
    return conn


def answered(box: mesh_fleet.MeshBox, request_id: str) -> bool:
    lines = [one for one in box.log_lines() if one.get("id") == request_id]
    return any(one["outcome"] == "answered" for one in lines)


def read_to_end(conn: socket.socket) -> bytes:
    data = b""
    while part := conn.recv(65536):
        data += part
    return data


# Guards against answers that are cut off at a planned stop: the process ended while
# bytes that it had buffered for callers were unsent.
def test_an_answer_that_is_read_slowly_outlives_the_process(mesh):
    mesh.publish(mesh_fleet.manifest(4))
    boxes = [mesh.add_box() for _ in range(2)]
    mesh.wait_linked()
    conns = [slow_caller(boxes[1], f"slow-{number}") for number in range(4)]
    for number in range(4):
        fleet.eventually(
            lambda number=number: answered(boxes[1], f"slow-{number}"), "it is answered"
        )
    boxes[1].daemon.signal(signal.SIGTERM)
    assert boxes[1].daemon.popen.wait(10) == 0
    for conn in conns:
        head, _, body = read_to_end(conn).partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200")
        assert len(body) == BODY_BYTES
        conn.close()
