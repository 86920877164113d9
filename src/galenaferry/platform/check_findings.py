"""Findings of the configuration check and their lines."""

import json
import re
from collections.abc import Iterable
from enum import Enum
from typing import Final, NamedTuple

NUMBER: Final = re.compile(r"(\d+)")


class Severity(Enum):
    """What a finding means; only errors make the check fail."""

    ERROR = "error"
    WARNING = "warning"
    DIFFERENCE = "difference"


class CheckFinding(NamedTuple):
    """One finding; ``place`` is a path like ``routes[2].host``, counted from 0."""

    severity: Severity
    place: str
    text: str


def sort_findings(findings: Iterable[CheckFinding]) -> list[CheckFinding]:
    """Return errors, warnings and differences, each by place."""
    order = list(Severity)
    return sorted(
        findings,
        key=lambda f: (order.index(f.severity), _place_key(f.place), f.text),
    )


def _place_key(place: str) -> list[tuple[int, str]]:
    """Return a key that sorts ``routes[10]`` after ``routes[9]``."""
    parts = NUMBER.split(place)
    return [
        (int(part), "") if number % 2 else (0, part)
        for number, part in enumerate(parts)
    ]


def render(finding: CheckFinding) -> str:
    """Return the line of a finding."""
    fields = finding._asdict() | {"severity": finding.severity.value}
    return json.dumps(fields)
