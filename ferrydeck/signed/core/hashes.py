"""Hashes that every daemon must agree on: xxHash of UTF-8 text."""

from __future__ import annotations

import xxhash


def hash64(text: str) -> int:
    """Return a number of 64 bits for a text."""
    return xxhash.xxh64_intdigest(text.encode())


def fingerprint(*parts: str | bytes) -> int:
    """Return a number of 64 bits for some parts, separated by their lengths."""
    digest = xxhash.xxh3_64()
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        digest.update(len(data).to_bytes(8, "big"))
        digest.update(data)
    return digest.intdigest()


def hash128_hex(text: str) -> str:
    """Return 128 bits for a text, as hexadecimal."""
    return xxhash.xxh3_128_hexdigest(text.encode())
