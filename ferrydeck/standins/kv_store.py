"""A stand-in for the platform's store that serves its HTTP API and injects faults."""

from __future__ import annotations

import base64
import enum

import attrs
import msgspec

from ferrydeck import clock
from ferrydeck.signed.wire import messages
from ferrydeck.standins import kv_state, loop

EXPIRY_INTERVAL_S = 0.05
POLICY_KEY = "op/config"
OPERATOR_PREFIX = "op/"
"""Prefix of keys that operators write, and rewrite after the store has lost them."""
READ_ONLY_PREFIXES = ("op/", "servers/")


class Fault(enum.StrEnum):
    """The fault injected into the store."""

    NONE = "none"
    BUSY = "busy"
    """Answers 503 without executing the call."""
    SILENT = "silent"
    """Neither answers nor executes the call."""
    LOST = "lost"
    """Executes writes but drops their responses."""


@attrs.define(kw_only=True)
class Watcher:
    """A watch call that waits for a change."""

    call: int
    prefix: str
    after: int
    deadline: float


class KvStore(loop.Loop):
    """Serves the store's API on one port."""

    def __init__(self, *, ip: str, port: int) -> None:
        super().__init__(ip=ip, ports=[port])
        self.state = kv_state.KvState()
        self.snapshot = self.state.copy()
        """The state that `/standin/restore` restores."""
        self.fault = Fault.NONE
        self.calls = 0
        self.watchers: dict[int, Watcher] = {}
        self.call_later(EXPIRY_INTERVAL_S, self._expire_leases)

    def handle_request(self, req: loop.Request) -> None:
        """Handle a call of the store's API or a control call."""
        if req.path.startswith("/standin/"):
            self._handle_control(req)
            return
        self.calls += 1
        match self.fault:
            case Fault.BUSY:
                self.answer(req.call, 503, {})
            case Fault.SILENT:
                return
            case _:
                self._serve(req)

    def handle_disconnect(self, call: int) -> None:
        """Remove the watch of a disconnected client."""
        self.watchers.pop(call, None)

    def _handle_control(self, req: loop.Request) -> None:
        match req.path:
            case "/standin/policy":
                value = base64.b64encode(req.body).decode()
                revision = self.state.put(POLICY_KEY, value)
                self._notify_watchers()
                self.answer(req.call, 200, {"revision": revision})
            case "/standin/write":
                revision = self.state.put(req.body.decode(), "")
                self._notify_watchers()
                self.answer(req.call, 200, {"revision": revision})
            case "/standin/fault":
                self.fault = Fault(req.body.decode())
                self.answer(req.call, 200, {})
            case "/standin/forget":
                self.state.discard_history()
                self._abort_watchers()
                self.answer(req.call, 200, {})
            case "/standin/copy":
                self.snapshot = self.state.copy()
                self.answer(req.call, 200, {"revision": self.state.revision})
            case "/standin/restore":
                self.state = self.state.restored_from(self.snapshot, OPERATOR_PREFIX)
                self.snapshot = self.state.copy()
                self._abort_watchers()
                self.answer(req.call, 200, {"era": self.state.era})
            case _:
                keys = sorted(self.state.items)
                self.answer(req.call, 200, {"keys": keys, "calls": self.calls})

    def answer(
        self,
        call: int,
        status: int,
        body: object = None,
        *,
        headers: tuple[messages.Header, ...] = loop.JSON_HEADERS,
    ) -> None:
        """Answer a call with the era of the state in a header."""
        era = messages.Header(name="Store-Era", value=str(self.state.era))
        super().answer(call, status, body, headers=(*headers, era))

    def _abort_watchers(self) -> None:
        for call in list(self.watchers):
            del self.watchers[call]
            self.abort(call)

    def _serve(self, req: loop.Request) -> None:
        match req.method, req.path:
            case "GET", "/api/kv-key":
                self._read_key(req)
            case "GET", "/api/kv-range":
                self._read_range(req)
            case "GET", "/api/kv-watch":
                self._start_watch(req)
            case "POST", "/api/kv-txn":
                self._transact(req)
            case "POST", "/api/kv-lease":
                ttl_time = msgspec.json.decode(req.body)["ttl_time"]
                ttl_s = int(ttl_time.removesuffix("ms")) / 1000
                lease = self.state.grant_lease(clock.now(), ttl_s)
                self._finish(req, {"lease": lease, "ttl_time": ttl_time})
            case "POST", _ if req.path.startswith("/api/kv-keep/"):
                self._renew_lease(req)
            case "DELETE", _ if req.path.startswith("/api/kv-lease-end/"):
                ended = self.state.end_lease(trailing_number(req.path))
                self._finish(req, {}, 200 if ended else 404)
            case _:
                self.answer(req.call, 404, {})

    def _read_key(self, req: loop.Request) -> None:
        item = self.state.items.get(req.query["tls_key"])
        if item is None:
            self.answer(req.call, 404, {"at": self.state.revision})
            return
        self.answer(req.call, 200, item_json(item) | {"at": self.state.revision})

    def _read_range(self, req: loop.Request) -> None:
        prefix, after = req.query["path_prefix"], req.query.get("after", "")
        keys = sorted(
            key for key in self.state.items if key.startswith(prefix) and key > after
        )
        page = [item_json(self.state.items[key]) for key in keys[:PAGE_SIZE]]
        answer = {
            "items": page,
            "more": len(keys) > PAGE_SIZE,
            "at": self.state.revision,
        }
        self.answer(req.call, 200, answer)

    def _start_watch(self, req: loop.Request) -> None:
        watcher = Watcher(
            call=req.call,
            prefix=req.query["path_prefix"],
            after=int(req.query["after"]),
            deadline=clock.now() + int(req.query["wait_ms"]) / 1000,
        )
        if not self._notify(watcher):
            self.watchers[req.call] = watcher

    def _transact(self, req: loop.Request) -> None:
        transaction = msgspec.json.decode(req.body)
        put, remove = transaction.get("put", []), transaction.get("remove", [])
        keys = [one["tls_key"] for one in put] + remove
        if any(key.startswith(READ_ONLY_PREFIXES) for key in keys):
            self.answer(req.call, 403, {})
            return
        leases = {one.get("lease", 0) for one in put} - {0}
        if leases - set(self.state.leases):
            self.answer(req.call, 404, {})
            return
        found = self.state.transact(transaction.get("expected_rev", []), put, remove)
        if isinstance(found, int):
            self._finish(req, {"revision": found})
            return
        items = [item_json(one) for one in found if one is not None]
        self.answer(req.call, 412, {"items": items})

    def _renew_lease(self, req: loop.Request) -> None:
        ttl_s = self.state.renew_lease(clock.now(), trailing_number(req.path))
        if ttl_s is None:
            self.answer(req.call, 404, {})
            return
        self._finish(req, {"ttl_time": f"{int(ttl_s * 1000)}ms"})

    def _finish(self, req: loop.Request, answer: object, status: int = 200) -> None:
        self._notify_watchers()
        if self.fault is Fault.LOST:
            self.abort(req.call)
            return
        self.answer(req.call, status, answer)

    def _notify_watchers(self) -> None:
        for call, watcher in list(self.watchers.items()):
            if self._notify(watcher):
                del self.watchers[call]

    def _notify(self, watcher: Watcher) -> bool:
        """Answer a watch that has changes or timed out; return whether it did."""
        changes = self.state.changes_since(watcher.prefix, watcher.after)
        if changes is None:
            self.answer(watcher.call, 410, {})
            return True
        if not changes and clock.now() < watcher.deadline:
            return False
        events = [event_json(one) for one in changes]
        self.answer(watcher.call, 200, {"events": events, "at": self.state.revision})
        return True

    def _expire_leases(self) -> None:
        self.call_later(EXPIRY_INTERVAL_S, self._expire_leases)
        self.state.expire_leases(clock.now())
        self._notify_watchers()


PAGE_SIZE = 500
"""Maximum items on one page of a range."""


def item_json(item: kv_state.Item) -> dict[str, object]:
    """Return the JSON form of an item."""
    return {
        "tls_key": item.key,
        "value": item.value,
        "revision": item.revision,
        "made": item.made,
        "lease": item.lease,
    }


def event_json(change: kv_state.Change) -> dict[str, object]:
    """Return the JSON form of a change in a watch response."""
    if change.value is None:
        return {"tls_key": change.key, "revision": change.revision, "gone": True}
    return {
        "tls_key": change.key,
        "value": change.value,
        "revision": change.revision,
        "made": change.made,
        "lease": change.lease,
    }


def trailing_number(path: str) -> int:
    """Return the number at the end of a path."""
    return int(path.rpartition("/")[2])
