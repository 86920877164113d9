"""Problems found in an input file, collected and reported together."""

from collections.abc import Iterable
from typing import NamedTuple


class Finding(NamedTuple):
    """One problem and its location.

    ``line`` counts from 1; 0 if the problem belongs to no line. ``section`` and
    ``key`` are empty if the problem belongs to none.
    """

    file: str
    section: str
    key: str
    line: int
    text: str

    def __str__(self) -> str:
        """Return ``file:line: [section] key: text``."""
        location = f"{self.file}:{self.line}" if self.line else self.file
        key = f" {self.key}" if self.key else ""
        section = f" [{self.section}]" if self.section else ""
        return f"{location}:{section}{key}: {self.text}"


def format_findings(findings: Iterable[Finding]) -> str:
    """Return all findings, one per line."""
    return "\n".join(str(finding) for finding in findings)
