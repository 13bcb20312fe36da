"""`ferrydeck call`: send a call through an entry daemon."""

from __future__ import annotations

import argparse
import http.client

from ferrydeck import clock, outcomes
from ferrydeck.commands import client
from ferrydeck.signed.core import effects, headers

EXAMPLE = "ferrydeck call 127.0.0.1:8080 /payments-ledger/postings --key 17 --post x"
TIMEOUT_MARGIN_S = 5.0


def configure(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments."""
    parser.add_argument("entry", help="entry endpoint, IP:PORT")
    parser.add_argument("path", help="/SERVICE/PATH")
    parser.add_argument("--post", metavar="BODY", help="send this body as a POST")
    parser.add_argument("--key", help="Idempotency-Key")
    parser.add_argument("--deadline-ms", type=int, help="deadline in ms")


def run(args: argparse.Namespace) -> outcomes.Outcome:
    """Send the call and show its outcome, box, attempts and duration."""
    fields = {}
    if args.key:
        fields[headers.IDEMPOTENCY_KEY] = args.key
    if args.deadline_ms:
        fields[headers.DEADLINE_MS] = str(args.deadline_ms)
    method = "GET" if args.post is None else "POST"
    started = clock.now()
    try:
        answer = client.fetch(
            args.entry,
            method,
            args.path,
            body=(args.post or "").encode(),
            headers=fields,
            timeout_s=(args.deadline_ms or 60_000) / 1000 + TIMEOUT_MARGIN_S,
        )
    except (OSError, http.client.HTTPException) as exc:
        return outcomes.NotKnown(text=f"{args.entry} no complete response: {exc!r}")
    data = {
        "outcome": answer.headers.get(headers.OUTCOME, ""),
        "status": answer.status,
        "box": answer.headers.get(headers.BOX, ""),
        "attempts": int(answer.headers.get(headers.ATTEMPTS, "0")),
        "ms": round((clock.now() - started) * 1000, 1),
        "retry_after_ms": answer.headers.get(headers.RETRY_AFTER_MS, ""),
        "body": answer.body.decode("utf-8", "replace"),
    }
    text = " ".join(f"{name}={value}" for name, value in data.items())
    match data["outcome"]:
        case effects.Outcome.DONE:
            return outcomes.Done(text=text, data=data)
        case effects.Outcome.NOT_RUN:
            return outcomes.Refused(text=text, data=data)
        case _:
            return outcomes.NotKnown(text=text, data=data)
