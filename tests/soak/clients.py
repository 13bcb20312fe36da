"""HTTP clients that reuse one connection until the daemon closes it."""

from __future__ import annotations

import asyncio

import attrs

from ferrydeck import clock

HOST = "calls.example"
DEADLINE_S = 1.5
ANSWER_TIMEOUT_S = 4.0
"""Time after which a client gives up on a request."""
REQUEST_INTERVAL_S = 0.02
RECONNECT_INTERVAL_S = 0.1
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

    @property
    def expected_body(self) -> bytes:
        """The body with which the server answers this request."""
        if self.at_most_once:
            return f"desk POST {self.path} 12.50".encode()
        return f"desk GET {self.path} ".encode()


@attrs.define(kw_only=True)
class Caller:
    """Sends requests one after another on one connection."""

    name: str
    box: str
    address: tuple[str, int]
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
        try:
            self._reader, self._writer = await asyncio.open_connection(*self.address)
        except OSError:
            return False
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
        self.requests.append(request)
        try:
            self._writer.write(self._encode(request))
            await asyncio.wait_for(self._read_answer(request), ANSWER_TIMEOUT_S)
        except TimeoutError:
            self._disconnect()
        except (OSError, asyncio.IncompleteReadError):
            request.status = CONNECTION_LOST
            self._disconnect()
        request.ended_at = clock.now()

    def _encode(self, request: RequestRecord) -> bytes:
        method, body = ("POST", b"12.50") if request.at_most_once else ("GET", b"")
        lines = [
            f"{method} {request.path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Attempt-Id: {request.request_id}",
            f"X-Deadline-Ms: {int(1000 * DEADLINE_S)}",
        ]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join([*lines, "", ""]).encode() + body

    async def _read_answer(self, request: RequestRecord) -> None:
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in head[1:] if line)
        request.body = await self._reader.readexactly(int(fields["content-length"]))
        request.echoed_id = fields.get("x-attempt-id", "")
        request.instance = fields.get("x-instance-id", "")
        if "server-limit" in fields:
            request.rate_limit = float(fields["server-limit"])
        request.leaving = fields.get("server-leaving") == "1"
        request.status = int(head[0].split()[1])
        if fields.get("connection") == "close":
            self._disconnect()

    def _disconnect(self) -> None:
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
