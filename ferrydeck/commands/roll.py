"""`ferrydeck roll`: put a signed bundle in force."""

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
TRIES = 5
PAUSE_S = 0.2


def configure(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments."""
    parser.add_argument("signed", help="a signed bundle")
    parser.add_argument("--settings", required=True, help="signers and platform")


def run(args: argparse.Namespace) -> outcomes.Outcome:
    """Verify the bundle as daemons do, store it, and move the pointer to it."""
    cfg = files.read_settings(args.settings)
    verified = files.verified(args.signed, cfg)
    port = client.PlatformPort(
        address=cfg.platform.address, timeout_s=cfg.platform.timeout_s
    )
    return roll(port, verified)


def roll(port: client.PlatformPort, verified: signing.Verified) -> outcomes.Outcome:
    """Store a verified bundle once, and point to it from its parent only."""
    pointed = port.read(rollout.POINTER)
    refusal = check_parent(port, pointed, verified)
    if refusal is not None:
        return refusal
    refusal = store(port, verified)
    if refusal is not None:
        return refusal
    version = 0 if isinstance(pointed, platform.Absent) else pointed.entry.version
    return move_pointer(port, verified, version)


def check_parent(
    port: client.PlatformPort,
    pointed: platform.Found | platform.Absent,
    verified: signing.Verified,
) -> outcomes.Outcome | None:
    """Return an outcome if the pointer isn't at the bundle's parent."""
    parent = verified.bundle.parent
    if isinstance(pointed, platform.Absent):
        if not parent:
            return None
        text = "the platform has no bundle yet, so a bundle has no parent"
        return outcomes.Refused(text=text)
    current = msgspec.json.decode(pointed.entry.value, type=rollout.Pointer)
    if current.digest == verified.digest:
        return done(verified, "was in force already")
    if current.digest != parent:
        return conflict(port, current)
    if current.version >= verified.bundle.version:
        text = f"version {current.version} is in force; give a higher one"
        return outcomes.Refused(text=text)
    return None


def store(
    port: client.PlatformPort, verified: signing.Verified
) -> outcomes.Outcome | None:
    """Write the bundle under its version; an outcome if another one is there."""
    key = rollout.bundle_key(verified.bundle.version)
    value = verified.raw.decode()
    for _ in range(TRIES):
        result = port.ask(platform.Write(key=key, value=value, expected_version=0))
        if isinstance(result, platform.Written):
            return None
        found = port.read(key)
        if isinstance(found, platform.Found):
            stored = json.loads(found.entry.value)
            if stored["body"] == verified.signed.body:
                return None
            return taken(verified.bundle.version, found.entry.value)
        time.sleep(PAUSE_S)
    return outcomes.NotKnown(text=f"{key}: no answer from the platform")


def move_pointer(
    port: client.PlatformPort, verified: signing.Verified, expect: int
) -> outcomes.Outcome:
    """Swap the pointer; after a lost answer read it again."""
    pointer = rollout.Pointer(version=verified.bundle.version, digest=verified.digest)
    value = msgspec.json.encode(pointer).decode()
    for _ in range(TRIES):
        result = port.ask(
            platform.Write(key=rollout.POINTER, value=value, expected_version=expect)
        )
        if isinstance(result, platform.Written):
            return done(verified, "rolled")
        found = port.read(rollout.POINTER)
        if isinstance(found, platform.Found) and found.entry.version != expect:
            current = msgspec.json.decode(found.entry.value, type=rollout.Pointer)
            if current.digest == verified.digest:
                return done(verified, "rolled")
            return conflict(port, current)
        time.sleep(PAUSE_S)
    return outcomes.NotKnown(text="the pointer: no answer from the platform")


def done(verified: signing.Verified, how: str) -> outcomes.Done:
    """Return the outcome of a bundle that is in force."""
    version = verified.bundle.version
    text = f"version {version} digest {verified.digest} {how}"
    return outcomes.Done(text=text, data={"version": version})


def conflict(port: client.PlatformPort, current: rollout.Pointer) -> outcomes.Refused:
    """Return the outcome of a race that another bundle won."""
    found = port.read(rollout.bundle_key(current.version))
    value = found.entry.value if isinstance(found, platform.Found) else "{}"
    return refused(current.version, current.digest, value)


def taken(version: int, value: str) -> outcomes.Refused:
    """Return the outcome of a version that another bundle has."""
    digest = signing.SignedBundle(body=json.loads(value)["body"]).digest
    return refused(version, digest, value)


def refused(version: int, digest: str, value: str) -> outcomes.Refused:
    """Name the bundle that stands in the way, and who signed it."""
    signers = [one["signer"] for one in json.loads(value).get("signatures", ())]
    text = (
        f"conflict: version {version} digest {digest} "
        f"signed by {', '.join(signers) or '(unknown)'} goes before this one; "
        "review against it and sign anew with it as the parent"
    )
    data = {"version": version, "digest": digest, "signers": signers}
    return outcomes.Refused(text=text, data=data)
