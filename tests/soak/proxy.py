"""A loopback proxy that delays, holds and resets connections."""

from __future__ import annotations

import asyncio
import enum
import socket
import struct

import attrs

CHUNK = 64 * 1024
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Way(enum.Enum):
    """A direction through the proxy."""

    IN = "in"
    """Towards the process behind the proxy."""
    OUT = "out"


@attrs.define(kw_only=True)
class Proxy:
    """Passes connections on to one address; what is held goes on when it is over.

    A held direction is a cut as TCP shows it: bytes come later or, if the connection
    is given up meanwhile, never.
    """

    target: tuple[str, int]
    address: str = ""
    delay_s: float = 0.0
    open_ways: dict[Way, asyncio.Event] = attrs.Factory(dict)
    _writers: set[asyncio.StreamWriter] = attrs.Factory(set)
    _tasks: set[asyncio.Task] = attrs.Factory(set)
    _server: asyncio.Server | None = None

    async def start(self, ip: str, port: int) -> None:
        """Listen on an address."""
        for way in Way:
            self.open_ways[way] = asyncio.Event()
            self.open_ways[way].set()
        self._server = await asyncio.start_server(self._taken, ip, port)
        self.address = f"{ip}:{port}"

    def hold(self, *ways: Way) -> None:
        """Pass nothing more on in some directions."""
        for way in ways:
            self.open_ways[way].clear()

    def heal(self) -> None:
        """Pass everything on again, without delay."""
        self.delay_s = 0.0
        for way in Way:
            self.open_ways[way].set()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            # One that has ended meanwhile has no descriptor any more.
            if sock is not None and sock.fileno() >= 0:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()

    async def close(self) -> None:
        """Listen no more and end all connections."""
        self.heal()
        if self._server is not None:
            self._server.close()
        self.reset()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _taken(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        await self.open_ways[Way.IN].wait()
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, far_writer}
        self._writers |= pair
        try:
            await asyncio.gather(
                self._pump(Way.IN, reader, far_writer),
                self._pump(Way.OUT, far_reader, writer),
            )
        finally:
            self._writers -= pair

    async def _pump(
        self, way: Way, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(CHUNK):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                await self.open_ways[way].wait()
                writer.write(data)
                await writer.drain()
            writer.close()
        except OSError:
            writer.transport.abort()
