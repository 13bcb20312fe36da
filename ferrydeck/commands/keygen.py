"""`ferrydeck keygen`: generate an operator's key."""

from __future__ import annotations

import argparse
import os

from cryptography.hazmat.primitives.asymmetric import ed25519

from ferrydeck import exceptions, outcomes

EXAMPLE = "ferrydeck keygen --signer akosua --out akosua.key"
KEY_MODE = 0o600


def configure(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments."""
    parser.add_argument("--signer", required=True, help="the operator's name")
    parser.add_argument("--out", required=True, help="file for the secret key")


def run(args: argparse.Namespace) -> outcomes.Outcome:
    """Write the secret key and print the public key in settings format."""
    key = ed25519.Ed25519PrivateKey.generate()
    write_new(args.out, key.private_bytes_raw().hex() + "\n")
    public = key.public_key().public_bytes_raw().hex()
    text = f'[[signers]]\nname = "{args.signer}"\nkey = "{public}"'
    return outcomes.Done(text=text, data={"name": args.signer, "key": public})


def write_new(path: str, text: str) -> None:
    """Create a file; raises `BadInput` if it exists or can't be written."""
    try:
        fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, KEY_MODE)
    except OSError as exc:
        raise exceptions.BadInput(f"{path}: {exc.strerror}") from exc
    with os.fdopen(fd, "w", encoding="utf-8") as file:
        file.write(text)
