"""Benchmark of the latency that the daemons add to direct calls.

Alternates between direct and proxied load in one run. The load is an open-loop Poisson
process with a fixed seed. Latencies are measured from the scheduled send time, which
avoids coordinated omission.
"""

from __future__ import annotations

import argparse
import json
import pathlib
import random
import tempfile
import time

import circuits
from hdrh import histogram

from ferrydeck.net import gc_tuning, http_client, request_client
from ferrydeck.net import poller as pollers
from ferrydeck.standins import fleet, sample

PERCENTILES = (50, 90, 99)
MAX_LATENCY_US = 60_000_000
MAX_CONNECTIONS = 40
RESPONSE_TIMEOUT_S = 10.0
WARM_UP_S = 2.0
SERVICE_TIME_MS = 2


class Generator(circuits.BaseComponent):
    """Sends requests on schedule and records their latencies."""

    channel = "generator"

    def __init__(self, *, address: str, path: str, rate: float, seconds: float) -> None:
        super().__init__()
        poller = pollers.Poller().register(self)
        self.client = http_client.HttpClient(
            poller=poller,
            channel="client",
            address=address,
            max_connections=MAX_CONNECTIONS * 20,
            listener=self.handle_response,
        )
        self.client.register(self)
        rng = random.Random(7)
        self.path = path
        self.due: list[float] = []
        at = time.monotonic() + 0.1
        end = at + seconds
        while at < end:
            at += rng.expovariate(rate)
            self.due.append(at)
        self.warm_up_end = self.due[0] + WARM_UP_S
        self.sent = 0
        self.answered = 0
        self.failed = 0
        self.max_lag_s = 0.0
        self.latencies_us = histogram.HdrHistogram(1, MAX_LATENCY_US, 3)

    def handle_response(self, event: http_client.Event) -> None:
        """Record the latency of a response."""
        self.answered += 1
        due = self.due[event.ticket - 1]
        if isinstance(event, request_client.RequestFailed) or event.status != 200:
            self.failed += 1
        elif due > self.warm_up_end:
            self.latencies_us.record_value(int((time.monotonic() - due) * 1e6))

    @circuits.handler("generate_events")
    def _on_generate_events(self, event: circuits.Event) -> None:
        now = time.monotonic()
        while self.sent < len(self.due) and self.due[self.sent] <= now:
            self.max_lag_s = max(self.max_lag_s, now - self.due[self.sent])
            self.sent += 1
            self.client.request(
                self.sent,
                method="GET",
                path=self.path,
                fields=[],
                body=b"",
                deadline=now + RESPONSE_TIMEOUT_S,
            )
        if self.sent < len(self.due):
            event.reduce_time_left(max(0.0, self.due[self.sent] - time.monotonic()))
            return
        self.client.expire(now)
        event.reduce_time_left(0.05)
        if self.answered >= self.sent or now > self.due[-1] + RESPONSE_TIMEOUT_S:
            self.stop()


def measure(address: str, path: str, rate: float, seconds: float) -> Generator:
    """Send a load to an address and return the generator with its records."""
    generator = Generator(address=address, path=path, rate=rate, seconds=seconds)
    generator.run()
    return generator


def processor_s(process: fleet.Process) -> float:
    """Return the CPU time used by a process, seconds."""
    fields = pathlib.Path(f"/proc/{process.popen.pid}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / 100


def memory_mb(process: fleet.Process) -> float:
    """Return the resident set size of a process, MB."""
    for line in (
        pathlib.Path(f"/proc/{process.popen.pid}/status").read_text().split("\n")
    ):
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def measure_rate(mesh: fleet.Fleet, rate: float, seconds: float) -> dict[str, object]:
    """Measure one rate, direct and proxied, and return a table row."""
    entry, box = mesh.boxes["entry"], mesh.boxes["target"]
    path = f"/shows/1?ms={SERVICE_TIME_MS}"
    direct = measure(box.address("target"), path, rate, seconds)
    before = processor_s(entry.daemon), processor_s(box.daemon)
    start = time.monotonic()
    proxied = measure(entry.address("entry"), f"/catalogue{path}", rate, seconds)
    elapsed_s = time.monotonic() - start
    row: dict[str, object] = {"rate": rate, "failed": proxied.failed}
    for percent in PERCENTILES:
        direct_ms = direct.latencies_us.get_value_at_percentile(percent) / 1000
        proxied_ms = proxied.latencies_us.get_value_at_percentile(percent) / 1000
        row[f"straight_{percent}"] = direct_ms
        row[f"through_{percent}"] = proxied_ms
        row[f"added_{percent}"] = round(proxied_ms - direct_ms, 3)
    row["entry_core"] = round((processor_s(entry.daemon) - before[0]) / elapsed_s, 3)
    row["target_core"] = round((processor_s(box.daemon) - before[1]) / elapsed_s, 3)
    row["generator_late_ms"] = round(proxied.max_lag_s * 1000, 1)
    return row


def format_row(row: dict[str, object]) -> str:
    """Return the printed form of a row."""
    columns = " | ".join(
        f"{row[f'straight_{p}']:.2f} / {row[f'through_{p}']:.2f} / "
        f"{row[f'added_{p}']:.2f}"
        for p in PERCENTILES
    )
    return (
        f"{row['rate']:>5.0f}/s | {columns} | core {row['entry_core']} / "
        f"{row['target_core']} | failed {row['failed']} | generator late "
        f"{row['generator_late_ms']} ms"
    )


def main() -> None:
    """Measure the rates in rounds and print a table."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--rates", default="200,400,800")
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--rounds", type=int, default=2)
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    gc_tuning.freeze_startup_objects()
    with (
        tempfile.TemporaryDirectory() as folder,
        fleet.Fleet(pathlib.Path(folder), data_centres=["north"]) as mesh,
    ):
        entry = mesh.add_box("entry", "north", entry=True)
        box = mesh.add_box("target", "north", service="catalogue")
        rolled = mesh.roll(sample.bundle_toml())
        print(rolled.stdout or rolled.stderr, end="")
        mesh.wait_ready()
        print("latency in ms, direct / proxied / added, at p50, p90 and p99")
        for _ in range(args.rounds):
            for rate in map(float, args.rates.split(",")):
                row = measure_rate(mesh, rate, args.seconds)
                print(json.dumps(row) if args.json else format_row(row), flush=True)
        print(f"memory MB: entry {memory_mb(entry.daemon):.1f}", end=" ")
        print(f"target {memory_mb(box.daemon):.1f}")


if __name__ == "__main__":
    main()
