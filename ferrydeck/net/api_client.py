"""Calls of an HTTP API whose answers are short: each ends with one result.

Owns the connections to one address and the calls that are under way. Relies on its
driver to register `http` with the loop and to call `expire`.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable

import attrs

from ferrydeck import clock
from ferrydeck.net import http, http_client, poller, request_client

MAX_ANSWER = 4 * 1024 * 1024
"""The longest answer that is read, bytes: a page of records takes up to one million."""
JSON_FIELDS = [("content-type", "application/json")]


@attrs.define(kw_only=True, frozen=True)
class Call:
    """A call as HTTP."""

    method: str
    path: str
    body: bytes = b""


@attrs.define(kw_only=True, frozen=True)
class Answer:
    """A whole answer, whatever its status."""

    status: int
    body: bytes
    fields: http.Fields


@attrs.define(kw_only=True, frozen=True)
class NoAnswer:
    """Whether the call took effect is not known."""

    detail: str


Result = Answer | NoAnswer


class ApiClient:
    """Sends calls to one address and hands each result to the caller's function."""

    def __init__(
        self, *, poller: poller.Poller, channel: str, address: str, max_connections: int
    ) -> None:
        self._waiting: dict[int, Callable[[Result], None]] = {}
        self._tickets = itertools.count(1)
        self.http = http_client.HttpClient(
            poller=poller,
            channel=channel,
            address=address,
            max_connections=max_connections,
            listener=self._answered,
            max_buffered_bytes=MAX_ANSWER,
        )

    def send(
        self,
        call: Call,
        *,
        timeout_s: float,
        on_result: Callable[[Result], None],
        fields: http.Fields | None = None,
    ) -> None:
        """Send a call; `answered` gets its result within `timeout_s`, seconds."""
        ticket = next(self._tickets)
        self._waiting[ticket] = on_result
        self.http.request(
            ticket,
            method=call.method,
            path=call.path,
            fields=fields or [],
            body=call.body,
            deadline=clock.now() + timeout_s,
        )

    def expire(self, now: float) -> None:
        """Give up calls whose time is over."""
        self.http.expire(now)

    def _answered(self, event: http_client.Event) -> None:
        on_result = self._waiting.pop(event.ticket, None)
        if on_result is None:
            return
        match event:
            case http_client.Replied(total=total, body=body) if total > len(body):
                self.http.cancel(event.ticket)
                on_result(NoAnswer(detail="answer too long"))
            case http_client.Replied(status=status, body=body, fields=fields):
                on_result(Answer(status=status, body=body, fields=fields))
            case request_client.RequestFailed(detail=detail):
                # Whatever ended or silenced this connection may have done so to the
                # idle ones, while a new one works.
                self.http.drop_idle()
                on_result(NoAnswer(detail=detail))
