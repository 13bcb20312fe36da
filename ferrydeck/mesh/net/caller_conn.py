"""State of a caller's connection."""

from __future__ import annotations

import attrs

from ferrydeck.mesh import long_bodies
from ferrydeck.mesh.net import bodies
from ferrydeck.net import http, sockets


@attrs.define(kw_only=True, eq=False)
class CallerConn(sockets.Conn):
    """Connection of a caller."""

    source: str = ""
    head: http.RequestHead | None = None
    head_at: float = 0.0
    """When the head of the current request was received."""
    body: bytearray = attrs.Factory(bytearray)
    """The body, as long as it is short."""
    long_body: long_bodies.LongBody | None = None
    """The body, once it is known to be long, until the request is passed on."""
    wait_until: float = 0.0
    """When a long body stops waiting for memory; 0 for one that does not wait."""
    reader: bodies.BodyReader | None = None
    request_number: int = 0
    """Number of the request that is being answered; 0 if none."""
    linger_until: float = 0.0
    """Until when the rest of a rejected request is discarded; 0 for none."""
    keep_alive: bool = True
    """Whether the connection may serve another request."""
    streaming: bool = False
    chunked: bool = False
    unreported_bytes: int = 0
    """Bytes of a streamed answer that are not reported as sent yet."""
    active_at: float = 0.0
    """When it became idle, or last received bytes of the current request."""
