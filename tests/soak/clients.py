"""HTTP clients that reuse one connection until the daemon closes it."""

from __future__ import annotations

import asyncio
import random
import socket

import attrs

from ferrydeck import clock

HOST = "calls.example"
DEADLINE_S = 1.5
ANSWER_TIMEOUT_S = 4.0
"""Time after which a client gives up on a request."""
REQUEST_INTERVAL_S = 0.02
RECONNECT_INTERVAL_S = 0.1
LONG_DEADLINE_S = 6.0
"""Deadline of requests that may wait for seconds, or whose answer is read slowly."""
LONG_ANSWER_BYTES = 300_000
READ_BYTES = 16_384
READ_PAUSE_S = 0.1
"""A slow caller reads so many bytes, then pauses for so long."""
RECEIVE_BUFFER_BYTES = 4096
SEGMENT_BYTES = 1400
"""Longest TCP segment, as on a network, where a sender's buffer stays small."""
MAX_LEAVE_S = 0.1
"""Longest time after which a caller leaves early."""
CONNECTION_LOST = 0
"""Status of a request whose connection closed before the answer."""
TIMED_OUT = -1
"""Status of a request that got no answer within `ANSWER_TIMEOUT_S`."""


@attrs.define(kw_only=True)
class RequestRecord:
    """A request and its answer."""

    request_id: str
    box: str
    at_most_once: bool
    path: str
    started_at: float
    status: int = TIMED_OUT
    ended_at: float = 0.0
    echoed_id: str = ""
    instance: str = ""
    """The server that answered; empty for an answer of the daemon."""
    rate_limit: float | None = None
    """The limit that the server stated."""
    leaving: bool = False
    """Whether the server stated that it leaves."""
    body: bytes = b""
    deadline_s: float = DEADLINE_S
    answer_bytes: int = 0
    """Length of a long answer, which is read slowly; 0 for a short one."""
    left: bool = False
    """Whether the caller left before it had the answer."""

    @property
    def expected_body(self) -> bytes:
        """The body with which the server answers this request."""
        if self.at_most_once:
            body = f"desk POST {self.path} 12.50"
        else:
            body = f"desk GET {self.path} "
        return body.encode().ljust(self.answer_bytes, b".")

    @property
    def target(self) -> str:
        """The path with its query."""
        query = f"?size={self.answer_bytes}" if self.answer_bytes else ""
        return self.path + query


@attrs.define(kw_only=True)
class Caller:
    """Sends requests one after another on one connection."""

    name: str
    box: str
    address: tuple[str, int]
    varied: bool = False
    """Whether it also reads long answers slowly, leaves early and waits longer."""
    requests: list[RequestRecord] = attrs.Factory(list)
    stopping: bool = False
    _reader: asyncio.StreamReader | None = None
    _writer: asyncio.StreamWriter | None = None

    async def run(self) -> None:
        """Send requests until `stopping` is set."""
        while not self.stopping:
            if self._writer is None and not await self._connect():
                await asyncio.sleep(RECONNECT_INTERVAL_S)
                continue
            await self._send_request()
            await asyncio.sleep(REQUEST_INTERVAL_S)
        self._disconnect()

    async def _connect(self) -> bool:
        sock = socket.socket()
        sock.setblocking(False)
        if self.varied:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        try:
            await asyncio.get_running_loop().sock_connect(sock, self.address)
        except OSError:
            sock.close()
            return False
        self._reader, self._writer = await asyncio.open_connection(
            sock=sock, limit=READ_BYTES
        )
        return True

    async def _send_request(self) -> None:
        number = len(self.requests)
        at_most_once = number % 3 == 0
        path = f"/{'pay' if at_most_once else 'look'}/{number}"
        request_id = f"{self.name}-{number}"
        request = RequestRecord(
            request_id=request_id,
            box=self.box,
            at_most_once=at_most_once,
            path=path,
            started_at=clock.now(),
        )
        if self.varied:
            request.answer_bytes = LONG_ANSWER_BYTES * (number % 5 == 2)
            patient = number % 2 or request.answer_bytes
            request.deadline_s = LONG_DEADLINE_S if patient else DEADLINE_S
            request.left = number % 7 == 3
        self.requests.append(request)
        timeout_s = request.deadline_s + ANSWER_TIMEOUT_S - DEADLINE_S
        if request.left:
            timeout_s = random.Random(request_id).uniform(0.0, MAX_LEAVE_S)
        try:
            self._writer.write(self._encode(request))
            await asyncio.wait_for(self._read_answer(request), timeout_s)
        except TimeoutError:
            self._disconnect()
        except (OSError, asyncio.IncompleteReadError):
            request.status = CONNECTION_LOST
            self._disconnect()
        request.ended_at = clock.now()

    def _encode(self, request: RequestRecord) -> bytes:
        method, body = ("POST", b"12.50") if request.at_most_once else ("GET", b"")
        lines = [
            f"{method} {request.target} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Attempt-Id: {request.request_id}",
            f"X-Deadline-Ms: {int(1000 * request.deadline_s)}",
        ]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join([*lines, "", ""]).encode() + body

    async def _read_answer(self, request: RequestRecord) -> None:
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in head[1:] if line)
        request.body = await self._read_body(int(fields["content-length"]))
        request.echoed_id = fields.get("x-attempt-id", "")
        request.instance = fields.get("x-instance-id", "")
        if "server-limit" in fields:
            request.rate_limit = float(fields["server-limit"])
        request.leaving = fields.get("server-leaving") == "1"
        request.status = int(head[0].split()[1])
        if fields.get("connection") == "close":
            self._disconnect()

    async def _read_body(self, length: int) -> bytes:
        """Read a body, a long one slowly."""
        body = b""
        while length - len(body) > READ_BYTES:
            body += await self._reader.readexactly(READ_BYTES)
            await asyncio.sleep(READ_PAUSE_S)
        return body + await self._reader.readexactly(length - len(body))

    def _disconnect(self) -> None:
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
