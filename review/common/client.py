"""A client as the platform's pages describe one: one request, its answer, its end."""

from __future__ import annotations

import asyncio
import dataclasses
import socket
import time

import site_fleet


@dataclasses.dataclass(kw_only=True, frozen=True)
class Request:
    """A request to send."""

    request_id: str
    method: str
    path: str
    deadline_s: float
    body: bytes = b""


@dataclasses.dataclass(kw_only=True)
class Result:
    """What the client has seen of one request."""

    request_id: str
    sent_at: float
    status: int = 0
    """Status of the answer; 0 if the connection ended before there was one."""
    expected_bytes: int = 0
    body_bytes: int = 0
    ended_at: float = 0.0
    ending: str = ""

    @property
    def complete(self) -> bool:
        """Whether the whole answer has arrived."""
        return self.status > 0 and self.ending == "complete"


def head_of(request: Request) -> bytes:
    """Return the head of a request."""
    lines = [
        f"{request.method} {request.path} HTTP/1.1",
        f"Host: {site_fleet.HOST}",
        f"X-Attempt-Id: {request.request_id}",
        f"X-Deadline-Ms: {int(1000 * request.deadline_s)}",
    ]
    if request.body:
        lines.append(f"Content-Length: {len(request.body)}")
    return "\r\n".join([*lines, "", ""]).encode()


async def send(address: tuple[str, int], request: Request) -> Result:
    """Send a request on a new connection, and read its answer."""
    result = Result(request_id=request.request_id, sent_at=time.time())
    try:
        async with asyncio.timeout(request.deadline_s + 1.0):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(head_of(request) + request.body)
                await writer.drain()
                await read_answer(reader, result)
            finally:
                writer.close()
    except (OSError, EOFError, TimeoutError) as exc:
        result.ending = f"{type(exc).__name__}"
    result.ended_at = time.time()
    return result


async def read_answer(reader: asyncio.StreamReader, result: Result) -> None:
    """Read an answer with a length; raise `EOFError` if it ends early."""
    text = await reader.readuntil(b"\r\n\r\n")
    line, *fields = text.decode("latin-1").split("\r\n")
    result.status = int(line.split(" ")[1])
    pairs = (field.partition(":") for field in fields if field)
    head = {name.lower(): value.strip() for name, _, value in pairs}
    result.expected_bytes = int(head.get("content-length", "0"))
    while result.body_bytes < result.expected_bytes:
        part = await reader.read(65536)
        if not part:
            raise EOFError
        result.body_bytes += len(part)
    result.ending = "complete"


@dataclasses.dataclass(kw_only=True, frozen=True)
class Pace:
    """How fast a client reads, and over which kind of connection."""

    bytes_per_s: float
    receive_buffer: int = 4096
    segment_bytes: int = 1400
    """Largest TCP segment, as on a link that is no loopback link."""


class SlowClient:
    """A client with a kept connection that reads answers at an even pace."""

    def __init__(self, address: tuple[str, int], pace: Pace) -> None:
        self.address = address
        self.pace = pace
        self.sock: socket.socket | None = None

    async def send(self, request: Request) -> Result:
        """Send a request, and read its answer at the pace."""
        result = Result(request_id=request.request_id, sent_at=time.time())
        try:
            async with asyncio.timeout(request.deadline_s):
                loop = asyncio.get_running_loop()
                sock = self.sock or await self.connect()
                await loop.sock_sendall(sock, head_of(request) + request.body)
                kept = await self.read_answer(sock, result)
        except (OSError, EOFError, TimeoutError) as exc:
            result.ending = type(exc).__name__
            kept = False
        if not kept:
            self.close()
        result.ended_at = time.time()
        return result

    async def connect(self) -> socket.socket:
        """Open the connection."""
        self.sock = socket.socket()
        self.sock.setblocking(False)
        buffer, segment = self.pace.receive_buffer, self.pace.segment_bytes
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment)
        await asyncio.get_running_loop().sock_connect(self.sock, self.address)
        return self.sock

    async def read_answer(self, sock: socket.socket, result: Result) -> bool:
        """Read an answer with a length; return whether the connection is kept.

        Raises `EOFError` if the answer ends early.
        """
        loop = asyncio.get_running_loop()
        data = b""
        while b"\r\n\r\n" not in data:
            data += await receive(sock)
        text, _, body = data.partition(b"\r\n\r\n")
        line, *fields = text.decode("latin-1").split("\r\n")
        result.status = int(line.split(" ")[1])
        pairs = (field.partition(":") for field in fields)
        head = {name.lower(): value.strip() for name, _, value in pairs}
        result.expected_bytes = int(head.get("content-length", "0"))
        result.body_bytes = len(body)
        started = loop.time()
        while result.body_bytes < result.expected_bytes:
            due_s = result.body_bytes / self.pace.bytes_per_s
            await asyncio.sleep(max(0.0, due_s - (loop.time() - started)))
            result.body_bytes += len(await receive(sock))
        result.ending = "complete"
        return head.get("connection") != "close"

    def close(self) -> None:
        """Close the connection."""
        if self.sock is not None:
            self.sock.close()
            self.sock = None


async def receive(sock: socket.socket) -> bytes:
    """Receive a part of an answer; raise `EOFError` at the end of the connection."""
    part = await asyncio.get_running_loop().sock_recv(sock, 2048)
    if not part:
        raise EOFError
    return part
