"""A stand-in for the platform's store, by its published calls, with its faults."""

from __future__ import annotations

import base64
import enum

import attrs
import msgspec

from ferrydeck import clock
from ferrydeck.signed.wire import messages
from ferrydeck.standins import kv_state, loop

EXPIRE_EVERY_S = 0.05
POLICY_KEY = "op/config"
OPERATORS = "op/"
"""Keys that operators write, and write again when the store has lost them."""
READ_ONLY = ("op/", "servers/")


class Fault(enum.StrEnum):
    """What is wrong with the store."""

    NONE = "none"
    BUSY = "busy"
    """Answers 503; nothing is done."""
    SILENT = "silent"
    """Says nothing; nothing is done."""
    LOST = "lost"
    """Writes are done, and their answers lost."""


@attrs.define(kw_only=True)
class Watcher:
    """A call that waits for a change."""

    call: int
    prefix: str
    after: int
    ends: float


class KvStore(loop.Loop):
    """Serves the calls of the store on one port."""

    def __init__(self, *, ip: str, port: int) -> None:
        super().__init__(ip=ip, ports=[port])
        self.state = kv_state.KvState()
        self.older = self.state.copy()
        """The copy that the store goes back to."""
        self.fault = Fault.NONE
        self.calls = 0
        self.watchers: dict[int, Watcher] = {}
        self.after(EXPIRE_EVERY_S, self._expire)

    def asked(self, req: loop.Asked) -> None:
        """Serve a call of the store, or of whoever controls the stand-in."""
        if req.path.startswith("/standin/"):
            self._controlled(req)
            return
        self.calls += 1
        match self.fault:
            case Fault.BUSY:
                self.answer(req.call, 503, {})
            case Fault.SILENT:
                return
            case _:
                self._serve(req)

    def gone(self, call: int) -> None:
        """Forget a watch whose caller went."""
        self.watchers.pop(call, None)

    def _controlled(self, req: loop.Asked) -> None:
        match req.path:
            case "/standin/policy":
                value = base64.b64encode(req.body).decode()
                revision = self.state.put(POLICY_KEY, value)
                self._tell_watchers()
                self.answer(req.call, 200, {"revision": revision})
            case "/standin/write":
                revision = self.state.put(req.body.decode(), "")
                self._tell_watchers()
                self.answer(req.call, 200, {"revision": revision})
            case "/standin/fault":
                self.fault = Fault(req.body.decode())
                self.answer(req.call, 200, {})
            case "/standin/forget":
                self.state.forget()
                self._cut_watchers()
                self.answer(req.call, 200, {})
            case "/standin/copy":
                self.older = self.state.copy()
                self.answer(req.call, 200, {"revision": self.state.revision})
            case "/standin/restore":
                self.state = self.state.restored(self.older, OPERATORS)
                self.older = self.state.copy()
                self._cut_watchers()
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
        """Answer a call with the era of the state."""
        era = messages.Header(name="Store-Era", value=str(self.state.era))
        super().answer(call, status, body, headers=(*headers, era))

    def _cut_watchers(self) -> None:
        for call in list(self.watchers):
            del self.watchers[call]
            self.abort(call)

    def _serve(self, req: loop.Asked) -> None:
        match req.method, req.path:
            case "GET", "/api/kv-key":
                self._key(req)
            case "GET", "/api/kv-range":
                self._range(req)
            case "GET", "/api/kv-watch":
                self._watch(req)
            case "POST", "/api/kv-txn":
                self._transact(req)
            case "POST", "/api/kv-lease":
                wanted = msgspec.json.decode(req.body)["ttl_time"]
                ttl_s = int(wanted.removesuffix("ms")) / 1000
                lease = self.state.grant(clock.now(), ttl_s)
                self._done(req, {"lease": lease, "ttl_time": wanted})
            case "POST", _ if req.path.startswith("/api/kv-keep/"):
                self._keep(req)
            case "DELETE", _ if req.path.startswith("/api/kv-lease-end/"):
                ended = self.state.end_lease(number_in(req.path))
                self._done(req, {}, 200 if ended else 404)
            case _:
                self.answer(req.call, 404, {})

    def _key(self, req: loop.Asked) -> None:
        item = self.state.items.get(req.query["tls_key"])
        if item is None:
            self.answer(req.call, 404, {"at": self.state.revision})
            return
        self.answer(req.call, 200, shown(item) | {"at": self.state.revision})

    def _range(self, req: loop.Asked) -> None:
        prefix, after = req.query["path_prefix"], req.query.get("after", "")
        keys = sorted(
            key for key in self.state.items if key.startswith(prefix) and key > after
        )
        page = [shown(self.state.items[key]) for key in keys[:PAGE]]
        answer = {
            "items": page,
            "more": len(keys) > PAGE,
            "at": self.state.revision,
        }
        self.answer(req.call, 200, answer)

    def _watch(self, req: loop.Asked) -> None:
        watcher = Watcher(
            call=req.call,
            prefix=req.query["path_prefix"],
            after=int(req.query["after"]),
            ends=clock.now() + int(req.query["wait_ms"]) / 1000,
        )
        if not self._tell(watcher):
            self.watchers[req.call] = watcher

    def _transact(self, req: loop.Asked) -> None:
        asked = msgspec.json.decode(req.body)
        put, remove = asked.get("put", []), asked.get("remove", [])
        keys = [one["tls_key"] for one in put] + remove
        if any(key.startswith(READ_ONLY) for key in keys):
            self.answer(req.call, 403, {})
            return
        leases = {one.get("lease", 0) for one in put} - {0}
        if leases - set(self.state.leases):
            self.answer(req.call, 404, {})
            return
        found = self.state.transact(asked.get("expected_rev", []), put, remove)
        if isinstance(found, int):
            self._done(req, {"revision": found})
            return
        items = [shown(one) for one in found if one is not None]
        self.answer(req.call, 412, {"items": items})

    def _keep(self, req: loop.Asked) -> None:
        ttl_s = self.state.keep(clock.now(), number_in(req.path))
        if ttl_s is None:
            self.answer(req.call, 404, {})
            return
        self._done(req, {"ttl_time": f"{int(ttl_s * 1000)}ms"})

    def _done(self, req: loop.Asked, answer: object, status: int = 200) -> None:
        self._tell_watchers()
        if self.fault is Fault.LOST:
            self.abort(req.call)
            return
        self.answer(req.call, status, answer)

    def _tell_watchers(self) -> None:
        for call, watcher in list(self.watchers.items()):
            if self._tell(watcher):
                del self.watchers[call]

    def _tell(self, watcher: Watcher) -> bool:
        """Answer a watch if there is something to tell; return whether it was."""
        changes = self.state.since(watcher.prefix, watcher.after)
        if changes is None:
            self.answer(watcher.call, 410, {})
            return True
        if not changes and clock.now() < watcher.ends:
            return False
        told = [shown_change(one) for one in changes]
        self.answer(watcher.call, 200, {"events": told, "at": self.state.revision})
        return True

    def _expire(self) -> None:
        self.after(EXPIRE_EVERY_S, self._expire)
        self.state.expire(clock.now())
        self._tell_watchers()


PAGE = 500
"""Items on one page of a range."""


def shown(item: kv_state.Item) -> dict[str, object]:
    """Return an item as the store shows it."""
    return {
        "tls_key": item.key,
        "value": item.value,
        "revision": item.revision,
        "made": item.made,
        "lease": item.lease,
    }


def shown_change(change: kv_state.Change) -> dict[str, object]:
    """Return a change as a watch tells it."""
    if change.value is None:
        return {"tls_key": change.key, "revision": change.revision, "gone": True}
    return {
        "tls_key": change.key,
        "value": change.value,
        "revision": change.revision,
        "made": change.made,
        "lease": change.lease,
    }


def number_in(path: str) -> int:
    """Return the number at the end of a path."""
    return int(path.rpartition("/")[2])
