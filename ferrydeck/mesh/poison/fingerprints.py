"""Fingerprints that identify copies of a request.

Retries of a caller have new request ids. A fingerprint hashes what the target receives:
method, host, path with query, team and body.
"""

from __future__ import annotations

import hashlib

from ferrydeck.mesh import long_bodies, messages

HALF_BYTES = 8
"""Length of each half of a fingerprint, bytes. Finding a request with a given first
half takes 2**64 tries."""
HOST = "host"

Fingerprint = bytes
"""Hash of a request's head, followed by the hash of its body."""


def head(method: str, host: str, path: str, team: str) -> bytes:
    """Return the first half of a fingerprint, without hashing the body."""
    parts = "\0".join((method, host, path, team))
    return _digest(parts.encode("utf-8", "surrogateescape"))


def join(first_half: bytes, body: long_bodies.Body) -> Fingerprint:
    """Return the fingerprint with a given first half and body."""
    data = body.view() if isinstance(body, long_bodies.LongBody) else body
    return first_half + _digest(data)


def of_request(
    *,
    method: str,
    fields: messages.Fields,
    path: str,
    team: str,
    body: long_bodies.Body,
) -> Fingerprint:
    """Return the fingerprint of a request."""
    return join(head(method, host_of(fields), path, team), body)


def of_forward(forward: messages.Forward) -> Fingerprint:
    """Return the fingerprint of a forwarded request."""
    return of_request(
        method=forward.method,
        fields=forward.fields,
        path=forward.path,
        team=forward.team_name,
        body=forward.body,
    )


def host_of(fields: messages.Fields) -> str:
    """Return the `Host` header of a request; empty for none."""
    return next((value for name, value in fields if name == HOST), "")


def head_of(fingerprint: Fingerprint) -> bytes:
    """Return the first half of a fingerprint."""
    return fingerprint[:HALF_BYTES]


def weight(fingerprint: Fingerprint, name: str) -> bytes:
    """Return the rendezvous hash of a fingerprint and a name."""
    return _digest(fingerprint + name.encode())


def _digest(data: bytes | memoryview) -> bytes:
    return hashlib.blake2b(data, digest_size=HALF_BYTES).digest()
