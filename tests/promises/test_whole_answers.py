from __future__ import annotations

import http.client
import random
import socket
import threading

import pytest

from ferrydeck.commands import client
from ferrydeck.signed.core import headers
from ferrydeck.signed.wire import messages
from ferrydeck.standins import fleet, sample, target
from tests import worlds

AUDIO_BYTES = 3_000_000


def start(make_fleet, **services):
    mesh = make_fleet("north")
    entry = mesh.add_box("entry", "north", entry=True)
    for service, count in services.items():
        for number in range(count):
            name = f"{service.replace('_', '-')}"
            mesh.add_box(f"{name}-{number}", "north", service=name)
    rolled = mesh.roll(sample.bundle_toml())
    assert rolled.returncode == 0, rolled.stderr
    mesh.wait_ready()
    return mesh, entry


@pytest.mark.parametrize("seed", range(6))
def test_delayed_duplicated_and_reordered_answers_reach_the_right_callers(seed):
    sim = worlds.sample_world(seed)
    sim.add_box("entry", "north")
    for number in range(3):
        name = f"catalogue-{number}"
        sim.add_box(name, "north", service="catalogue", slots=100)
    sim.run(2)
    rng = random.Random(seed)
    faults = sim.faults
    faults.delay_ratio, faults.max_delay_s = 0.4, 1.0
    faults.duplicate_ratio, faults.loss_ratio = 0.3, 0.05
    for number in range(500):
        if number % 100 == 50:
            sim.restart(f"catalogue-{rng.randrange(3)}")
        path = f"/catalogue/shows/{number}?ms={rng.choice([1, 30])}"
        sim.call("entry", "GET", path, deadline_ms=rng.choice([50, 400]))
        sim.run(rng.uniform(0, 0.02))
    sim.run(5)
    done = [call for call in sim.calls if call.outcome == "done"]
    assert len(done) > 200
    for call in done:
        expected_body = call.path.removeprefix("/catalogue").encode() + b" "
        assert call.answer.body == expected_body
    assert all(call.outcome for call in sim.calls)


def test_answer_from_an_unexpected_box_is_dropped():
    sim = worlds.sample_world(1)
    sim.add_box("entry", "north")
    sim.add_box("catalogue", "north", service="catalogue", slots=10)
    sim.add_box("other", "north", service="membership", slots=10)
    sim.run(2)
    call = sim.call("entry", "GET", "/catalogue/shows/1?ms=200")
    sim.run(0.01)
    forwarder = sim.boxes["entry"].core.forwarder
    attempt = next(iter(forwarder.attempts.by_attempt))
    foreign = messages.Answer(
        attempt=attempt,
        status=200,
        headers=(),
        body=b"foreign",
        total=7,
        unused=0,
        load=messages.Load(),
    )
    other = sim.boxes["other"]
    peer = other.core.members.peers["entry"]
    other.core.members.send(peer, foreign)
    sim.run(1)
    assert call.answer.body == b"/shows/1?ms=200 "


def test_concurrent_callers_get_their_own_complete_answers(make_fleet):
    mesh, entry = start(make_fleet, catalogue=2)
    mismatches = []

    def send(caller):
        conn = http.client.HTTPConnection("127.0.0.1", entry.ports["entry"], timeout=10)
        for number in range(50):
            request_id = f"{caller}-{number}"
            path = f"/catalogue/shows/{request_id}?id={request_id}&ms={number % 7}"
            conn.request("GET", path)
            answer = conn.getresponse()
            body = answer.read()
            if answer.status != 200 or f'"id":"{request_id}"'.encode() not in body:
                mismatches.append((request_id, answer.status, body))
        conn.close()

    callers = [threading.Thread(target=send, args=(number,)) for number in range(16)]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    assert mismatches == []


def read_answers(sock, count):
    """Read `count` answers with a Content-Length from a socket."""
    file = sock.makefile("rb")
    answers = []
    for _ in range(count):
        status = int(file.readline().split()[1])
        length = 0
        while (line := file.readline().strip()) != b"":
            name, _, value = line.partition(b":")
            if name.lower() == b"content-length":
                length = int(value)
        answers.append((status, file.read(length)))
    return answers


