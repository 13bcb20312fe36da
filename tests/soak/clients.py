"""Callers that keep their connections until the daemon behind is gone."""

from __future__ import annotations

import asyncio

import attrs

from ferrydeck import clock

HOST = "calls.example"
DEADLINE_S = 1.5
PATIENCE_S = 4.0
"""How long a caller waits for an answer at all, seconds."""
PAUSE_S = 0.02
REDIAL_S = 0.1
CUT = 0
"""The status of a request whose connection ended without an answer."""
NO_ANSWER = -1
"""The status of a request that got no answer within the caller's patience."""


@attrs.define(kw_only=True)
class Sent:
    """A request and what became of it."""

    request_id: str
    box: str
    once: bool
    path: str
    at: float
    status: int = NO_ANSWER
    ended: float = 0.0
    echoed: str = ""
    body: bytes = b""

    @property
    def expected(self) -> bytes:
        """The body that the server gives to this request."""
        if self.once:
            return f"desk POST {self.path} 12.50".encode()
        return f"desk GET {self.path} ".encode()


@attrs.define(kw_only=True)
class Caller:
    """Sends one request after the other on one connection."""

    name: str
    box: str
    address: tuple[str, int]
    sent: list[Sent] = attrs.Factory(list)
    stopping: bool = False
    _reader: asyncio.StreamReader | None = None
    _writer: asyncio.StreamWriter | None = None

    async def run(self) -> None:
        """Send requests until told to stop."""
        while not self.stopping:
            if self._writer is None and not await self._connect():
                await asyncio.sleep(REDIAL_S)
                continue
            await self._request()
            await asyncio.sleep(PAUSE_S)
        self._drop()

    async def _connect(self) -> bool:
        try:
            self._reader, self._writer = await asyncio.open_connection(*self.address)
        except OSError:
            return False
        return True

    async def _request(self) -> None:
        number = len(self.sent)
        once = number % 3 == 0
        path = f"/{'pay' if once else 'look'}/{number}"
        request_id = f"{self.name}-{number}"
        one = Sent(
            request_id=request_id,
            box=self.box,
            once=once,
            path=path,
            at=clock.now(),
        )
        self.sent.append(one)
        try:
            self._writer.write(self._bytes(one))
            await asyncio.wait_for(self._answer(one), PATIENCE_S)
        except TimeoutError:
            self._drop()
        except (OSError, asyncio.IncompleteReadError):
            one.status = CUT
            self._drop()
        one.ended = clock.now()

    def _bytes(self, one: Sent) -> bytes:
        method, body = ("POST", b"12.50") if one.once else ("GET", b"")
        lines = [
            f"{method} {one.path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Attempt-Id: {one.request_id}",
            f"X-Deadline-Ms: {int(1000 * DEADLINE_S)}",
        ]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join([*lines, "", ""]).encode() + body

    async def _answer(self, one: Sent) -> None:
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in head[1:] if line)
        one.body = await self._reader.readexactly(int(fields["content-length"]))
        one.echoed = fields.get("x-attempt-id", "")
        one.status = int(head[0].split()[1])
        if fields.get("connection") == "close":
            self._drop()

    def _drop(self) -> None:
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
