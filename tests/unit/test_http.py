from __future__ import annotations

import pytest

from ferrydeck.mesh.net import bodies
from ferrydeck.net import http


def request(text: str, **more: object) -> http.RequestHead | http.Malformed:
    return http.read_request(text.encode("latin-1"), **more)


def test_a_request_head_is_parsed():
    head = request("POST /a/b?c=1 HTTP/1.1\r\nHost: H\r\nContent-Length: 5\r\n\r\n")
    assert (head.method, head.path, head.length) == ("POST", "/a/b?c=1", 5)
    assert head.fields == [("host", "H"), ("content-length", "5")]
    assert head.keep_alive


@pytest.mark.parametrize(
    "text",
    [
        "GET /a HTTP/1.1\nHost: h\r\n\r\n",
        "GET /a HTTP/1.1\r\nHost: h\nX: y\r\n\r\n",
        "GET /a HTTP/1.1\r\nHost: h\r\n folded\r\n\r\n",
        "GET /a HTTP/1.1\r\nHost: h\rX: y\r\n\r\n",
        "GET /a HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
        "GET /a HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\n",
        "GET /a HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
        "GET /a HTTP/1.1\r\nContent-Length: +5\r\n\r\n",
        "GET /a HTTP/1.1\r\nContent-Length: abc\r\n\r\n",
        "GET /a HTTP/1.1\r\nContent Length: 5\r\n\r\n",
        "GET /a HTTP/1.1\r\nHost : h\r\n\r\n",
        "GET /a HTTP/2\r\n\r\n",
        "GET  /a HTTP/1.1\r\n\r\n",
        "GET a HTTP/1.1\r\n\r\n",
        "GET //a HTTP/1.1\r\n\r\n",
        "GET /a#b HTTP/1.1\r\n\r\n",
        "GET /a HTTP/1.1\r\nX: a\0b\r\n\r\n",
        "GET /a HTTP/1.1\r\nno colon\r\n\r\n",
    ],
)
def test_ambiguous_request_heads_are_rejected(text):
    assert request(text, chunked=True) == http.Malformed(
        status=400, detail=request(text, chunked=True).detail
    )


def test_chunked_encoding_with_a_content_length_is_rejected():
    text = "POST /a HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
    assert request(text, chunked=True).status == 400


def test_other_transfer_codings_are_rejected():
    text = "POST /a HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
    assert request(text, chunked=True).status == 400


def test_a_body_above_the_limit_is_rejected():
    text = "POST /a HTTP/1.1\r\nContent-Length: 50\r\n\r\n"
    assert request(text, max_body=49).status == 413


def test_a_response_without_a_length_ends_when_the_connection_closes():
    head = b"HTTP/1.1 200 OK\r\n\r\n"
    assert http.read_response(head).status == 502
    assert http.read_response(head, until_close=True).length == http.UNTIL_CLOSE


def read_all(reader: bodies.BodyReader, data: bytes, step: int) -> tuple[bytes, bytes]:
    """Feed data in steps; return the body and the remaining bytes."""
    buffer = bytearray()
    out = b""
    for start in range(0, len(data), step):
        buffer += data[start : start + step]
        out += reader.read(buffer)
    return out, bytes(buffer)


@pytest.mark.parametrize("step", [1, 2, 3, 7, 100])
def test_chunks_are_decoded_at_any_split(step):
    data = b"5\r\nhello\r\n6;x=y\r\n world\r\n0\r\nT: v\r\n\r\nGET /next"
    reader = bodies.BodyReader(length=http.CHUNKED)
    assert read_all(reader, data, step) == (b"hello world", b"GET /next")
    assert reader.done


@pytest.mark.parametrize("step", [1, 3, 100])
def test_bytes_after_the_content_length_are_left(step):
    reader = bodies.BodyReader(length=5)
    assert read_all(reader, b"hellonext", step) == (b"hello", b"next")
    assert reader.done


@pytest.mark.parametrize(
    "data", [b"x\r\n", b"\r\n", b"-1\r\n", b"5\r\nhelloXX\r\n", b"1" * 2000]
)
def test_invalid_chunks_are_rejected(data):
    reader = bodies.BodyReader(length=http.CHUNKED)
    with pytest.raises(bodies.BadBody):
        reader.read(bytearray(data))


def test_a_truncated_body_is_incomplete():
    reader = bodies.BodyReader(length=5)
    reader.read(bytearray(b"hel"))
    assert not reader.connection_closed()
    reader = bodies.BodyReader(length=http.UNTIL_CLOSE)
    assert reader.read(bytearray(b"hel")) == b"hel"
    assert reader.connection_closed()
