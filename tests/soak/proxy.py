"""A TCP proxy on loopback that delays, blocks and resets connections."""

from __future__ import annotations

import asyncio
import enum
import socket
import struct

import attrs

CHUNK_BYTES = 64 * 1024
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Flow(enum.Enum):
    """A direction through the proxy."""

    IN = "in"
    """From the client to the upstream process."""
    OUT = "out"


@attrs.define(kw_only=True)
class Proxy:
    """Forwards connections to one address and can block either direction.

    Bytes of a blocked direction are delivered after it is unblocked, unless the
    connection was closed in between, as in a network partition.
    """

    target: tuple[str, int]
    address: str = ""
    delay_s: float = 0.0
    open_flows: dict[Flow, asyncio.Event] = attrs.Factory(dict)
    _writers: set[asyncio.StreamWriter] = attrs.Factory(set)
    _tasks: set[asyncio.Task] = attrs.Factory(set)
    _server: asyncio.Server | None = None

    async def start(self, ip: str, port: int) -> None:
        """Listen on the given address."""
        for flow in Flow:
            self.open_flows[flow] = asyncio.Event()
            self.open_flows[flow].set()
        self._server = await asyncio.start_server(self._handle_connection, ip, port)
        self.address = f"{ip}:{port}"

    def block(self, *flows: Flow) -> None:
        """Stop forwarding in the given directions."""
        for flow in flows:
            self.open_flows[flow].clear()

    def heal(self) -> None:
        """Unblock both directions and remove the delay."""
        self.delay_s = 0.0
        for flow in Flow:
            self.open_flows[flow].set()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            # The socket of a closed connection has no file descriptor.
            if sock is not None and sock.fileno() >= 0:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        self.heal()
        if self._server is not None:
            self._server.close()
        self.reset()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        await self.open_flows[Flow.IN].wait()
        try:
            remote_reader, remote_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, remote_writer}
        self._writers |= pair
        try:
            await asyncio.gather(
                self._pump(Flow.IN, reader, remote_writer),
                self._pump(Flow.OUT, remote_reader, writer),
            )
        finally:
            self._writers -= pair

    async def _pump(
        self, flow: Flow, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                await self.open_flows[flow].wait()
                writer.write(data)
                await writer.drain()
            writer.close()
        except OSError:
            writer.transport.abort()
