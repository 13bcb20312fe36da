"""Validation errors of a file, collected and reported together.

Used for the settings of both daemons, signed bundles and the policy in the store.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Finding:
    """A validation error at one key of a file."""

    file: str
    key: str
    reason: str

    def __str__(self) -> str:
        return f"{self.file}: {self.key}: {self.reason}"


@dataclasses.dataclass(kw_only=True)
class Report:
    """Collects the findings of one file."""

    file: str
    findings: list[Finding] = dataclasses.field(default_factory=list)

    def add(self, key: str, reason: str) -> None:
        """Add a finding at `key`."""
        self.findings.append(Finding(file=self.file, key=key, reason=reason))

    @property
    def clean(self) -> bool:
        """Return whether there are no findings."""
        return not self.findings


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rejected:
    """The result of reading an invalid file."""

    findings: tuple[Finding, ...]

    def __str__(self) -> str:
        return "\n".join(str(finding) for finding in self.findings)
