"""Logging with logbook, in plain or JSON format."""

from __future__ import annotations

import json
import sys

import logbook

from ferrydeck.signed import settings

PLAIN_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name} "
    "{record.channel}: {record.message}"
)


def as_json(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    """Format a record as a JSON line."""
    line = {
        "time": record.time.isoformat(),
        "level": record.level_name.lower(),
        "channel": record.channel,
        "message": record.message,
    }
    return json.dumps(line | record.extra)


def make_handler(cfg: settings.Log) -> logbook.Handler:
    """Return a handler for standard error with the configured format and level."""
    handler = logbook.StreamHandler(
        sys.stderr, level=cfg.level.upper(), format_string=PLAIN_FORMAT
    )
    if cfg.format == "json":
        handler.formatter = as_json
    return handler
