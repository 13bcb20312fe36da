"""`ferrydeck sign`: sign a bundle."""

from __future__ import annotations

import argparse
import pathlib

from ferrydeck import exceptions, outcomes
from ferrydeck.commands import files
from ferrydeck.signed import signing

EXAMPLE = (
    "ferrydeck sign bundle.toml --signer akosua --key akosua.key --out signed.json"
)


def configure(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments."""
    parser.add_argument("bundle", help="a bundle in TOML, or a signed bundle")
    parser.add_argument("--signer", required=True, help="the operator's name")
    parser.add_argument("--key", required=True, help="file with the secret key")
    parser.add_argument("--out", required=True, help="file for the signed bundle")


def run(args: argparse.Namespace) -> outcomes.Outcome:
    """Add the operator's signature and write the signed bundle."""
    secret = files.read_bytes(args.key).decode("ascii", "replace").strip()
    bundle = files.read_signed(args.bundle)
    try:
        signed = signing.sign(bundle, signer=args.signer, secret=secret)
    except ValueError as exc:
        raise exceptions.BadInput(f"{args.key}: not a secret key: {exc}") from exc
    try:
        pathlib.Path(args.out).write_bytes(signing.encode(signed))
    except OSError as exc:
        raise exceptions.BadInput(f"{args.out}: {exc.strerror}") from exc
    names = [one.signer for one in signed.signatures]
    text = f"digest {signed.digest} signed by {', '.join(names)}"
    return outcomes.Done(text=text, data={"digest": signed.digest, "signers": names})
