"""Problems found in an input, each with its place, collected and shown together."""

from collections.abc import Iterable
from typing import NamedTuple


class Finding(NamedTuple):
    """One problem and the place where it stands.

    ``line`` counts from 1; 0 means that the problem belongs to no line.
    """

    file: str
    section: str
    key: str
    line: int
    text: str

    def __str__(self) -> str:
        """Return ``file:line: [section] key: text``."""
        place = f"{self.file}:{self.line}" if self.line else self.file
        key = f" {self.key}" if self.key else ""
        section = f" [{self.section}]" if self.section else ""
        return f"{place}:{section}{key}: {self.text}"


def format_findings(findings: Iterable[Finding]) -> str:
    """Return all findings, one a line."""
    return "\n".join(str(finding) for finding in findings)
