"""HTTP client of the platform's store: sends requests of the core, returns the results.

Owns the connections to the store and collects paged answers; `platform.kv` defines the
format of requests and answers.
"""

from __future__ import annotations

import functools
from collections.abc import Callable

import attrs

from ferrydeck.mesh import store
from ferrydeck.net import api_client, poller
from ferrydeck.platform import kv

MAX_CONNECTIONS = 8
"""Concurrent connections: two watches and a few calls."""
CALL_TIMEOUT_S = 1.5
"""Timeout of a call, seconds; a slow store takes 0.3."""


@attrs.define(kw_only=True)
class PendingRequest:
    """A request in flight, with the pages received so far."""

    request: store.Request
    pages: list[bytes] = attrs.Factory(list)
    era: int | None = None
    """Era of the pages; `None` before the first one."""


class StoreClient:
    """Sends requests of the core to the store and returns their results."""

    def __init__(
        self,
        *,
        poller: poller.Poller,
        address: str,
        answered: Callable[[store.Request, store.Result, int], None],
    ) -> None:
        self.answered = answered
        self.api = api_client.ApiClient(
            poller=poller,
            channel="store",
            address=address,
            max_connections=MAX_CONNECTIONS,
        )

    def ask(self, request: store.Request) -> None:
        """Send a request; its result is passed to `answered`."""
        self._send(PendingRequest(request=request), kv.to_http(request))

    def _send(self, pending: PendingRequest, call: api_client.Call) -> None:
        wait_s = getattr(pending.request, "wait_s", 0.0)
        self.api.send(
            call,
            timeout_s=CALL_TIMEOUT_S + wait_s,
            on_result=functools.partial(self._answered, pending),
            fields=api_client.JSON_FIELDS if call.body else None,
        )

    def _answered(self, pending: PendingRequest, answer: api_client.Result) -> None:
        match answer:
            case api_client.Answer():
                result = self._read(pending, answer)
            case api_client.NoAnswer(detail=detail):
                result = store.NoAnswer(detail=detail)
        if result is not None:
            self.answered(pending.request, result, pending.era or 0)

    def _read(
        self, pending: PendingRequest, answer: api_client.Answer
    ) -> store.Result | None:
        """Return the result of an answer, or `None` if another page follows."""
        try:
            era = kv.read_era(answer.fields)
        except ValueError as exc:
            return store.NoAnswer(detail=f"answer not understood: {exc}")
        if pending.era not in (None, era):
            return store.NoAnswer(detail="pages of two eras")
        pending.era = era
        pending.pages.append(answer.body)
        if self._more(pending, answer.status, answer.body):
            return None
        return kv.from_http(pending.request, answer.status, pending.pages)

    def _more(self, pending: PendingRequest, status: int, body: bytes) -> bool:
        """Request the next page; return false if there is none."""
        if status != 200 or not isinstance(pending.request, store.ReadBoxes):
            return False
        last = kv.last_key(body)
        if not last:
            return False
        self._send(pending, kv.next_page(pending.request, last))
        return True
