"""A stand-in for an application server that reports its state to a daemon."""

from __future__ import annotations

import enum
import http.client
import json
import os
import random
import weakref

import attrs
import msgspec

from ferrydeck import clock
from ferrydeck.net import http as http_format
from ferrydeck.signed.net import fields as header_fields
from ferrydeck.signed.wire import messages
from ferrydeck.standins import loop

REPORT_TIMEOUT_S = 1.0
CRASH_PATH = "/lethal"
"""Part of a request path that makes the server exit instead of answering."""
CRASH_EXIT_CODE = 70


class FaultMode(enum.StrEnum):
    """How the server handles requests."""

    WELL = "well"
    SHED = "shed"
    """Refuses all requests and reports them as not executed."""
    FAIL = "fail"
    """Executes requests and answers 500."""
    CUT = "cut"
    """Executes requests and closes the connection without a response."""
    UNSEALED = "unsealed"
    """Answers without the header that proves a complete response."""


@attrs.define(kw_only=True, frozen=True)
class Execution:
    """A request that the server executed."""

    request_id: str
    caller: str
    deadline_ms: int
    method: str
    path: str
    body: bytes


class AppServer(loop.Loop):
    """Serves requests on one port and reports to a daemon."""

    def __init__(
        self,
        *,
        ip: str,
        port: int,
        instance: str,
        service: str,
        zone: str,
        reports: str,
        slots: int = 8,
        work_s: float = 0.002,
        report_interval_s: float = 0.3,
    ) -> None:
        super().__init__(ip=ip, ports=[port])
        self.address = f"{ip}:{port}"
        self.instance = instance
        self.started_at_ms = clock.wall_ns() // 1_000_000
        self.service = service
        self.zone = zone
        self.reports = reports
        self.slots = slots
        self.work_s = work_s
        self.report_interval_s = report_interval_s
        self.fault_mode = FaultMode.WELL
        self.leaving = False
        self.says_leaving = False
        """Whether all answers state that it leaves, whatever its reports state."""
        self.rate_limit = ""
        """The rate limit in all answers; empty for none."""
        self.shed_ratio = 0.0
        """Part of the requests that it refuses, reported as not executed."""
        self.second_answer_ratio = 0.0
        """Part of the answers that it sends twice, with the next request."""
        self.second_answers: weakref.WeakKeyDictionary[object, bytes] = (
            weakref.WeakKeyDictionary()
        )
        """The answers to be sent once more, by connection."""
        self.rng = random.Random(instance)
        self.sequence = 0
        self.running_count = 0
        self.executions: list[Execution] = []
        self.disconnected: set[int] = set()
        """Calls whose clients have disconnected."""
        self.call_later(0.0, self._report)

    def handle_request(self, req: loop.Request) -> None:
        """Handle a request, a health check or a control call."""
        fields = {one.name: one.value for one in req.headers}
        if req.path.startswith("/standin/"):
            self._handle_control(req)
            return
        self._send_second_answer(req)
        if req.path == "/healthz":
            self._answer(req, 503 if self.leaving else 200, fields, b"")
        else:
            self._handle_app_request(req, fields)

    def _handle_control(self, req: loop.Request) -> None:
        match req.path:
            case "/standin/mood":
                self.fault_mode = FaultMode(req.body.decode())
            case "/standin/drain":
                self.leaving = True
                acked = self._send_report("PUT", self._report_body("draining"))
                self.answer(req.call, 200, {"acked": acked})
                return
            case "/standin/work":
                self.work_s = float(req.body)
            case "/standin/leave":
                self.says_leaving = True
            case "/standin/limit":
                self.rate_limit = req.body.decode()
            case "/standin/shed":
                self.shed_ratio = float(req.body)
            case "/standin/second-answers":
                self.second_answer_ratio = float(req.body)
        ran = [one.request_id for one in self.executions]
        self.answer(req.call, 200, {"ran": ran, "running": self.running_count})

    def _handle_app_request(self, req: loop.Request, fields: dict[str, str]) -> None:
        expected = fields.get("x-expect-instance", self.instance)
        if expected != self.instance:
            self._answer(req, 421, fields, b"", not_run=True)
            return
        sheds = self.fault_mode is FaultMode.SHED or self.rng.random() < self.shed_ratio
        if self.running_count >= self.slots or sheds:
            self._answer(req, 503, fields, b"", not_run=True)
            return
        self.running_count += 1
        ran = Execution(
            request_id=fields.get("x-attempt-id", ""),
            caller=fields.get("x-caller-service", ""),
            deadline_ms=int(fields.get("x-deadline-ms", "0")),
            method=req.method,
            path=req.path,
            body=req.body,
        )
        self.executions.append(ran)
        self._log_execution(ran)
        self.call_later(self.work_s, lambda: self._finish(req, fields))

    def _log_execution(self, ran: Execution) -> None:
        """Write an execution to standard output, where it outlives this process."""
        line = {"ran": ran.request_id, "instance": self.instance, "path": ran.path}
        line["at"] = clock.now()
        print(json.dumps(line), flush=True)

    def _finish(self, req: loop.Request, fields: dict[str, str]) -> None:
        self.running_count -= 1
        if CRASH_PATH in req.path:
            self._crash(req)
            return
        body = f"{self.service} {req.method} {req.path} ".encode() + req.body
        body = body.ljust(int(req.query.get("size", "0")), b".")
        match self.fault_mode:
            case FaultMode.CUT:
                self.abort(req.call)
            case FaultMode.FAIL:
                self._answer(req, 500, fields, b"failed", sealed=True)
            case FaultMode.UNSEALED:
                self._answer(req, 200, fields, body)
            case _:
                self._answer(req, 200, fields, body, sealed=True)

    def handle_disconnect(self, call: int) -> None:
        """Record the disconnect, which cancels a request that would exit the server."""
        self.disconnected.add(call)

    def _crash(self, req: loop.Request) -> None:
        """Exit the process unless the request's connection has closed."""
        if req.call in self.disconnected:
            return
        line = {"ended": req.path, "instance": self.instance, "at": clock.now()}
        print(json.dumps(line), flush=True)
        os._exit(CRASH_EXIT_CODE)

    def _answer(
        self,
        req: loop.Request,
        status: int,
        fields: dict[str, str],
        body: bytes,
        *,
        not_run: bool = False,
        sealed: bool = False,
    ) -> None:
        fields_sent = {
            "x-attempt-id": fields.get("x-attempt-id", ""),
            "x-instance-id": self.instance,
            "x-server-load": f"{self.running_count},0,{self.slots}",
        }
        if self.leaving or self.says_leaving:
            fields_sent["server-leaving"] = "1"
        if self.rate_limit:
            fields_sent["server-limit"] = self.rate_limit
        if not_run:
            fields_sent["x-not-executed"] = "1"
        if sealed:
            fields_sent["x-response-seal"] = f"{self.instance}.{len(body)}"
        headers = tuple(
            messages.Header(name=name, value=value)
            for name, value in fields_sent.items()
            if value
        )
        conn = self.connection(req.call)
        if conn is not None and self.rng.random() < self.second_answer_ratio:
            pairs = header_fields.to_fields(headers)
            head = http_format.response_head(status, pairs, len(body), close=False)
            self.second_answers[conn] = head + body
        self.answer(req.call, status, body, headers=headers)

    def _send_second_answer(self, req: loop.Request) -> None:
        """Send the copy of an earlier answer where the next answer is due."""
        conn = self.connection(req.call)
        copy = self.second_answers.pop(conn, None) if conn is not None else None
        if copy is not None:
            self.send_bytes(conn, copy)

    def _report(self) -> None:
        self.call_later(self.report_interval_s, self._report)
        if not self.leaving:
            self._send_report("PUT", self._report_body("ready"))

    def _report_body(self, state: str) -> bytes:
        self.sequence += 1
        return msgspec.json.encode(
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": state,
                "cold_remaining": "0ms",
                "sequence": self.sequence,
                "born": self.started_at_ms,
            }
        )

    def _send_report(self, method: str, body: bytes) -> bool:
        """Send a report and return whether it was acknowledged."""
        conn = http.client.HTTPConnection(self.reports, timeout=REPORT_TIMEOUT_S)
        try:
            conn.request(method, f"/api/instances/{self.instance}", body)
            return conn.getresponse().status == 200
        except OSError:
            return False
        finally:
            conn.close()


def new_instance() -> str:
    """Return a unique instance id."""
    return f"i-{clock.wall_ns():x}"
