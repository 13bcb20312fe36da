"""Measures the cost of idle daemons by their number, for docs/CAPACITY.md."""

from __future__ import annotations

import argparse
import pathlib
import tempfile
import threading
import time

import attrs
import bench

from ferrydeck.commands import client
from ferrydeck.standins import fleet, sample

MEASUREMENT_S = 15.0
SETTLE_S = 5.0


@attrs.define(kw_only=True)
class Counters:
    """Cumulative counters at one time."""

    at: float
    processor_s: float
    bytes_in: float
    bytes_out: float
    reads: int
    writes: int


def read_metric(box: fleet.Box, name: str) -> float:
    """Return a metric of a daemon."""
    text = client.fetch(box.address("admin"), "GET", "/metrics").body.decode()
    for line in text.splitlines():
        if line.startswith(f"{name} "):
            return float(line.split()[1])
    return 0.0


def read_counters(mesh: fleet.Fleet) -> Counters:
    """Read the counters of the platform and the totals over all daemons."""
    boxes = list(mesh.boxes.values())
    counts = mesh.platform_counts()
    return Counters(
        at=time.monotonic(),
        processor_s=sum(bench.processor_s(box.daemon) for box in boxes),
        bytes_in=sum(read_metric(box, "ferrydeck_control_bytes_in") for box in boxes),
        bytes_out=sum(read_metric(box, "ferrydeck_control_bytes_out") for box in boxes),
        reads=counts["reads"],
        writes=counts["writes"],
    )


def measure(count: int, owners: int) -> None:
    """Start daemons, some of which own shards, and print their cost."""
    with (
        tempfile.TemporaryDirectory() as folder,
        fleet.Fleet(pathlib.Path(folder), data_centres=["north", "south"]) as mesh,
    ):
        for number in range(count):
            service = "payments-ledger" if number < owners else "catalogue"
            name = ("north", "south")[number % 2]
            mesh.add_box(f"box-{number}", name, service=service)
        rolled = mesh.roll(sample.bundle_toml(lease_s=10.0))
        assert rolled.returncode == 0, rolled.stderr
        mesh.wait_ready()
        event = threading.Event()
        event.wait(SETTLE_S)
        first = read_counters(mesh)
        event.wait(MEASUREMENT_S)
        last = read_counters(mesh)
        print_costs(mesh, count, owners, first, last)


def print_costs(
    mesh: fleet.Fleet, count: int, owners: int, first: Counters, last: Counters
) -> None:
    """Print the cost per daemon and second, and the platform's request rates."""
    elapsed_s = last.at - first.at
    core = (last.processor_s - first.processor_s) / elapsed_s / count
    bytes_in = (last.bytes_in - first.bytes_in) / elapsed_s / count
    bytes_out = (last.bytes_out - first.bytes_out) / elapsed_s / count
    memory = [bench.memory_mb(box.daemon) for box in mesh.boxes.values()]
    print(
        f"{count} daemons, {owners} owners: core {core:.4f}, control bytes/s in "
        f"{bytes_in:.0f} out {bytes_out:.0f}, memory {max(memory):.1f} MB, platform "
        f"reads/s {(last.reads - first.reads) / elapsed_s:.1f} writes/s "
        f"{(last.writes - first.writes) / elapsed_s:.2f}",
        flush=True,
    )


def main() -> None:
    """Measure fleets of several sizes."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", default="4:2,8:4,16:4,16:8,32:8")
    args = parser.parse_args()
    for size in args.sizes.split(","):
        count, owners = map(int, size.split(":"))
        measure(count, owners)


if __name__ == "__main__":
    main()
