"""Runs daemons, targets and a platform as processes for demo, tests and benchmarks."""

from __future__ import annotations

import contextlib
import http.client
import json
import pathlib
import signal
import subprocess
import sys
import threading
from collections.abc import Callable
from typing import Any

import attrs

from ferrydeck import clock
from ferrydeck.commands import client
from ferrydeck.standins import port_range, sample

POLL_INTERVAL_S = 0.01
TIMEOUT_S = 20.0
EXCEPTION_MARKERS = ("raised", "Traceback", '"kind":"exception"')
"""Log texts that indicate an exception in a handler. The decision log contains only
the last one."""


def eventually(
    condition: Callable[[], Any], description: str, *, within_s: float = TIMEOUT_S
) -> Any:
    """Wait until a condition is true and return its value; fail after `within_s`."""
    deadline = clock.now() + within_s
    event = threading.Event()
    while True:
        with contextlib.suppress(OSError, http.client.HTTPException):
            if value := condition():
                return value
        if clock.now() > deadline:
            raise AssertionError(f"timed out after {within_s} s: {description}")
        event.wait(POLL_INTERVAL_S)


@attrs.define(kw_only=True, eq=False)
class Process:
    """A process started by the fleet."""

    name: str
    popen: subprocess.Popen
    log: pathlib.Path

    def signal(self, number: int) -> None:
        """Send a signal to the process if it is running."""
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its exit."""
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def freeze(self) -> None:
        """Suspend the process."""
        self.signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume the process."""
        self.signal(signal.SIGCONT)

    def stop(self, within_s: float = TIMEOUT_S) -> int:
        """Ask the process to shut down gracefully and return its exit code."""
        self.signal(signal.SIGTERM)
        return self.popen.wait(within_s)


@attrs.define(kw_only=True, eq=False)
class Box:
    """One box: a daemon and an optional target."""

    name: str
    data_centre: str
    service: str
    settings: pathlib.Path
    ports: dict[str, int]
    daemon: Process
    target: Process | None = None

    def address(self, endpoint: str) -> str:
        """Return the address of an endpoint of this box."""
        return f"{port_range.IP}:{self.ports[endpoint]}"

    def status(self) -> dict[str, Any]:
        """Return the daemon's status."""
        return json.loads(client.fetch(self.address("admin"), "GET", "/status").body)

    def audit(self, action: str = "") -> list[dict[str, Any]]:
        """Return the daemon's audit trail, optionally of one action only."""
        body = client.fetch(self.address("admin"), "GET", "/audit").body
        entries = [json.loads(line) for line in body.splitlines()]
        return [one for one in entries if action in ("", one["action"])]

    def effects(self) -> list[dict[str, Any]]:
        """Return the executions started at the target."""
        return json.loads(client.fetch(self.address("target"), "GET", "/_effects").body)

    def configure_target(self, **changes: Any) -> None:
        """Change settings of the target's behaviour."""
        body = json.dumps(changes).encode()
        client.fetch(self.address("target"), "POST", "/_set", body=body)


