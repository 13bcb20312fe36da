"""A small deployment on loopback: a store, and boxes with a daemon and a server each.

The daemons run the command of `deploy/system.toml` with the template of their settings
filled as the platform fills it. Each box has a loopback address of its own, so that the
ports are alike on all boxes.
"""

from __future__ import annotations

import contextlib
import dataclasses
import http.client
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable

ROOT = pathlib.Path(__file__).resolve().parents[2]
SERVER = pathlib.Path(__file__).with_name("server.py")
HOST = "calls.example"
SERVICE = "ledger"
ZONE = "hall-a"
METRICS_PORT = 9464
"""The port that the template of the settings names."""
BOUNDS = {
    "contact": "3000ms",
    "ack": "4000ms",
    "drain": "2000ms",
    "grace": "6s",
    "loss_slack": "200ms",
    "config_apply": "2000ms",
    "retry_budget_ratio": "0.2",
    "budget_window": "10s",
    "budget_slack": "49",
}
GRACE_S = 6.0
START_TIMEOUT_S = 20.0
COLUMNS = ["name", "host", "path_prefix", "route_type", "timeout", "target_latency"]
COLUMNS += ["priority", "max_attempts", "service"]


class CannotRun(Exception):
    """The case can't run on this machine."""


def manifest(
    timeout: str, target_latency: str, look_service: str = SERVICE
) -> dict[str, object]:
    """Return a manifest with a safe, an unsafe and a download route.

    The unsafe route leads to `SERVICE`, the others to `look_service`.
    """
    rows = [
        ["look", HOST, "/look/", "safe", timeout, target_latency, 2, 2, look_service],
        ["pay", HOST, "/pay/", "unsafe", timeout, target_latency, 0, 2, SERVICE],
        [
            "file",
            HOST,
            "/file/",
            "download",
            timeout,
            target_latency,
            2,
            2,
            look_service,
        ],
    ]
    services = {"columns": ["name", "health_path", "max_connections"]}
    names = sorted({SERVICE, look_service})
    services["rows"] = [[name, "/healthz", 600] for name in names]
    limits = {"max_header_bytes": 16384, "max_body_bytes": 67108864}
    limits |= {"header_timeout": "3000ms", "idle_timeout": "15000ms"}
    routes = {"columns": COLUMNS, "rows": rows}
    return {"version": "r7", "routes": routes, "services": services, "limits": limits}


@dataclasses.dataclass(kw_only=True)
class Box:
    """A box with its daemon and its server."""

    name: str
    number: int
    ip: str
    ports: dict[str, int]
    settings: pathlib.Path
    daemon: subprocess.Popen
    server: subprocess.Popen
    server_log: pathlib.Path

    @property
    def calls(self) -> tuple[str, int]:
        """Address at which the daemon takes requests."""
        return self.ip, self.ports["outbound"]

    def ready(self) -> bool:
        """Return whether the daemon says that it is ready."""
        status, _ = fetch(self.ip, self.ports["ready"], "GET", "/api/ready")
        return status == 200

    def peers_linked(self) -> int:
        """Return the number of linked daemons, from the metrics."""
        _, text = fetch(self.ip, METRICS_PORT, "GET", "/metrics")
        found = re.search(rb"^ferrydeck_peers_linked (\S+)", text, re.MULTILINE)
        return int(float(found[1])) if found else -1

    def set_server(self, **options: object) -> None:
        """Change options of the server."""
        body = json.dumps(options).encode()
        fetch(self.ip, self.ports["app"], "PUT", "/standin/options", body)

    def server_events(self) -> list[dict[str, object]]:
        """Return the lines that the server has written, but for an unfinished one."""
        text = self.server_log.read_text()
        lines = text[: text.rfind("\n") + 1].splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]


