"""HTTP client of the commands for admin endpoints and the platform."""

from __future__ import annotations

import dataclasses
import http.client
import time
from collections.abc import Mapping

from ferrydeck import exceptions
from ferrydeck.net import sockets
from ferrydeck.signed.core import platform
from ferrydeck.signed.net import platform_client

TIMEOUT_S = 5.0
MAX_ATTEMPTS = 5
RETRY_INTERVAL_S = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Response:
    """An HTTP response."""

    status: int
    headers: Mapping[str, str]
    body: bytes


def fetch(
    address: str,
    method: str,
    path: str,
    *,
    body: bytes = b"",
    headers: Mapping[str, str] | None = None,
    timeout_s: float = TIMEOUT_S,
) -> Response:
    """Send one request and return the complete response.

    Raises `OSError` or `http.client.HTTPException` on failure.
    """
    host, port = sockets.split_address(address)
    conn = http.client.HTTPConnection(host, port, timeout=timeout_s)
    try:
        conn.request(method, path, body=body, headers=dict(headers or {}))
        response = conn.getresponse()
        fields = {name.lower(): value for name, value in response.getheaders()}
        return Response(status=response.status, headers=fields, body=response.read())
    finally:
        conn.close()


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlatformClient:
    """A stateless client of the platform's store."""

    address: str
    timeout_s: float = TIMEOUT_S

    def send(self, request: platform.Request) -> platform.Result:
        """Send a request without retries."""
        http_request = platform_client.to_http(request)
        try:
            response = fetch(
                self.address,
                http_request.method,
                http_request.path,
                body=http_request.body,
                timeout_s=self.timeout_s,
            )
        except (OSError, http.client.HTTPException) as exc:
            return platform.NoAnswer(detail=repr(exc))
        return platform_client.from_http(request, response.status, response.body)

    def read(self, key: str) -> platform.Found | platform.Absent:
        """Read a key, with retries.

        Raises `PlatformUnreachable` if all attempts fail.
        """
        result: platform.Result = platform.NoAnswer(detail="not sent")
        for _ in range(MAX_ATTEMPTS):
            result = self.send(platform.Read(key=key))
            if isinstance(result, platform.Found | platform.Absent):
                return result
            time.sleep(RETRY_INTERVAL_S)
        raise exceptions.PlatformUnreachable(f"{self.address}: {result}")
