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

AUDIO = 3_000_000


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
def test_late_doubled_and_reordered_answers_reach_their_own_callers_only(seed):
    made = worlds.sample_world(seed)
    made.add_box("entry", "north")
    for number in range(3):
        name = f"catalogue-{number}"
        made.add_box(name, "north", service="catalogue", slots=100)
    made.run(2)
    rng = random.Random(seed)
    faults = made.faults
    faults.delay_ratio, faults.max_delay_s = 0.4, 1.0
    faults.duplicate_ratio, faults.loss_ratio = 0.3, 0.05
    for number in range(500):
        if number % 100 == 50:
            made.restart(f"catalogue-{rng.randrange(3)}")
        path = f"/catalogue/shows/{number}?ms={rng.choice([1, 30])}"
        made.call("entry", "GET", path, deadline_ms=rng.choice([50, 400]))
        made.run(rng.uniform(0, 0.02))
    made.run(5)
    done = [call for call in made.calls if call.outcome == "done"]
    assert len(done) > 200
    for call in done:
        own = call.path.removeprefix("/catalogue").encode() + b" "
        assert call.answer.body == own
    assert all(call.outcome for call in made.calls)


def test_an_answer_of_another_box_or_process_is_dropped():
    made = worlds.sample_world(1)
    made.add_box("entry", "north")
    made.add_box("catalogue", "north", service="catalogue", slots=10)
    made.add_box("other", "north", service="membership", slots=10)
    made.run(2)
    call = made.call("entry", "GET", "/catalogue/shows/1?ms=200")
    made.run(0.01)
    forwarder = made.boxes["entry"].core.forwarder
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
    other = made.boxes["other"]
    peer = other.core.members.peers["entry"]
    other.core.members.send(peer, foreign)
    made.run(1)
    assert call.answer.body == b"/shows/1?ms=200 "


def test_many_real_callers_get_their_own_whole_answers(make_fleet):
    mesh, entry = start(make_fleet, catalogue=2)
    wrong = []

    def send(caller):
        conn = http.client.HTTPConnection("127.0.0.1", entry.ports["entry"], timeout=10)
        for number in range(50):
            mark = f"{caller}-{number}"
            path = f"/catalogue/shows/{mark}?id={mark}&ms={number % 7}"
            conn.request("GET", path)
            answer = conn.getresponse()
            body = answer.read()
            if answer.status != 200 or f'"id":"{mark}"'.encode() not in body:
                wrong.append((mark, answer.status, body))
        conn.close()

    callers = [threading.Thread(target=send, args=(number,)) for number in range(16)]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    assert wrong == []


def read_answers(sock, count):
    """Read so many answers with a length from a socket."""
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


def test_pipelined_requests_are_answered_in_their_order(make_fleet):
    mesh, entry = start(make_fleet, catalogue=1)
    address = ("127.0.0.1", entry.ports["entry"])
    with socket.create_connection(address, timeout=10) as sock:
        for number in range(5):
            path = f"/catalogue/shows/{number}?ms={(5 - number) * 100}&id=p{number}"
            sock.sendall(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            if number == 0:
                works = mesh.boxes["catalogue-0"].effects
                fleet.eventually(works, "the first is being served")
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


def test_bad_requests_get_a_clear_answer_and_lose_nothing(make_fleet):
    mesh, entry = start(make_fleet, payments_ledger=1)
    for name, (data, status) in BAD_REQUESTS.items():
        with socket.create_connection(("127.0.0.1", entry.ports["entry"])) as sock:
            sock.sendall(data)
            [(got, body)] = read_answers(sock, 1)
        assert got == status, (name, got, body)
        assert body.startswith(b"not-run"), name
    path = "/payments-ledger/balances"
    assert client.fetch(entry.address("entry"), "GET", path).status == 200
    assert mesh.effects() == {}


def test_a_long_body_that_breaks_goes_on_elsewhere_or_ends_the_connection(make_fleet):
    mesh, entry = start(make_fleet, audio_delivery=2)
    whole = target.numbered_body(AUDIO)
    path = f"/audio-delivery/episodes/1?size={AUDIO}"
    for box in mesh.boxes.values():
        if box.service:
            box.configure_target(break_after=1_000_000)
    answer = client.fetch(entry.address("entry"), "GET", path)
    # Each box breaks after a megabyte, so the body comes in three pieces.
    assert answer.body == whole
    for box in mesh.boxes.values():
        if box.service:
            box.configure_target(break_after=300_000)
    with pytest.raises((http.client.IncompleteRead, ConnectionError)):
        client.fetch(entry.address("entry"), "GET", path)


def test_a_box_killed_in_a_download_is_replaced_by_another(make_fleet):
    mesh, entry = start(make_fleet, audio_delivery=2)
    size = 20_000_000
    for box in mesh.boxes.values():
        if box.service:
            # The stand-in makes a body of this size only once.
            client.fetch(box.address("target"), "GET", f"/episodes/1?size={size}")
    conn = http.client.HTTPConnection("127.0.0.1", entry.ports["entry"], timeout=20)
    conn.request("GET", f"/audio-delivery/episodes/1?size={size}")
    answer = conn.getresponse()
    body = answer.read(1_000_000)
    serving = mesh.boxes[answer.headers[headers.BOX]]
    serving.daemon.kill()
    body += answer.read()
    assert body == target.numbered_body(size)
