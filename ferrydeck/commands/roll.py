"""`ferrydeck roll`: roll out a signed bundle."""

from __future__ import annotations

import argparse
import json
import time

import msgspec

from ferrydeck import outcomes
from ferrydeck.commands import client, files
from ferrydeck.signed import signing
from ferrydeck.signed.core import platform, rollout

EXAMPLE = "ferrydeck roll signed.json --settings box.toml"
MAX_ATTEMPTS = 5
RETRY_INTERVAL_S = 0.2


def configure(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments."""
    parser.add_argument("signed", help="a signed bundle")
    parser.add_argument("--settings", required=True, help="signers and platform")


def run(args: argparse.Namespace) -> outcomes.Outcome:
    """Verify the bundle as daemons do, store it and update the pointer."""
    cfg = files.read_settings(args.settings)
    verified = files.read_verified(args.signed, cfg)
    api = client.PlatformClient(
        address=cfg.platform.address, timeout_s=cfg.platform.timeout_s
    )
    return roll(api, verified)


def roll(api: client.PlatformClient, verified: signing.Verified) -> outcomes.Outcome:
    """Store a verified bundle and update the pointer if it refers to the parent."""
    pointer = api.read(rollout.POINTER)
    refusal = check_parent(api, pointer, verified)
    if refusal is not None:
        return refusal
    refusal = store(api, verified)
    if refusal is not None:
        return refusal
    version = 0 if isinstance(pointer, platform.Absent) else pointer.entry.version
    return move_pointer(api, verified, version)


def check_parent(
    api: client.PlatformClient,
    pointer: platform.Found | platform.Absent,
    verified: signing.Verified,
) -> outcomes.Outcome | None:
    """Return an outcome unless the pointer refers to the bundle's parent."""
    parent = verified.bundle.parent
    if isinstance(pointer, platform.Absent):
        if not parent:
            return None
        text = "the platform has no bundle yet, so the first one must have no parent"
        return outcomes.Refused(text=text)
    current = msgspec.json.decode(pointer.entry.value, type=rollout.Pointer)
    if current.digest == verified.digest:
        return done(verified, "is already in force")
    if current.digest != parent:
        return conflict(api, current)
    if current.version >= verified.bundle.version:
        text = f"version {current.version} is in force; use a higher version"
        return outcomes.Refused(text=text)
    return None


def store(
    api: client.PlatformClient, verified: signing.Verified
) -> outcomes.Outcome | None:
    """Store the bundle under its version; return an outcome on failure."""
    key = rollout.bundle_key(verified.bundle.version)
    value = verified.raw.decode()
    for _ in range(MAX_ATTEMPTS):
        result = api.send(platform.Write(key=key, value=value, expected_version=0))
        if isinstance(result, platform.Written):
            return None
        found = api.read(key)
        if isinstance(found, platform.Found):
            stored = json.loads(found.entry.value)
            if stored["body"] == verified.signed.body:
                return None
            return version_conflict(verified.bundle.version, found.entry.value)
        time.sleep(RETRY_INTERVAL_S)
    return outcomes.NotKnown(text=f"{key}: no answer from the platform")


def move_pointer(
    api: client.PlatformClient, verified: signing.Verified, expected: int
) -> outcomes.Outcome:
    """Update the pointer by compare-and-swap, reading it again after a failure."""
    pointer = rollout.Pointer(version=verified.bundle.version, digest=verified.digest)
    value = msgspec.json.encode(pointer).decode()
    for _ in range(MAX_ATTEMPTS):
        result = api.send(
            platform.Write(key=rollout.POINTER, value=value, expected_version=expected)
        )
        if isinstance(result, platform.Written):
            return done(verified, "rolled")
        found = api.read(rollout.POINTER)
        if isinstance(found, platform.Found) and found.entry.version != expected:
            current = msgspec.json.decode(found.entry.value, type=rollout.Pointer)
            if current.digest == verified.digest:
                return done(verified, "rolled")
            return conflict(api, current)
        time.sleep(RETRY_INTERVAL_S)
    return outcomes.NotKnown(text="pointer: no answer from the platform")


def done(verified: signing.Verified, action: str) -> outcomes.Done:
    """Return the outcome for a bundle that is in force."""
    version = verified.bundle.version
    text = f"version {version} digest {verified.digest} {action}"
    return outcomes.Done(text=text, data={"version": version})


def conflict(api: client.PlatformClient, current: rollout.Pointer) -> outcomes.Refused:
    """Return the outcome if the pointer refers to another bundle."""
    found = api.read(rollout.bundle_key(current.version))
    value = found.entry.value if isinstance(found, platform.Found) else "{}"
    return conflict_refusal(current.version, current.digest, value)


def version_conflict(version: int, value: str) -> outcomes.Refused:
    """Return the outcome if another bundle is stored under the version."""
    digest = signing.SignedBundle(body=json.loads(value)["body"]).digest
    return conflict_refusal(version, digest, value)


def conflict_refusal(version: int, digest: str, value: str) -> outcomes.Refused:
    """Return the outcome that names the conflicting bundle and its signers."""
    signers = [one["signer"] for one in json.loads(value).get("signatures", ())]
    text = (
        f"conflict: version {version} digest {digest} "
        f"signed by {', '.join(signers) or '(unknown)'} precedes this bundle; "
        "review against it and sign again with it as the parent"
    )
    data = {"version": version, "digest": digest, "signers": signers}
    return outcomes.Refused(text=text, data=data)
