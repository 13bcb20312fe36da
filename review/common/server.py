"""A stand-in for an application server, as the platform's pages describe one.

Runs as a process of its own and writes one JSON line to standard output for each
request that it ran or turned away. The faults are those of the pages; each is off
unless an option sets its share.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import time
import urllib.parse

HEALTH_PATH = "/healthz"
CONTROL_PATH = "/standin/options"
"""A call here, with options and their values as JSON, changes the options."""
IDLE_TIMEOUT_S = 10
QUEUED_REQUESTS = 16
PART_BYTES = 16 * 1024
Head = dict[str, str]


class Server:
    """Runs requests in its slots, and reports its state to the daemon of its box."""

    def __init__(self, args: argparse.Namespace) -> None:
        self.args = args
        self.address = f"{args.ip}:{args.port}"
        self.born = time.time_ns() // 1_000_000
        self.sequence = 0
        self.running = 0
        self.waiting = 0
        self.slots = asyncio.Semaphore(args.slots)
        self.random = random.Random(args.seed)

    async def run(self) -> None:
        """Serve until the process is ended."""
        server = await asyncio.start_server(
            self.serve, self.args.ip, self.args.port, backlog=512, limit=1 << 20
        )
        async with server:
            await self.send_heartbeats()

    def write_line(self, event: str, request_id: str, **more: object) -> None:
        """Write what happened to a request to standard output."""
        line = {"at": round(time.time(), 3), "event": event, "id": request_id}
        line |= {"server": self.args.instance, **more}
        print(json.dumps(line), flush=True)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection, one at a time."""
        surplus = b""
        try:
            while True:
                text = await asyncio.wait_for(
                    reader.readuntil(b"\r\n\r\n"), IDLE_TIMEOUT_S
                )
                line, head = parse_head(text)
                if surplus:
                    # The second answer turns up where the next answer is due.
                    writer.write(surplus)
                    surplus = b""
                    await writer.drain()
                body = await self.read_body(reader, head)
                answer = await self.answer(line, head, body)
                for start in range(0, len(answer), PART_BYTES):
                    writer.write(answer[start : start + PART_BYTES])
                    await writer.drain()
                if request_id := head.get("x-attempt-id"):
                    self.write_line("answered", request_id)
                    if self.random.random() < self.args.extra:
                        surplus = answer
                        self.write_line("second-answer", request_id)
        except (OSError, EOFError, TimeoutError):
            pass
        finally:
            writer.close()

    async def read_body(self, reader: asyncio.StreamReader, head: Head) -> bytes:
        """Read a request body, at the pace of a server that is slow to read."""
        left = int(head.get("content-length", "0"))
        parts = []
        while left:
            part = await reader.read(min(left, PART_BYTES))
            if not part:
                raise EOFError
            parts.append(part)
            left -= len(part)
            if self.args.read_bytes_per_s:
                await asyncio.sleep(len(part) / self.args.read_bytes_per_s)
        return b"".join(parts)

    async def answer(self, line: list[str], head: Head, body: bytes) -> bytes:
        """Run a request, or turn it away; return the answer."""
        path, _, query = line[1].partition("?")
        if path == CONTROL_PATH:
            for name, value in json.loads(body).items():
                setattr(self.args, name, value)
            return self.encode(200, head, b"")
        if path == HEALTH_PATH:
            async with self.slots:
                return self.encode(200, head, b"ok")
        request_id = head.get("x-attempt-id", "")
        if not request_id:
            return self.encode(400, head, b"", not_run=True)
        if head.get("x-expect-instance", self.args.instance) != self.args.instance:
            return self.encode(421, head, b"", not_run=True)
        full = self.waiting >= QUEUED_REQUESTS
        if full or self.random.random() < self.args.shed:
            self.write_line("shed", request_id)
            return self.encode(503, head, b"", not_run=True)
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            self.running += 1
            self.write_line("ran", request_id, bytes=len(body))
            await asyncio.sleep(self.args.work_ms / 1000)
            self.running -= 1
        size = int(urllib.parse.parse_qs(query).get("size", ["200"])[0])
        return self.encode(200, head, b"x" * size, sealed=True)

    def encode(
        self,
        status: int,
        head: Head,
        body: bytes,
        *,
        not_run: bool = False,
        sealed: bool = False,
    ) -> bytes:
        """Return the bytes of an answer."""
        lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
        lines.append(f"Keep-Alive: timeout={IDLE_TIMEOUT_S}")
        lines.append(f"X-Instance-Id: {self.args.instance}")
        lines.append(f"X-Server-Load: {self.running},{self.waiting},{self.args.slots}")
        if request_id := head.get("x-attempt-id"):
            lines.append(f"X-Attempt-Id: {request_id}")
        if not_run:
            lines.append("X-Not-Executed: 1")
        if sealed:
            lines.append(f"X-Response-Seal: {self.args.instance}.{len(body)}")
        return "\r\n".join([*lines, "", ""]).encode() + body

    async def send_heartbeats(self) -> None:
        """Send heartbeats until the process is ended."""
        while True:
            await self.send_heartbeat()
            await asyncio.sleep(self.args.heartbeat_s)

    async def send_heartbeat(self) -> None:
        """Send one heartbeat; one that fails is followed by the next one."""
        self.sequence += 1
        body = json.dumps(
            {
                "service": self.args.service,
                "address": self.address,
                "zone": self.args.zone,
                "version": "v1",
                "slots": self.args.slots,
                "state": "ready",
                "cold_remaining": "0ms",
                "sequence": self.sequence,
                "born": self.born,
            }
        ).encode()
        host, _, port = self.args.reports.rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                f"PUT /api/instances/{self.args.instance} HTTP/1.1\r\n"
                f"Host: {self.args.reports}\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n".encode()
                + body
            )
            await asyncio.wait_for(reader.read(4096), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return


def parse_head(text: bytes) -> tuple[list[str], Head]:
    """Return the words of the first line, and the fields by lower-case name."""
    lines = text.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    return lines[0].split(" "), {
        name.lower(): value.strip() for name, _, value in pairs
    }


def main() -> None:
    """Run the server until the process is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--ip", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--zone", required=True)
    parser.add_argument("--reports", required=True)
    parser.add_argument("--instance", required=True)
    parser.add_argument("--slots", type=int, default=20)
    parser.add_argument("--work-ms", type=float, default=20.0)
    parser.add_argument("--heartbeat-s", type=float, default=1.5)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--shed", type=float, default=0.0)
    parser.add_argument("--extra", type=float, default=0.0)
    parser.add_argument("--read-bytes-per-s", type=float, default=0.0)
    asyncio.run(Server(parser.parse_args()).run())


if __name__ == "__main__":
    main()
