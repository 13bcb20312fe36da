"""Reads and validates the input files of commands."""

from __future__ import annotations

import pathlib

from ferrydeck import exceptions
from ferrydeck.config import findings
from ferrydeck.signed import bundle as bundles
from ferrydeck.signed import settings, signing


def read_bytes(path: str) -> bytes:
    """Return the content of a file; raises `BadInput` if it can't be read."""
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as exc:
        raise exceptions.BadInput(f"{path}: {exc.strerror}") from exc


def read_settings(path: str) -> settings.Settings:
    """Return validated settings; raises `BadInput` with all findings."""
    cfg = settings.load(path)
    if isinstance(cfg, findings.Rejected):
        raise exceptions.BadInput(str(cfg))
    return cfg


def read_bundle(path: str) -> bundles.Bundle:
    """Return a validated bundle; raises `BadInput` with all findings."""
    bundle = bundles.load(path)
    if isinstance(bundle, findings.Rejected):
        raise exceptions.BadInput(str(bundle))
    return bundle


def read_signed(path: str) -> signing.SignedBundle:
    """Return a signed bundle; one in TOML is returned without signatures.

    Raises `BadInput` with all findings.
    """
    raw = read_bytes(path)
    if not raw.lstrip().startswith(b"{"):
        body = bundles.canonical_body(read_bundle(path)).decode()
        return signing.SignedBundle(body=body)
    signed = signing.decode(raw, path)
    if isinstance(signed, findings.Rejected):
        raise exceptions.BadInput(str(signed))
    return signed


def read_verified(path: str, cfg: settings.Settings) -> signing.Verified:
    """Return a signed bundle that is valid for daemons with these settings.

    Raises `BadInput` with the findings.
    """
    result = signing.verify(
        read_bytes(path),
        signers=cfg.signers,
        needed=cfg.signatures_needed,
        name=path,
    )
    if isinstance(result, findings.Rejected):
        raise exceptions.BadInput(str(result))
    return result
