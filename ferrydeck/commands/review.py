"""`ferrydeck review`: show a bundle and its changes to the one in force."""

from __future__ import annotations

import argparse
import difflib
import json

from ferrydeck import outcomes
from ferrydeck.commands import client, files
from ferrydeck.signed.core import platform, rollout

EXAMPLE = "ferrydeck review bundle.toml --settings box.toml"


def configure(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments."""
    parser.add_argument("bundle", help="a bundle in TOML, or signed")
    parser.add_argument("--settings", help="settings of the platform to compare with")


def run(args: argparse.Namespace) -> outcomes.Outcome:
    """Show the bundle, its digest and its diff to the one in force."""
    signed = files.read_signed(args.bundle)
    table = json.loads(signed.body)
    lines = [f"version {table['version']}", f"digest  {signed.digest}"]
    lines.append(f"parent  {table['parent'] or '(none)'}")
    lines += [f"signed  {one.signer}" for one in signed.signatures]
    before = ""
    if args.settings:
        before = current_body(files.read_settings(args.settings).platform.address)
    lines += difference(before, signed.body)
    data = {"version": table["version"], "digest": signed.digest}
    return outcomes.Done(text="\n".join(lines), data=data)


def current_body(address: str) -> str:
    """Return the body of the bundle in force, empty if there is none."""
    api = client.PlatformClient(address=address)
    pointer = api.read(rollout.POINTER)
    if isinstance(pointer, platform.Absent):
        return ""
    version = json.loads(pointer.entry.value)["version"]
    found = api.read(rollout.bundle_key(version))
    if isinstance(found, platform.Absent):
        return ""
    return json.loads(found.entry.value)["body"]


def difference(before: str, after: str) -> list[str]:
    """Return a unified diff of two bundles."""
    old = json.dumps(json.loads(before), indent=1).splitlines() if before else []
    new = json.dumps(json.loads(after), indent=1).splitlines()
    return list(difflib.unified_diff(old, new, "in force", "reviewed", lineterm=""))
