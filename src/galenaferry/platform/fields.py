"""Fields of rows that the operator wrote, and findings about those that are odd."""

import math
from collections.abc import Callable
from typing import Any, Final, TypeVar

from ..json_data import FIELD_ERRORS, MAX_INTEGER, check_text

MAX_ERROR_LENGTH: Final = 200
"""Characters of an error, which may quote a value of any length."""
MAX_FINDINGS: Final = 10
"""Findings that are kept of one configuration."""

T = TypeVar("T")


def get_list(data: dict[str, Any], name: str) -> list[Any]:
    """Return a field that is a list."""
    rows = data[name]
    if not isinstance(rows, list):
        raise ValueError(f"{name} is not a list")
    return rows


def get_string(row: dict[str, Any], name: str) -> str:
    """Return a field that is a text and not empty."""
    value = check_text(row[name], name)
    if not value:
        raise ValueError(f"{name} is empty")
    return value


def get_integer(row: dict[str, Any], name: str) -> int:
    """Return a field that is an integer from 0 to ``MAX_INTEGER``."""
    value = row[name]
    if not isinstance(value, int) or isinstance(value, bool):
        raise ValueError(f"{name} is not an integer")
    if not 0 <= value <= MAX_INTEGER:
        raise ValueError(f"{name} is out of range")
    return value


def get_number(row: dict[str, Any], name: str) -> float:
    """Return a field that is a number from 0 to ``MAX_INTEGER``."""
    value = row[name]
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise ValueError(f"{name} is not a number")
    # NaN is in no range.
    if not 0 <= value <= MAX_INTEGER or not math.isfinite(value):
        raise ValueError(f"{name} is out of range")
    return float(value)


def get_boolean(row: dict[str, Any], name: str) -> bool:
    """Return a field that is true or false."""
    value = row[name]
    if not isinstance(value, bool):
        raise ValueError(f"{name} is not true or false")
    return value


def describe_error(error: Exception) -> str:
    """Return an error as text; it names fields and holds no values of them."""
    return f"{type(error).__name__}: {error}"[:MAX_ERROR_LENGTH]


class Findings:
    """What can't be read in a configuration; ``texts`` has ``MAX_FINDINGS`` at most."""

    def __init__(self) -> None:
        self.texts: list[str] = []

    def add(self, part: str, error: str) -> None:
        """Add an error in a part of the configuration."""
        if len(self.texts) < MAX_FINDINGS:
            self.texts.append(f"{part}: {error}"[:MAX_ERROR_LENGTH])

    def parse(self, part: str, value: Any, parse: Callable[[Any], T]) -> T | None:
        """Return a parsed value, None with a finding if that fails."""
        try:
            return parse(value)
        except FIELD_ERRORS as error:
            self.add(part, describe_error(error))
            return None

    def parse_each(
        self, part: str, rows: list[Any], parse: Callable[[Any], T]
    ) -> list[T]:
        """Return the rows that can be parsed; the others give a finding."""
        parsed = [
            self.parse(f"{part} {number}", row, parse)
            for number, row in enumerate(rows, start=1)
        ]
        return [row for row in parsed if row is not None]

    def parse_optional(
        self, row: dict[str, Any], field: str, parse: Callable[[Any, str], T], absent: T
    ) -> T:
        """Return an optional field; one that can't be read counts as absent."""
        if field not in row:
            return absent
        value = self.parse(
            f"{field} of a route", row, lambda fields: parse(fields, field)
        )
        return absent if value is None else value