class Fleet:
    """Daemons, targets and one platform; `close` kills all of them."""

    def __init__(self, folder: pathlib.Path, *, data_centres: list[str]) -> None:
        self.folder = folder
        self.boxes: dict[str, Box] = {}
        self.processes: list[Process] = []
        self.platform_ports = {name: port_range.free_port() for name in data_centres}
        self.signers: list[str] = []
        self.signatures_needed = 1
        self.add_signer("akosua")
        ports = [str(port) for port in self.platform_ports.values()]
        arguments = [part for port in ports for part in ("--port", port)]
        self.platform = self.spawn(
            "platform", "ferrydeck.standins.main", "platform", *arguments
        )
        first = f"{port_range.IP}:{ports[0]}"
        self.control = first
        eventually(lambda: client.fetch(first, "GET", "/_counts"), "platform answers")

    def __enter__(self) -> Fleet:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def logged_exceptions(self) -> list[str]:
        """Return the log lines that report an exception in a handler."""
        return [
            f"{process.name}: {line}"
            for process in self.processes
            for line in process.log.read_text(errors="replace").splitlines()
            if any(mark in line for mark in EXCEPTION_MARKERS)
        ]

    def close(self) -> None:
        """Kill every process that the fleet started."""
        for process in self.processes:
            process.thaw()
            process.signal(signal.SIGKILL)
        for process in self.processes:
            process.popen.wait()

    def spawn(
        self,
        name: str,
        module: str,
        *arguments: str,
        checkout: pathlib.Path | None = None,
    ) -> Process:
        """Run a module in a new process, optionally from another checkout."""
        log = self.folder / f"{name}-{len(self.processes)}.log"
        with log.open("wb") as log_file:
            popen = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                cwd=checkout,
                stdin=subprocess.DEVNULL,
                stdout=log_file,
                stderr=log_file,
            )
        process = Process(name=name, popen=popen, log=log)
        self.processes.append(process)
        return process

    def run_tool(self, *arguments: str) -> subprocess.CompletedProcess:
        """Run the command-line tool and return the completed process."""
        command = [sys.executable, "-m", "ferrydeck.cli", *arguments]
        return subprocess.run(command, capture_output=True, text=True, check=False)

    def add_signer(self, name: str) -> None:
        """Generate an operator's key, which daemons started later trust."""
        result = self.run_tool(
            "keygen", "--signer", name, "--out", str(self.key_file(name))
        )
        assert result.returncode == 0, result.stderr
        self.signers.append(result.stdout)

    def key_file(self, name: str) -> pathlib.Path:
        """Return the path of an operator's secret key."""
        return self.folder / f"{name}.key"

    def add_box(
        self,
        name: str,
        data_centre: str,
        *,
        service: str = "",
        entry: bool = False,
        slots: int = 0,
        service_ms: float = 5.0,
        stop_limit_s: float = 30.0,
    ) -> Box:
        """Start a box, with a target if it serves a service."""
        ports = {
            one: port_range.free_port() for one in ("peer", "call", "admin", "local")
        }
        if entry:
            ports["entry"] = port_range.free_port()
        if service:
            ports["target"] = port_range.free_port()
        path = self.folder / f"{name}.toml"
        path.write_text(self._settings(name, data_centre, service, ports, stop_limit_s))
        box = Box(
            name=name,
            data_centre=data_centre,
            service=service,
            settings=path,
            ports=ports,
            daemon=self._start_daemon(name, path),
        )
        if service:
            count = slots or sample.SERVICES[service][0]
            box.target = self._start_target(box, count, service_ms)
        self.boxes[name] = box
        return box

    def restart(self, box: Box) -> None:
        """Start the box's daemon in a new process."""
        box.daemon = self._start_daemon(box.name, box.settings)

    def wait_ready(self, *, shards: bool = True) -> None:
        """Wait until every daemon has a bundle, all peers and its shards.

        Fails if a daemon has exited, since another process may use its address.
        """
        boxes = list(self.boxes.values())
        for box in boxes:
            eventually(lambda box=box: self._check_ready(box, len(boxes)), box.name)
        if shards:
            eventually(self._shards_owned, "every shard has an owner")

    def roll(self, bundle: str, *, signers: tuple[str, ...] = ("akosua",)) -> Any:
        """Sign a bundle, roll it out and return the completed tool process."""
        name = f"bundle-{len(list(self.folder.glob('bundle-*.toml')))}"
        source = self.folder / f"{name}.toml"
        signed = self.folder / f"{name}.json"
        source.write_text(bundle)
        input_path = source
        for signer in signers:
            key = str(self.key_file(signer))
            arguments = ("--signer", signer, "--key", key, "--out", str(signed))
            result = self.run_tool("sign", str(input_path), *arguments)
            assert result.returncode == 0, result.stderr
            input_path = signed
        settings = next(iter(self.boxes.values())).settings
        return self.run_tool("roll", str(signed), "--settings", str(settings))

    def set_faults(self, **faults: Any) -> None:
        """Set the platform's faults, clearing those that aren't named."""
        body = json.dumps(faults).encode()
        client.fetch(self.control, "POST", "/_faults", body=body)

    def platform_counts(self) -> dict[str, int]:
        """Return the numbers of reads and writes that the platform has served."""
        return json.loads(client.fetch(self.control, "GET", "/_counts").body)

    def set_box_list(self, states: dict[str, str]) -> None:
        """Set the platform's list of boxes."""
        entries = [
            {
                "box": name,
                "address": self.boxes[name].address("peer"),
                "data_centre": self.boxes[name].data_centre,
                "state": state,
            }
            for name, state in states.items()
        ]
        body = json.dumps(entries).encode()
        client.fetch(self.control, "POST", "/_boxes", body=body)

    def effects(self) -> dict[str, int]:
        """Return the number of executions of each key over all targets."""
        counts: dict[str, int] = {}
        for box in self.boxes.values():
            if box.target is None or box.target.popen.poll() is not None:
                continue
            for effect in box.effects():
                counts[effect["key"]] = counts.get(effect["key"], 0) + 1
        counts.pop("", None)
        return counts

    def _check_ready(self, box: Box, boxes: int) -> bool:
        code = box.daemon.popen.poll()
        if code is not None:
            raise AssertionError(f"the daemon of {box.name} exited with code {code}")
        status = box.status()
        known = sum(peer["takes_work"] for peer in status["peers"])
        return status["ready"] and known >= boxes - 1

    def _shards_owned(self) -> bool:
        once = {route[0] for route in sample.ROUTES if not route[4]}
        owned: dict[str, int] = {}
        for box in self.boxes.values():
            if box.service in once:
                status = box.status()
                if status["lease_left_s"] <= 0:
                    return False
                owned.setdefault(box.service, 0)
                owned[box.service] += len(status["shards"])
        return all(count == 32 for count in owned.values()) and self._balanced()

    def _balanced(self) -> bool:
        """Return whether each box of the services with shards owns at least one."""
        once = {route[0] for route in sample.ROUTES if not route[4]}
        return all(
            box.status()["shards"] for box in self.boxes.values() if box.service in once
        )

    def _settings(
        self,
        name: str,
        data_centre: str,
        service: str,
        ports: dict[str, int],
        stop_limit_s: float,
    ) -> str:
        seeds = [box.address("peer") for box in self.boxes.values()][:4]
        lines = [
            'cluster = "demo"',
            f'box = "{name}"',
            f'data_centre = "{data_centre}"',
        ]
        lines += [f'ip = "{port_range.IP}"', f"stop_limit_s = {stop_limit_s}"]
        lines += [f"signatures_needed = {self.signatures_needed}"]
        lines += [f"seeds = {json.dumps(seeds)}"]
        for endpoint in ("peer", "admin", "local", "entry"):
            if endpoint in ports:
                lines += [f"[{endpoint}]", f"port = {ports[endpoint]}"]
            if endpoint == "peer":
                lines += [f"call_port = {ports['call']}"]
        if service:
            address = f"{port_range.IP}:{ports['target']}"
            lines += ["[target]", f'service = "{service}"', f'address = "{address}"']
        address = f"{port_range.IP}:{self.platform_ports[data_centre]}"
        lines += ["[platform]", f'address = "{address}"', "timeout_s = 0.5"]
        return "\n".join(lines) + "\n" + "\n".join(self.signers)

    def _start_daemon(self, name: str, path: pathlib.Path) -> Process:
        return self.spawn(name, "ferrydeck.signed.daemon", "--settings", str(path))

    def _start_target(self, box: Box, slots: int, service_ms: float) -> Process:
        return self.spawn(
            f"{box.name}-target",
            "ferrydeck.standins.main",
            "target",
            "--port",
            str(box.ports["target"]),
            "--slots",
            str(slots),
            "--service-ms",
            str(service_ms),
            "--local",
            box.address("local"),
        )
