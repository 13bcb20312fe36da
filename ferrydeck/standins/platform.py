"""A stand-in for the platform's key-value service with fault injection."""

from __future__ import annotations

import attrs
import msgspec

from ferrydeck import clock
from ferrydeck.signed.core import platform
from ferrydeck.standins import loop, store


@attrs.define(kw_only=True)
class Faults:
    """The injected faults; set by JSON sent to `/_faults`."""

    down: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    """Number of upcoming writes that are applied but whose responses are lost."""
    stale: bool = False
    """Reads return the values as of the time when this was first set."""
    cut_ports: tuple[int, ...] = ()
    """Ports that don't answer, which partitions their clients from the platform."""
    list_lag_s: float = 0.0


@attrs.define(kw_only=True)
class Watcher:
    """A watch that waits for a change."""

    call: int
    request: platform.Watch


class Platform(loop.Loop):
    """Serves the store over HTTP on one port for each data centre."""

    def __init__(self, *, ip: str, ports: list[int]) -> None:
        super().__init__(ip=ip, ports=ports)
        self.store = store.Store()
        self.watchers: dict[int, Watcher] = {}
        self.faults = Faults()

    def handle_request(self, req: loop.Request) -> None:
        """Handle a request, subject to the faults."""
        if req.path.startswith("/_"):
            self._handle_control(req)
        elif self.faults.down or req.port in self.faults.cut_ports:
            self.abort(req.call)
        elif self.faults.slow_s:
            self.call_later(self.faults.slow_s, lambda: self._serve(req))
        else:
            self._serve(req)

    def handle_disconnect(self, call: int) -> None:
        """Remove the watch of a disconnected client."""
        self.watchers.pop(call, None)

    def _handle_control(self, req: loop.Request) -> None:
        match req.path:
            case "/_faults":
                self._set_faults(msgspec.json.decode(req.body, type=Faults))
                self.answer(req.call, 200, {})
            case "/_boxes":
                boxes = msgspec.json.decode(
                    req.body, type=tuple[platform.ListedBox, ...]
                )
                self.call_later(self.faults.list_lag_s, lambda: self._set_boxes(boxes))
                self.answer(req.call, 200, {})
            case "/_counts":
                counts = {"reads": self.store.reads, "writes": self.store.writes}
                self.answer(req.call, 200, counts)
            case _:
                self.answer(req.call, 404, {})

    def _set_faults(self, faults: Faults) -> None:
        self.faults = faults
        self.store.snapshot = None
        if faults.stale:
            self.store.make_stale()

    def _set_boxes(self, boxes: tuple[platform.ListedBox, ...]) -> None:
        self.store.boxes = boxes

    def _serve(self, req: loop.Request) -> None:
        request = parse_request(req)
        if request is None:
            self.answer(req.call, 404, {})
            return
        if isinstance(request, platform.Watch) and self._is_unchanged(request):
            self.watchers[req.call] = Watcher(call=req.call, request=request)
            self.call_later(request.wait_s, lambda: self._end_watch(req.call))
            return
        result = self.store.apply(clock.now(), request)
        if isinstance(result, platform.Written):
            self._notify_watchers(request.key)
            if self.faults.lose_answers:
                self.faults.lose_answers -= 1
                self.abort(req.call)
                return
        self._answer(req.call, result)

    def _answer(self, call: int, result: platform.Result) -> None:
        match result:
            case platform.Found(entry=entry):
                self.answer(call, 200, entry)
            case platform.Absent():
                self.answer(call, 404, {})
            case platform.Conflict():
                self.answer(call, 409, result)
            case _:
                self.answer(call, 200, result)

    def _is_unchanged(self, request: platform.Watch) -> bool:
        return self.store.version(request.key) == request.after_version

    def _end_watch(self, call: int) -> None:
        watcher = self.watchers.pop(call, None)
        if watcher is not None:
            self._answer(call, self.store.apply(clock.now(), watcher.request))

    def _notify_watchers(self, key: str) -> None:
        changed = [
            one.call
            for one in self.watchers.values()
            if one.request.key == key and not self._is_unchanged(one.request)
        ]
        for call in changed:
            self._end_watch(call)


def parse_request(req: loop.Request) -> platform.Request | None:
    """Return the platform request of an HTTP request, `None` if it is unknown."""
    kind, _, key = req.path[1:].partition("/")
    query = req.query
    match req.method, kind:
        case "PUT", "kv":
            return platform.Write(
                key=key,
                value=req.body.decode(),
                expected_version=int(query["expect"]),
                ttl_s=float(query.get("ttl", "0")),
            )
        case "GET", "kv" if "after" in query:
            after, wait_s = int(query["after"]), float(query["wait"])
            return platform.Watch(key=key, after_version=after, wait_s=wait_s)
        case "GET", "kv":
            return platform.Read(key=key)
        case "GET", "list":
            return platform.List(prefix=query["prefix"])
        case "GET", "boxes":
            return platform.ListBoxes()
    return None
