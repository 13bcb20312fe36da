"""`ferrydeck check`: validate a settings file, a bundle or a policy of the store."""

from __future__ import annotations

import argparse
import tomllib

from ferrydeck import outcomes
from ferrydeck.commands import files
from ferrydeck.config import findings
from ferrydeck.mesh import settings as mesh_settings
from ferrydeck.platform import manifest
from ferrydeck.signed import bundle as bundles
from ferrydeck.signed import settings

EXAMPLE = "ferrydeck check box.toml"
SETTINGS_KEY = "cluster"
MESH_SETTINGS_KEY = "link_port"


def configure(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments."""
    parser.add_argument(
        "file",
        help="daemon settings or a bundle in TOML, or a policy in JSON as in the "
        "platform's store",
    )


def run(args: argparse.Namespace) -> outcomes.Outcome:
    """Validate the file and report all findings."""
    raw = files.read_bytes(args.file)
    kind, loaded = load(args.file, raw)
    if isinstance(loaded, findings.Rejected):
        return outcomes.BadInput(text=str(loaded), data=loaded.findings)
    return outcomes.Done(text=f"{args.file}: ok ({kind})", data={"kind": kind})


def load(name: str, raw: bytes) -> tuple[str, object]:
    """Return the kind of the file and its parsed content or findings."""
    if raw.lstrip().startswith(b"{"):
        return "policy", manifest.read(raw, name)
    try:
        table = tomllib.loads(raw.decode())
    except ValueError:
        table = {SETTINGS_KEY: ""}
    if MESH_SETTINGS_KEY in table:
        return "settings", mesh_settings.load(name)
    if SETTINGS_KEY in table:
        return "settings", settings.load(name)
    return "bundle", bundles.load(name)
