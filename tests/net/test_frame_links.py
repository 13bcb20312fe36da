"""Framing on the links between daemons."""

from __future__ import annotations

import socket

import pytest

from ferrydeck.net import frame_links, poller


class Links(frame_links.FrameLinks):
    """Links that record received frames; the next one may raise."""

    max_frame_bytes = 100

    def __init__(self) -> None:
        super().__init__(
            poller=poller.Poller(), channel="links", ip="127.0.0.1", port=0
        )
        self.received: list[bytes] = []
        self.raises = False

    def frame_read(self, link: frame_links.Link, frame: bytes, flags: int) -> None:
        self.received.append(frame)
        if self.raises:
            self.raises = False
            raise RuntimeError("a handler that raises")


@pytest.fixture
def links():
    instance = Links()
    yield instance
    instance.close()


@pytest.fixture
def link():
    local, remote = socket.socketpair()
    yield frame_links.Link(sock=local, connected=True)
    local.close()
    remote.close()


def encoded(*frames: bytes) -> bytes:
    return b"".join(frame_links.LENGTH_PREFIX.pack(len(one)) + one for one in frames)


def test_frames_are_reassembled_from_single_bytes(links, link):
    for byte in encoded(b"one", b"", b"three"):
        links.data_received(link, bytes([byte]))
    assert links.received == [b"one", b"", b"three"]


def test_a_frame_whose_handler_raised_is_not_processed_again(links, link):
    links.raises = True
    with pytest.raises(RuntimeError):
        links.data_received(link, encoded(b"one", b"two"))
    links.data_received(link, encoded(b"three"))
    assert links.received == [b"one", b"two", b"three"]
