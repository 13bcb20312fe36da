"""Demo: starts a fleet in two data centres, rolls out a bundle and sends calls."""

from __future__ import annotations

import collections
import pathlib
import random
import tempfile
import threading
import time

from hdrh import histogram

from ferrydeck.commands import client
from ferrydeck.signed.core import headers
from ferrydeck.standins import fleet, sample

DATA_CENTRES = ["kumasi-1", "kumasi-2"]
ROUNDS = 40
CALLERS = 4
MAX_LATENCY_US = 60_000_000
AUDIO_BYTES = 1_000_000


class Results:
    """Outcomes and latencies by request class."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.outcomes: dict[str, collections.Counter[str]] = {}
        self.latencies: dict[str, histogram.HdrHistogram] = {}

    def add(self, class_name: str, outcome: str, seconds: float) -> None:
        """Record the outcome and latency of a call."""
        with self.lock:
            counter = self.outcomes.setdefault(class_name, collections.Counter())
            counter[outcome] += 1
            latencies = self.latencies.setdefault(
                class_name, histogram.HdrHistogram(1, MAX_LATENCY_US, 3)
            )
            latencies.record_value(int(seconds * 1e6))

    def print_table(self) -> None:
        """Print the results of each class."""
        row_format = "{:16} {:>5} {:>5} {:>8} {:>8} {:>10} {:>8}"
        columns = (
            "class",
            "sent",
            "done",
            "not-run",
            "unknown",
            "median ms",
            "99th ms",
        )
        print(row_format.format(*columns))
        for name in sample.CLASSES:
            counter, latencies = self.outcomes[name], self.latencies[name]
            counts = [counter[one] for one in ("done", "not-run", "unknown")]
            times = [latencies.get_value_at_percentile(one) / 1000 for one in (50, 99)]
            shown = [f"{one:.1f}" for one in times]
            print(row_format.format(name, counter.total(), *counts, *shown))


def start_boxes(mesh: fleet.Fleet) -> list[fleet.Box]:
    """Start an entry box and a target box of each service in each data centre."""
    entries = []
    for name in DATA_CENTRES:
        entries.append(mesh.add_box(f"{name}-entry", name, entry=True))
        for service in sample.SERVICES:
            mesh.add_box(f"{name}-{service}", name, service=service)
    return entries


def send_calls(results: Results, entry: fleet.Box, seed: int) -> None:
    """Send calls to all routes in turn, as one caller."""
    rng = random.Random(seed)
    for number in range(ROUNDS):
        for service, method, path, class_name, repeatable, _ in sample.ROUTES:
            size = AUDIO_BYTES if class_name == "audio-download" else 0
            fields = (
                {}
                if repeatable
                else {headers.IDEMPOTENCY_KEY: f"{seed}-{number}-{service}"}
            )
            query = f"?ms={rng.uniform(1, 8):.2f}&size={size}"
            started_at = time.monotonic()
            answer = client.fetch(
                entry.address("entry"),
                method,
                f"/{service}{path}/{number}{query}",
                headers=fields,
            )
            outcome = answer.headers[headers.OUTCOME]
            results.add(class_name, outcome, time.monotonic() - started_at)


def run(mesh: fleet.Fleet) -> None:
    """Run the demo on a fleet."""
    entries = start_boxes(mesh)
    rolled = mesh.roll(sample.bundle_toml())
    print(rolled.stdout or rolled.stderr, end="")
    mesh.wait_ready()
    print(f"{len(mesh.boxes)} daemons ready, all shards owned")
    results = Results()
    callers = [
        threading.Thread(target=send_calls, args=(results, entries[seed % 2], seed))
        for seed in range(CALLERS)
    ]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    results.print_table()
    codes = {box.daemon.stop() for box in mesh.boxes.values()}
    print(f"daemons stopped gracefully, exit codes {sorted(codes)}")


def main() -> None:
    """Run the demo in a temporary directory."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder)
        with fleet.Fleet(path, data_centres=DATA_CENTRES) as mesh:
            run(mesh)


if __name__ == "__main__":
    main()
