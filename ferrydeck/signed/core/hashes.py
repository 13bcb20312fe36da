"""Hashes that must be the same in every daemon: xxHash of UTF-8 text."""

from __future__ import annotations

import xxhash


def hash64(text: str) -> int:
    """Return the 64-bit hash of a text."""
    return xxhash.xxh64_intdigest(text.encode())


def fingerprint(*parts: str | bytes) -> int:
    """Return a 64-bit hash of several parts, each prefixed with its length."""
    digest = xxhash.xxh3_64()
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        digest.update(len(data).to_bytes(8, "big"))
        digest.update(data)
    return digest.intdigest()


def hash128_hex(text: str) -> str:
    """Return the 128-bit hash of a text in hexadecimal."""
    return xxhash.xxh3_128_hexdigest(text.encode())
