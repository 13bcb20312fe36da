"""Starts and stops daemons, servers and a store as local processes."""

from __future__ import annotations

import http.client
import json
import pathlib

import attrs

from ferrydeck.standins import fleet, port_range

HOST = "calls.example"
ROUTES = [
    ["look", HOST, "/look/", "safe", "2000ms", "1000ms", 2, 2, "desk"],
    ["pay", HOST, "/pay/", "unsafe", "2000ms", "1000ms", 0, 2, "desk"],
]
COLUMNS = ["name", "host", "path_prefix", "route_type", "timeout", "target_latency"]
COLUMNS += ["priority", "max_attempts", "service"]
ENDPOINTS = ("target", "calls", "ready", "reports")


def manifest(version: int, routes: list[list[object]] = ROUTES) -> dict[str, object]:
    return {
        "version": f"r{version}",
        "routes": {"columns": COLUMNS, "rows": routes},
        "services": {
            "columns": ["name", "health_path", "max_connections"],
            "rows": [["desk", "/healthz", 100]],
        },
        "limits": {"max_header_bytes": 4096, "max_body_bytes": 100000},
    }


@attrs.define(kw_only=True)
class Answer:
    """An HTTP response as the client receives it."""

    status: int
    fields: dict[str, str]
    body: bytes


def fetch(
    address: str,
    method: str,
    path: str,
    *,
    body: object = None,
    fields: dict[str, str] | None = None,
    chunked: bool = False,
) -> Answer:
    conn = http.client.HTTPConnection(address, timeout=10)
    try:
        conn.request(method, path, body, fields or {}, encode_chunked=chunked)
        response = conn.getresponse()
        headers = {name.lower(): value for name, value in response.getheaders()}
        return Answer(status=response.status, fields=headers, body=response.read())
    finally:
        conn.close()


@attrs.define(kw_only=True, eq=False)
class MeshBox:
    """A daemon and its application server."""

    name: str
    ip: str
    ports: dict[str, int]
    settings: pathlib.Path
    work_ms: float
    slots: int
    daemon: fleet.Process
    server: fleet.Process | None = None

    def address(self, endpoint: str) -> str:
        return f"{self.ip}:{self.ports[endpoint]}"

    def ready(self) -> bool:
        return fetch(self.address("ready"), "GET", "/api/ready").status == 200

    def call(self, path: str, request_id: str, **options: object) -> Answer:
        method = options.pop("method", "GET")
        fields = {"Host": HOST, "X-Attempt-Id": request_id, "X-Deadline-Ms": "2000"}
        fields |= options.pop("fields", {})
        return fetch(self.address("calls"), method, path, fields=fields, **options)

    def server_ready(self) -> bool:
        return any(line["kind"] == "server-ready" for line in self.log_lines())

    def ran_ids(self) -> list[str]:
        answer = fetch(self.address("target"), "GET", "/standin/ran")
        return json.loads(answer.body)["ran"]

    def control(self, command: str, body: bytes = b"") -> dict[str, object]:
        answer = fetch(self.address("target"), "PUT", f"/standin/{command}", body=body)
        return json.loads(answer.body)

    def metric(self, name: str) -> float:
        text = fetch(self.address("metrics"), "GET", "/metrics").body.decode()
        for line in text.splitlines():
            if line.startswith(name + " "):
                return float(line.rpartition(" ")[2])
        raise AssertionError(f"no metric {name}")

    def log_lines(self) -> list[dict[str, object]]:
        text = self.daemon.log.read_text()
        complete = [line for line in text.splitlines(keepends=True) if line[-1] == "\n"]
        return [json.loads(line) for line in complete if line.startswith("{")]


class MeshFleet:
    """A store and boxes, each a daemon with a `desk` server on its own loopback IP."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.processes: list[fleet.Process] = []
        self.boxes: list[MeshBox] = []
        self.store_port = port_range.free_port()
        self.shared = {name: port_range.free_port() for name in ("link", "metrics")}
        self.store = self.spawn(
            "store",
            "ferrydeck.standins.main",
            "store",
            "--port",
            str(self.store_port),
        )
        fleet.eventually(lambda: self.control("state"), "the store answers")

    spawn = fleet.Fleet.spawn
    close = fleet.Fleet.close
    logged_exceptions = fleet.Fleet.logged_exceptions

    def control(self, command: str, body: bytes = b"") -> dict[str, object]:
        address = f"{port_range.IP}:{self.store_port}"
        answer = fetch(address, "PUT", f"/standin/{command}", body=body)
        return json.loads(answer.body)

    def publish(self, policy: dict[str, object]) -> None:
        self.control("policy", json.dumps(policy).encode())

    def add_box(
        self,
        *,
        work_ms: float = 2.0,
        slots: int = 8,
        store: str = "",
        link_advertised: str = "",
    ) -> MeshBox:
        number = len(self.boxes) + 1
        ip = f"127.0.0.{number}"
        ports = {name: port_range.free_port() for name in ENDPOINTS} | self.shared
        settings = self.folder / f"box-{number}.toml"
        text = self.settings_text(number, ip, ports, store, link_advertised)
        settings.write_text(text)
        box = MeshBox(
            name=f"box-{number}",
            ip=ip,
            ports=ports,
            settings=settings,
            work_ms=work_ms,
            slots=slots,
            daemon=self.start_daemon(number, settings),
        )
        box.server = self.start_server(box)
        self.boxes.append(box)
        return box

    def start_server(
        self, box: MeshBox, instance: str = "", reports: str = ""
    ) -> fleet.Process:
        return self.spawn(
            f"server-{box.name}",
            "ferrydeck.standins.main",
            "server",
            "--ip",
            box.ip,
            "--port",
            str(box.ports["target"]),
            "--service",
            "desk",
            "--reports",
            reports or box.address("reports"),
            "--work-ms",
            str(box.work_ms),
            "--slots",
            str(box.slots),
            "--instance",
            instance,
        )

    def start_daemon(self, number: int, settings: pathlib.Path) -> fleet.Process:
        return self.spawn(
            f"daemon-{number}", "ferrydeck.meshd", "--settings", str(settings)
        )

    def settings_text(
        self,
        number: int,
        ip: str,
        ports: dict[str, int],
        store: str,
        link_advertised: str,
    ) -> str:
        lines = [f'{name} = "{ip}:{ports[name]}"' for name in ENDPOINTS]
        lines += [
            f'box = "box-{number}"',
            'data_centre = "hall-a"',
            'region = "north"',
            f'ip = "{ip}"',
            'service = "desk"',
            f'store = "{store or f"{port_range.IP}:{self.store_port}"}"',
            f"link_port = {ports['link']}",
            f"metrics_port = {ports['metrics']}",
            *([f'link_advertised = "{link_advertised}"'] if link_advertised else []),
            "[log]",
            "served_per_s = 1000",
            "[terms]",
            'grace = "6s"',
        ]
        return "\n".join(lines) + "\n"

    def wait_linked(self) -> None:
        others = len(self.boxes) - 1
        for box in self.boxes:
            fleet.eventually(
                lambda box=box: box.metric("ferrydeck_peers_linked") == others,
                f"{box.name} is linked to all other boxes",
            )
            fleet.eventually(box.ready, f"{box.name} is ready")
            fleet.eventually(box.server_ready, f"{box.name} has seen its server ready")
            fleet.eventually(
                lambda box=box: (
                    box.call("/look/first", f"first-{box.name}").status == 200
                ),
                f"{box.name} serves",
            )
