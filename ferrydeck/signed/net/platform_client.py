"""Client of the platform's key-value service.

Converts the core's requests to HTTP and the answers to results, also for the operators'
tool. Owns the connections to the service.
"""

from __future__ import annotations

import functools
import json
import urllib.parse
from collections.abc import Callable

from ferrydeck.net import api_client, poller
from ferrydeck.signed.core import events, platform

MAX_CONNECTIONS = 32
"""Maximum of connections to the service."""


def to_http(request: platform.Request) -> api_client.Call:
    """Convert a request to an HTTP call."""
    match request:
        case platform.Read(key=key):
            return api_client.Call(method="GET", path=f"/kv/{quote(key)}")
        case platform.List(prefix=prefix):
            return api_client.Call(method="GET", path=f"/list?prefix={quote(prefix)}")
        case platform.Watch(key=key, after_version=after, wait_s=wait_s):
            path = f"/kv/{quote(key)}?after={after}&wait={wait_s}"
            return api_client.Call(method="GET", path=path)
        case platform.Write(key=key, value=value, expected_version=expect, ttl_s=ttl_s):
            path = f"/kv/{quote(key)}?expect={expect}&ttl={ttl_s}"
            return api_client.Call(method="PUT", path=path, body=value.encode())
        case platform.ListBoxes():
            return api_client.Call(method="GET", path="/boxes")


def from_http(request: platform.Request, status: int, body: bytes) -> platform.Result:
    """Convert an answer to a result; an invalid one becomes `NoAnswer`."""
    try:
        return read_answer(request, status, body)
    except (ValueError, KeyError, TypeError) as exc:
        return platform.NoAnswer(detail=f"answer not understood: {exc!r}")


def read_answer(request: platform.Request, status: int, body: bytes) -> platform.Result:
    """Parse an answer; raises `ValueError`, `KeyError` or `TypeError`."""
    if status == 404 and not isinstance(request, platform.Write):
        return platform.Absent()
    if status == 409:
        return platform.Conflict(version=json.loads(body)["version"])
    if status != 200:
        return platform.NoAnswer(detail=f"status {status}")
    answer = json.loads(body)
    match request:
        case platform.Write():
            return platform.Written(version=answer["version"])
        case platform.List():
            return platform.Listed(entries=tuple(map(parse_entry, answer["entries"])))
        case platform.ListBoxes():
            boxes = tuple(platform.ListedBox(**box) for box in answer["boxes"])
            return platform.BoxList(boxes=boxes)
        case _:
            return platform.Found(entry=parse_entry(answer))


def parse_entry(answer: dict[str, object]) -> platform.Entry:
    """Parse an entry of an answer."""
    return platform.Entry(
        key=str(answer["key"]),
        value=str(answer["value"]),
        version=int(answer["version"]),
    )


def quote(key: str) -> str:
    """Percent-encode a key for a URL path."""
    return urllib.parse.quote(key)


class PlatformClient:
    """Sends the core's requests and feeds the results back to it."""

    def __init__(
        self,
        *,
        poller: poller.Poller,
        address: str,
        timeout_s: float,
        feed: Callable[[events.Event], None],
    ) -> None:
        self.timeout_s = timeout_s
        self.feed = feed
        self.api = api_client.ApiClient(
            poller=poller,
            channel="platform",
            address=address,
            max_connections=MAX_CONNECTIONS,
        )

    def ask(self, request: platform.Request) -> None:
        """Send a request and feed its result to the core."""
        wait_s = request.wait_s if isinstance(request, platform.Watch) else 0.0
        self.api.send(
            to_http(request),
            timeout_s=self.timeout_s + wait_s,
            on_result=functools.partial(self._answered, request),
        )

    def _answered(self, request: platform.Request, answer: api_client.Result) -> None:
        match answer:
            case api_client.Answer(status=status, body=body):
                result = from_http(request, status, body)
            case api_client.NoAnswer(detail=detail):
                result = platform.NoAnswer(detail=detail)
        self.feed(events.PlatformAnswered(request=request, result=result))
