"""The demo: a fleet of two data centres, a first bundle, calls of each class."""

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
CALLS_EACH = 40
CALLERS = 4
LONGEST_US = 60_000_000
AUDIO_BYTES = 1_000_000


class Table:
    """What was answered, by class."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.outcomes: dict[str, collections.Counter[str]] = {}
        self.micros: dict[str, histogram.HdrHistogram] = {}

    def add(self, class_name: str, outcome: str, seconds: float) -> None:
        """Add one answer."""
        with self.lock:
            counter = self.outcomes.setdefault(class_name, collections.Counter())
            counter[outcome] += 1
            micros = self.micros.setdefault(
                class_name, histogram.HdrHistogram(1, LONGEST_US, 3)
            )
            micros.record_value(int(seconds * 1e6))

    def show(self) -> None:
        """Print a line for each class."""
        form = "{:16} {:>5} {:>5} {:>8} {:>8} {:>10} {:>8}"
        columns = (
            "class",
            "sent",
            "done",
            "not-run",
            "unknown",
            "median ms",
            "99th ms",
        )
        print(form.format(*columns))
        for name in sample.CLASSES:
            counter, micros = self.outcomes[name], self.micros[name]
            told = [counter[one] for one in ("done", "not-run", "unknown")]
            times = [micros.get_value_at_percentile(one) / 1000 for one in (50, 99)]
            shown = [f"{one:.1f}" for one in times]
            print(form.format(name, counter.total(), *told, *shown))


def start(mesh: fleet.Fleet) -> list[fleet.Box]:
    """Start an entry box and a target box of each service in each data centre."""
    entries = []
    for name in DATA_CENTRES:
        entries.append(mesh.add_box(f"{name}-entry", name, entry=True))
        for service in sample.SERVICES:
            mesh.add_box(f"{name}-{service}", name, service=service)
    return entries


def send(table: Table, entry: fleet.Box, seed: int) -> None:
    """Send calls of each class in turn, from one caller."""
    rng = random.Random(seed)
    for number in range(CALLS_EACH):
        for service, method, path, class_name, repeatable, _ in sample.ROUTES:
            size = AUDIO_BYTES if class_name == "audio-download" else 0
            fields = (
                {}
                if repeatable
                else {headers.IDEMPOTENCY_KEY: f"{seed}-{number}-{service}"}
            )
            query = f"?ms={rng.uniform(1, 8):.2f}&size={size}"
            begun = time.monotonic()
            answer = client.fetch(
                entry.address("entry"),
                method,
                f"/{service}{path}/{number}{query}",
                headers=fields,
            )
            outcome = answer.headers[headers.OUTCOME]
            table.add(class_name, outcome, time.monotonic() - begun)


def run(mesh: fleet.Fleet) -> None:
    """Run the demo on a fleet."""
    entries = start(mesh)
    rolled = mesh.roll(sample.bundle_toml())
    print(rolled.stdout or rolled.stderr, end="")
    mesh.wait_ready()
    print(f"{len(mesh.boxes)} daemons ready, all shards owned")
    table = Table()
    callers = [
        threading.Thread(target=send, args=(table, entries[seed % 2], seed))
        for seed in range(CALLERS)
    ]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    table.show()
    codes = {box.daemon.stop() for box in mesh.boxes.values()}
    print(f"daemons stopped as planned, exit codes {sorted(codes)}")


def main() -> None:
    """Run the demo in a folder that is removed at the end."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder)
        with fleet.Fleet(path, data_centres=DATA_CENTRES) as mesh:
            run(mesh)


if __name__ == "__main__":
    main()
