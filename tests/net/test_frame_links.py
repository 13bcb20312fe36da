"""Frames on the links between daemons, as both programs read them."""

from __future__ import annotations

import socket

import pytest

from ferrydeck.net import frame_links, poller


class Links(frame_links.FrameLinks):
    """Links that keep the frames they read; the first one may raise."""

    max_frame_bytes = 100

    def __init__(self) -> None:
        super().__init__(
            poller=poller.Poller(), channel="links", ip="127.0.0.1", port=0
        )
        self.read: list[bytes] = []
        self.raises = False

    def frame_read(self, link: frame_links.Link, frame: bytes, flags: int) -> None:
        self.read.append(frame)
        if self.raises:
            self.raises = False
            raise RuntimeError("a handler that raises")


@pytest.fixture
def links():
    made = Links()
    yield made
    made.close()


@pytest.fixture
def link():
    ours, theirs = socket.socketpair()
    yield frame_links.Link(sock=ours, connected=True)
    ours.close()
    theirs.close()


def framed(*frames: bytes) -> bytes:
    return b"".join(frame_links.LENGTH_PREFIX.pack(len(one)) + one for one in frames)


def test_frames_are_read_whole_however_the_bytes_come(links, link):
    for byte in framed(b"one", b"", b"three"):
        links.data_received(link, bytes([byte]))
    assert links.read == [b"one", b"", b"three"]


def test_a_frame_whose_handler_raised_is_not_read_again(links, link):
    links.raises = True
    with pytest.raises(RuntimeError):
        links.data_received(link, framed(b"one", b"two"))
    links.data_received(link, framed(b"three"))
    assert links.read == [b"one", b"two", b"three"]