class Site:
    """Starts the processes of a deployment, and ends all of them."""

    def __init__(self, case: pathlib.Path) -> None:
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="ferrydeck-review-"))
        self.record_file = (case / "record.txt").open("w")
        self.started_at = time.monotonic()
        self.processes: list[subprocess.Popen] = []
        self.boxes: list[Box] = []
        self.net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.role = role["roles"]["ferrydeck"]
        ports = free_ports(f"{self.net}.1", 6)
        names = ("app", "outbound", "ready", "control", "link", "store")
        self.ports = dict(zip(names, ports, strict=True))
        self.store_ip = f"{self.net}.250"

    def start_store(self) -> None:
        """Start the platform's store, and wait until it answers."""
        self.spawn(
            "store",
            [
                *("python3", "-m", "ferrydeck.standins.main", "store"),
                *("--ip", self.store_ip, "--port", str(self.ports["store"])),
            ],
        )
        wait_until(lambda: self.control_store("state"), "the store answers")

    def record(self, text: str) -> None:
        """Write a line to the record, with the seconds since the start."""
        self.record_file.write(f"{time.monotonic() - self.started_at:8.3f} {text}\n")
        self.record_file.flush()

    def spawn(self, name: str, words: list[str]) -> subprocess.Popen:
        """Start a program of the deployment, with the variables that it inherits."""
        kept = {"PATH", "HOME", "LANG"}
        env = {key: value for key, value in os.environ.items() if key in kept}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        log = self.folder / f"{name}-{len(self.processes)}.log"
        with log.open("wb") as out:
            process = subprocess.Popen(
                words,
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=subprocess.STDOUT,
            )
        process.log = log
        self.processes.append(process)
        return process

    def control_store(self, command: str, body: bytes = b"") -> bool:
        """Send a command to the stand-in store; return whether it took it."""
        path = f"/standin/{command}"
        status, _ = fetch(self.store_ip, self.ports["store"], "PUT", path, body)
        return status == 200

    def publish(self, policy: dict[str, object]) -> None:
        """Write the manifest into the store, as the operator does."""
        if not self.control_store("policy", json.dumps(policy).encode()):
            raise CannotRun("the store does not take the manifest")

    def add_box(self, service: str = SERVICE, **server_options: object) -> Box:
        """Start a box; options of the server are those of `server.py`."""
        number = len(self.boxes) + 1
        ip = f"{self.net}.{number}"
        settings = self.folder / f"box-{number}.toml"
        settings.write_text(self.fill_template(number, ip, service))
        server_args = {
            "ip": ip,
            "port": self.ports["app"],
            "service": service,
            "zone": ZONE,
            "reports": f"{ip}:{self.ports['control']}",
            "instance": f"i-{os.getpid():x}{number:02x}",
            **server_options,
        }
        options = []
        for name, value in server_args.items():
            options += [f"--{name.replace('_', '-')}", str(value)]
        server = self.spawn(f"server-{number}", ["python3", str(SERVER), *options])
        box = Box(
            name=f"box-{number}",
            number=number,
            ip=ip,
            ports=self.ports,
            settings=settings,
            daemon=self.start_daemon(number, settings),
            server=server,
            server_log=server.log,
        )
        self.boxes.append(box)
        return box

    def start_daemon(self, number: int, settings: pathlib.Path) -> subprocess.Popen:
        """Start a daemon with the command of the deploy file."""
        words = self.role["run"].split()
        words[words.index("--settings") + 1] = str(settings)
        return self.spawn(f"daemon-{number}", words)

    def fill_template(self, number: int, ip: str, service: str) -> str:
        """Return the settings of a box, from the template of the deploy file."""
        values = {
            "node": f"box-{number}",
            "zone": ZONE,
            "region": "north",
            "ip": ip,
            "service": service,
            "app": f"{ip}:{self.ports['app']}",
            "listen.outbound": f"{ip}:{self.ports['outbound']}",
            "listen.ready": f"{ip}:{self.ports['ready']}",
            "listen.control": f"{ip}:{self.ports['control']}",
            "platform.address": f"{self.store_ip}:{self.ports['store']}",
            "port_range.0": str(self.ports["link"]),
            "seeds|json": "[]",
            "heartbeat": "1500ms",
        }
        text = (ROOT / self.role["template"]).read_text()
        rows = "".join(f'{name} = "{value}"\n' for name, value in BOUNDS.items())
        text = re.sub(
            r"\{\{#bounds\}\}.*?\{\{/bounds\}\}\n?", rows, text, flags=re.DOTALL
        )
        return re.sub(r"\{\{([^}]+)\}\}", lambda gap: values[gap[1]], text)

    def wait_serving(self) -> None:
        """Wait until all daemons are linked with each other and serve."""
        for box in self.boxes:
            wait_until(
                lambda box=box: box.peers_linked() == len(self.boxes) - 1,
                f"{box.name} is linked with the others",
            )
            wait_until(box.ready, f"{box.name} is ready")
            wait_until(lambda box=box: self._serves(box), f"{box.name} serves")

    def server_events(self, event: str) -> list[dict[str, object]]:
        """Return what the servers have written of one kind of event."""
        lines = [line for box in self.boxes for line in box.server_events()]
        return [line for line in lines if line["event"] == event]

    def _serves(self, box: Box) -> bool:
        fields = {"Host": HOST, "X-Attempt-Id": f"first-{box.name}-{time.time_ns():x}"}
        fields["X-Deadline-Ms"] = "2000"
        status, _ = fetch(*box.calls, "GET", "/look/first", fields=fields)
        return status == 200

    def close(self) -> None:
        """End all processes that were started, and remove the temporary folder."""
        for process in self.processes:
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
        for process in self.processes:
            process.wait()
        self.record_file.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def fetch(
    ip: str,
    port: int,
    method: str,
    path: str,
    body: bytes = b"",
    fields: dict[str, str] | None = None,
) -> tuple[int, bytes]:
    """Make one HTTP call; return status and body."""
    conn = http.client.HTTPConnection(ip, port, timeout=5)
    try:
        conn.request(method, path, body or None, fields or {})
        answer = conn.getresponse()
        return answer.status, answer.read()
    finally:
        conn.close()


def wait_until(condition: Callable[[], object], what: str) -> None:
    """Wait until a condition holds; raise `CannotRun` if it does not in time."""
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError, http.client.HTTPException):
            if condition():
                return
        time.sleep(0.05)
    raise CannotRun(f"not in {START_TIMEOUT_S} s: {what}")


def free_ports(ip: str, count: int) -> list[int]:
    """Return ports that are free on a loopback address."""
    probes = [socket.socket() for _ in range(count)]
    try:
        for probe in probes:
            probe.bind((ip, 0))
        return [probe.getsockname()[1] for probe in probes]
    finally:
        for probe in probes:
            probe.close()


def with_trouble() -> bool:
    """Return whether the case is to run with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(case: pathlib.Path, play: Callable[[Site], bool]) -> int:
    """Play a case; return 1 if the rule was broken, 0 if it held, 2 if it can't run."""
    site = None
    signal.signal(signal.SIGTERM, lambda signo, stack: sys.exit(2))
    try:
        site = Site(case)
        site.start_store()
        broken = play(site)
        site.record(f"RESULT {'the rule was broken' if broken else 'the rule held'}")
    except Exception as exc:
        # Whatever else goes wrong must not look like a broken rule.
        print(f"the case can't run: {exc!r}", file=sys.stderr)
        return 2
    finally:
        if site is not None:
            site.close()
    return 1 if broken else 0
