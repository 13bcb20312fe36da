"""Outcomes of commands and their exit codes."""

from __future__ import annotations

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True, kw_only=True)
class Done:
    """The command succeeded."""

    text: str
    data: Any = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refused:
    """The command was refused and changed nothing."""

    text: str
    data: Any = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class BadInput:
    """A file or an argument is invalid."""

    text: str
    data: Any = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotKnown:
    """The service was unreachable, or it is unknown whether the change was made."""

    text: str
    data: Any = None


Outcome = Done | Refused | BadInput | NotKnown

EXIT_CODES = {Done: 0, Refused: 1, BadInput: 2, NotKnown: 3}
