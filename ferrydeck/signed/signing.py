"""Signed bundles: canonical body, digest and Ed25519 signatures."""

from __future__ import annotations

import json
from collections.abc import Iterable

import attrs
import msgspec
from cryptography import exceptions as crypto_exceptions
from cryptography.hazmat.primitives.asymmetric import ed25519

from ferrydeck.config import findings
from ferrydeck.signed import bundle as bundles
from ferrydeck.signed import settings

CONTEXT = b"ferrydeck bundle\0"


@attrs.define(kw_only=True, frozen=True)
class Signature:
    """The signature of an operator, in hexadecimal."""

    signer: str
    signature: str


@attrs.define(kw_only=True, frozen=True)
class SignedBundle:
    """A canonical bundle with its signatures."""

    body: str
    signatures: tuple[Signature, ...] = ()

    @property
    def digest(self) -> str:
        """The digest of the body."""
        return bundles.digest_of(self.body.encode())


@attrs.define(kw_only=True, frozen=True)
class Verified:
    """A signed bundle that was verified."""

    signed: SignedBundle
    bundle: bundles.Bundle
    raw: bytes
    signers: tuple[str, ...]

    @property
    def digest(self) -> str:
        """The digest of the canonical body."""
        return self.signed.digest


def encode(signed: SignedBundle) -> bytes:
    """Encode a signed bundle for storage and transfer."""
    return msgspec.json.encode(signed, order="sorted")


def decode(raw: bytes, name: str) -> SignedBundle | findings.Rejected:
    """Decode a signed bundle; `name` is used in findings."""
    try:
        return msgspec.json.decode(raw, type=SignedBundle)
    except msgspec.DecodeError as exc:
        return rejected(name, "(file)", str(exc))


def sign(signed: SignedBundle, *, signer: str, secret: str) -> SignedBundle:
    """Return `signed` with the signature of `signer` added or replaced."""
    key = ed25519.Ed25519PrivateKey.from_private_bytes(bytes.fromhex(secret))
    signature = Signature(
        signer=signer, signature=key.sign(CONTEXT + signed.body.encode()).hex()
    )
    others = [one for one in signed.signatures if one.signer != signer]
    return attrs.evolve(signed, signatures=(*others, signature))


def verify(
    raw: bytes, *, signers: Iterable[settings.Signer], needed: int, name: str
) -> Verified | findings.Rejected:
    """Verify the signatures and validate the body of a signed bundle."""
    signed = decode(raw, name)
    if isinstance(signed, findings.Rejected):
        return signed
    body = signed.body.encode()
    keys = {signer.name: signer.key for signer in signers}
    valid = {
        one.signer: keys[one.signer]
        for one in signed.signatures
        if one.signer in keys and is_valid_signature(keys[one.signer], one, body)
    }
    if len(set(valid.values())) < needed:
        return rejected(name, "signatures", f"{len(valid)} valid, {needed} required")
    return verify_body(signed, raw, name, tuple(sorted(valid)))


def verify_body(
    signed: SignedBundle, raw: bytes, name: str, signers: tuple[str, ...]
) -> Verified | findings.Rejected:
    """Check that the body is a valid bundle in canonical form."""
    report = findings.Report(file=name)
    try:
        table = json.loads(signed.body)
    except ValueError as exc:
        return rejected(name, "body", str(exc))
    if not isinstance(table, dict):
        return rejected(name, "body", "expected an object")
    bundle = bundles.parse(table, report)
    if isinstance(bundle, findings.Rejected):
        return bundle
    if bundles.canonical_body(bundle) != signed.body.encode():
        return rejected(name, "body", "not in canonical form")
    return Verified(signed=signed, bundle=bundle, raw=raw, signers=signers)


def is_valid_signature(public_key: str, one: Signature, body: bytes) -> bool:
    """Return whether a signature is valid for the key and the body."""
    try:
        key = ed25519.Ed25519PublicKey.from_public_bytes(bytes.fromhex(public_key))
        key.verify(bytes.fromhex(one.signature), CONTEXT + body)
    except (ValueError, crypto_exceptions.InvalidSignature):
        return False
    return True


def rejected(name: str, key: str, reason: str) -> findings.Rejected:
    """Return a rejection with one finding."""
    finding = findings.Finding(file=name, key=key, reason=reason)
    return findings.Rejected(findings=(finding,))