def test_pipelined_requests_are_answered_in_order(make_fleet):
    mesh, entry = start(make_fleet, catalogue=1)
    address = ("127.0.0.1", entry.ports["entry"])
    with socket.create_connection(address, timeout=10) as sock:
        for number in range(5):
            path = f"/catalogue/shows/{number}?ms={(5 - number) * 100}&id=p{number}"
            sock.sendall(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            if number == 0:
                effects = mesh.boxes["catalogue-0"].effects
                fleet.eventually(effects, "the first request is running")
        answers = read_answers(sock, 5)
    assert [status for status, _ in answers] == [200] * 5
    for number, (_, body) in enumerate(answers):
        assert f'"id":"p{number}"'.encode() in body


BAD_REQUESTS = {
    "no http": (b"hello\r\n\r\n", 400),
    "bad version": (b"GET / HTTP/3.7\r\n\r\n", 400),
    "bad length": (b"POST /a HTTP/1.1\r\nContent-Length: abc\r\n\r\n", 400),
    "two lengths": (
        b"POST /a HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
        400,
    ),
    "length and chunked": (
        b"POST /a HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
        411,
    ),
    "too large": (b"POST /a HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", 413),
    "no header": (b"GET /a HTTP/1.1\r\nwhat is this\r\n\r\n", 400),
    "head too long": (b"GET /a HTTP/1.1\r\nx: " + b"y" * 40_000, 431),
    "over the route's bound": (
        b"POST /payments-ledger/postings HTTP/1.1\r\nIdempotency-Key: k\r\n"
        b"Content-Length: 300000\r\n\r\n" + b"z" * 300_000,
        413,
    ),
    "no key": (
        b"POST /payments-ledger/postings HTTP/1.1\r\nContent-Length: 1\r\n\r\nz",
        400,
    ),
    "unknown service": (b"GET /nothing/here HTTP/1.1\r\n\r\n", 404),
    "unknown path": (b"GET /payments-ledger/here HTTP/1.1\r\n\r\n", 404),
    "odd escapes": (b"GET /payments-ledger/%zz%00 HTTP/1.1\r\n\r\n", 404),
    "bad deadline": (
        b"GET /payments-ledger/balances HTTP/1.1\r\n"
        b"Ferrydeck-Deadline-Ms: soon\r\n\r\n",
        400,
    ),
}


def test_malformed_requests_are_rejected_without_side_effects(make_fleet):
    mesh, entry = start(make_fleet, payments_ledger=1)
    for name, (data, status) in BAD_REQUESTS.items():
        with socket.create_connection(("127.0.0.1", entry.ports["entry"])) as sock:
            sock.sendall(data)
            [(actual, body)] = read_answers(sock, 1)
        assert actual == status, (name, actual, body)
        assert body.startswith(b"not-run"), name
    path = "/payments-ledger/balances"
    assert client.fetch(entry.address("entry"), "GET", path).status == 200
    assert mesh.effects() == {}


def test_interrupted_body_resumes_at_another_box_or_closes_the_connection(make_fleet):
    mesh, entry = start(make_fleet, audio_delivery=2)
    expected_body = target.numbered_body(AUDIO_BYTES)
    path = f"/audio-delivery/episodes/1?size={AUDIO_BYTES}"
    for box in mesh.boxes.values():
        if box.service:
            box.configure_target(break_after=1_000_000)
    answer = client.fetch(entry.address("entry"), "GET", path)
    # Each box closes the connection after 1 MB, so the body arrives in three parts.
    assert answer.body == expected_body
    for box in mesh.boxes.values():
        if box.service:
            box.configure_target(break_after=300_000)
    with pytest.raises((http.client.IncompleteRead, ConnectionError)):
        client.fetch(entry.address("entry"), "GET", path)


def test_download_resumes_at_another_box_after_a_crash(make_fleet):
    mesh, entry = start(make_fleet, audio_delivery=2)
    size = 20_000_000
    for box in mesh.boxes.values():
        if box.service:
            # The stand-in server caches a body of this size.
            client.fetch(box.address("target"), "GET", f"/episodes/1?size={size}")
    conn = http.client.HTTPConnection("127.0.0.1", entry.ports["entry"], timeout=20)
    conn.request("GET", f"/audio-delivery/episodes/1?size={size}")
    answer = conn.getresponse()
    body = answer.read(1_000_000)
    serving = mesh.boxes[answer.headers[headers.BOX]]
    serving.daemon.kill()
    body += answer.read()
    assert body == target.numbered_body(size)
