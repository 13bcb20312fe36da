"""A client for HTTP APIs with short answers: each call ends with one result.

Owns the connections to one address and the calls in progress. The driver must register
`http` with the loop and call `expire` regularly.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable

import attrs

from ferrydeck import clock
from ferrydeck.net import http, http_client, poller, request_client

MAX_ANSWER_BYTES = 4 * 1024 * 1024
"""Maximum length of an answer, bytes; a page of records takes up to 1 MB."""
JSON_FIELDS = [("content-type", "application/json")]


@attrs.define(kw_only=True, frozen=True)
class Call:
    """An API call as an HTTP request."""

    method: str
    path: str
    body: bytes = b""


@attrs.define(kw_only=True, frozen=True)
class Answer:
    """A complete answer with any status."""

    status: int
    body: bytes
    fields: http.Fields


@attrs.define(kw_only=True, frozen=True)
class NoAnswer:
    """No answer was received; the call may have taken effect."""

    detail: str


Result = Answer | NoAnswer


class ApiClient:
    """Sends calls to one address and passes each result to a callback."""

    def __init__(
        self, *, poller: poller.Poller, channel: str, address: str, max_connections: int
    ) -> None:
        self._callbacks: dict[int, Callable[[Result], None]] = {}
        self._tickets = itertools.count(1)
        self.http = http_client.HttpClient(
            poller=poller,
            channel=channel,
            address=address,
            max_connections=max_connections,
            listener=self._deliver,
            max_buffered_bytes=MAX_ANSWER_BYTES,
        )

    def send(
        self,
        call: Call,
        *,
        timeout_s: float,
        on_result: Callable[[Result], None],
        fields: http.Fields | None = None,
    ) -> None:
        """Send a call; `on_result` receives its result within `timeout_s` seconds."""
        ticket = next(self._tickets)
        self._callbacks[ticket] = on_result
        self.http.request(
            ticket,
            method=call.method,
            path=call.path,
            fields=fields or [],
            body=call.body,
            deadline=clock.now() + timeout_s,
        )

    def expire(self, now: float) -> None:
        """Fail the calls that timed out."""
        self.http.expire(now)

    def _deliver(self, event: http_client.Event) -> None:
        on_result = self._callbacks.pop(event.ticket, None)
        if on_result is None:
            return
        match event:
            case http_client.Answer(total=total, body=body) if total > len(body):
                self.http.cancel(event.ticket)
                on_result(NoAnswer(detail="answer too long"))
            case http_client.Answer(status=status, body=body, fields=fields):
                on_result(Answer(status=status, body=body, fields=fields))
            case request_client.RequestFailed(detail=detail):
                # The idle connections may be broken as well, so use new ones.
                self.http.close_idle()
                on_result(NoAnswer(detail=detail))
