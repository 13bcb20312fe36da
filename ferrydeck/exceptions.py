"""Exceptions of ferrydeck."""

from __future__ import annotations


class FerrydeckError(Exception):
    """Base class of ferrydeck's exceptions."""


class BadInput(FerrydeckError):
    """A file or an argument of a command is invalid."""


class PlatformUnreachable(FerrydeckError):
    """The platform did not answer, so the outcome is unknown."""
