"""A relay on loopback between servers and daemons that delivers calls late.

While `late_s` is set, each new connection is passed on that much later. The daemon gets
the whole call, also when its sender has stopped to wait for the answer.
"""
# ruff: noqa: D101, D102, D103 -- as in all tests of this project

import asyncio
import threading


class Relay:
    """Passes connections to one address on, in a thread with an event loop."""

    def __init__(self, ip, port, target):
        self.address = f"{ip}:{port}"
        self.target = target
        self.late_s = 0.0
        self.delivered = []
        self.loop = asyncio.new_event_loop()
        started = threading.Event()
        self.thread = threading.Thread(target=self._run, args=(started,), daemon=True)
        self.thread.start()
        started.wait(5)

    def _run(self, started):
        asyncio.set_event_loop(self.loop)
        ip, port = self.address.split(":")
        self.loop.run_until_complete(asyncio.start_server(self._pass_on, ip, int(port)))
        started.set()
        self.loop.run_forever()

    async def _pass_on(self, reader, writer):
        late_s = self.late_s
        try:
            call = await reader.readuntil(b"\r\n\r\n")
            for line in call.lower().split(b"\r\n"):
                if line.startswith(b"content-length:"):
                    call += await reader.readexactly(int(line.partition(b":")[2]))
            await asyncio.sleep(late_s)
            ip, port = self.target.split(":")
            up_reader, up_writer = await asyncio.open_connection(ip, int(port))
            up_writer.write(call)
            answer = await up_reader.read()
            up_writer.close()
            self.delivered.append((late_s, answer.split(b"\r\n")[0].decode()))
            writer.write(answer)
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def stop(self):
        self.loop.call_soon_threadsafe(self.loop.stop)
