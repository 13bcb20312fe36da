"""A stand-in for an application server as the users' pages describe one.

One argument, a JSON object: address, service, zone, id and slots. A request names in
its query what the server does with it: `work_ms` before the answer, `size` of the body
in bytes, `pieces` in which it is written over `write_ms`, and `unframed=1` for an
answer without a length that ends with its connection. Every body is
`body_of(id, size)`, so that a client can tell whether it got the whole one.

Each request that it begins is a line on standard output.
"""
# ruff: noqa: D101, D102, D103 -- as in all tests of this project

import asyncio
import hashlib
import json
import sys
import time
import urllib.parse

HEARTBEAT_S = 1.5
MAX_HEAD_BYTES = 64 * 1024


def body_of(attempt_id, size):
    """Return the body of the answer to a request."""
    block = hashlib.sha256(attempt_id.encode()).hexdigest().encode()
    return (block * (size // len(block) + 1))[:size]


def say(**line):
    print(json.dumps(line | {"at": time.monotonic()}), flush=True)


class Server:
    def __init__(self, config):
        self.config = config
        self.slots = config["slots"]
        self.running = 0
        self.sequence = 0

    async def serve(self):
        server = await asyncio.start_server(
            self.connection, self.config["ip"], self.config["port"], limit=2**20
        )
        say(event="start", instance=self.config["instance"])
        async with server:
            await self.heartbeats()

    async def heartbeats(self):
        """Send a heartbeat at each interval, whatever becomes of the one before."""
        pending = set()
        while True:
            pending.add(asyncio.create_task(self.heartbeat()))
            pending = {task for task in pending if not task.done()}
            await asyncio.sleep(HEARTBEAT_S)

    async def heartbeat(self):
        self.sequence += 1
        address = f"{self.config['ip']}:{self.config['port']}"
        body = json.dumps(
            {
                "service": self.config["service"],
                "address": address,
                "zone": self.config["zone"],
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "cold_remaining": "0ms",
                "sequence": self.sequence,
                "born": self.config.get("born", BORN_MS),
            }
        )
        return await self.call("PUT", body)

    async def call(self, method, body):
        """Call a daemon; return whether it acknowledged within a second."""
        try:
            return await asyncio.wait_for(self.exchange(method, body), 1.0)
        except (OSError, TimeoutError, IndexError, ValueError):
            return False

    async def exchange(self, method, body):
        path = f"/api/instances/{self.instance}"
        ip, port = self.config["reports"].split(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            head = f"{method} {path} HTTP/1.1\r\nHost: {ip}\r\nConnection: close\r\n"
            head += "Content-Type: application/json\r\n"
            head += f"Content-Length: {len(body)}\r\n\r\n"
            writer.write((head + body).encode())
            line = await reader.readline()
            return 200 <= int(line.split()[1]) < 300
        finally:
            writer.close()

    async def connection(self, reader, writer):
        try:
            while await self.request(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def request(self, reader, writer):
        """Serve one request; return whether the connection stays open."""
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            return False
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ")
        fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
        length = int(fields.get("content-length", "0"))
        body = await reader.readexactly(length) if length else b""
        path, _, query = target.partition("?")
        if path == "/healthz":
            return await self.answer(writer, 200, fields, b"")
        if fields.get("x-expect-instance", self.instance) != self.instance:
            return await self.answer(writer, 421, fields, b"", not_run=True)
        if self.running >= self.slots:
            return await self.answer(writer, 503, fields, b"", not_run=True)
        options = {
            name: value[0] for name, value in urllib.parse.parse_qs(query).items()
        }
        return await self.run(reader, writer, method, path, fields, body, options)

    @property
    def instance(self):
        return self.config["instance"]

    async def run(self, reader, writer, method, path, fields, body, options):
        attempt_id = fields.get("x-attempt-id", "")
        say(
            event="run",
            id=attempt_id,
            method=method,
            path=path,
            tenant=fields.get("x-tenant", ""),
            body_bytes=len(body),
            instance=self.instance,
        )
        self.running += 1
        try:
            await asyncio.sleep(float(options.get("work_ms", "5")) / 1000)
            size = int(options.get("size", "20"))
            return await self.answer(
                writer,
                200,
                fields,
                body_of(attempt_id, size),
                sealed=True,
                unframed=options.get("unframed") == "1",
                pieces=int(options.get("pieces", "1")),
                write_s=float(options.get("write_ms", "0")) / 1000,
            )
        finally:
            self.running -= 1

    async def answer(
        self,
        writer,
        status,
        fields,
        body,
        *,
        not_run=False,
        sealed=False,
        unframed=False,
        pieces=1,
        write_s=0.0,
    ):
        lines = [f"HTTP/1.1 {status} Status", f"X-Instance-Id: {self.instance}"]
        if attempt_id := fields.get("x-attempt-id"):
            lines.append(f"X-Attempt-Id: {attempt_id}")
        lines.append(f"X-Server-Load: {self.running},0,{self.slots}")
        if not_run:
            lines.append("X-Not-Executed: 1")
        if sealed:
            digest = hashlib.sha256(body).hexdigest()[:8]
            lines.append(f"X-Response-Seal: {len(body)}.{digest}")
        if unframed:
            lines.append("Connection: close")
        else:
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        step = max(1, -(-len(body) // pieces))
        for start in range(0, len(body), step):
            if start:
                await asyncio.sleep(write_s / pieces)
            writer.write(body[start : start + step])
            await writer.drain()
        await writer.drain()
        return not unframed


BORN_MS = int(time.time() * 1000)

if __name__ == "__main__":
    asyncio.run(Server(json.loads(sys.argv[1])).serve())
