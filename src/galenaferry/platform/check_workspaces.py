"""Check of the workspaces (``tenants``) in a configuration; keys are never quoted."""

import math
import re
from collections.abc import Iterator
from typing import Any, Final

from ..json_data import MAX_INTEGER
from .check_findings import CheckFinding, Severity

KEY: Final = re.compile(r"[!-~]+")
"""Keys that a header can hold without a doubt about its ends."""


def check_workspaces(data: dict[str, Any]) -> list[CheckFinding]:
    """Return the errors and warnings of all workspaces."""
    if "tenants" not in data:
        return []
    rows = data["tenants"]
    if not isinstance(rows, list):
        return [CheckFinding(Severity.ERROR, "tenants", "is not a list")]
    findings: list[CheckFinding] = []
    number_by_name: dict[str, int] = {}
    number_by_key: dict[str, int] = {}
    for number, row in enumerate(rows):
        place = f"tenants[{number}]"
        if not isinstance(row, dict):
            findings.append(CheckFinding(Severity.ERROR, place, "is not an object"))
            continue
        findings += _check_name(row, number, place, number_by_name)
        findings += _check_keys(row, number, place, number_by_key)
        findings += _check_limits(row, place)
    return findings


def _check_name(
    row: dict[str, Any], number: int, place: str, number_by_name: dict[str, int]
) -> Iterator[CheckFinding]:
    name = row.get("name")
    if not isinstance(name, str) or not name:
        yield CheckFinding(Severity.ERROR, f"{place}.name", "is no name")
        return
    first = number_by_name.setdefault(name, number)
    if first != number:
        text = f"workspace {first} has the same name"
        yield CheckFinding(Severity.ERROR, f"{place}.name", text)


def _check_keys(
    row: dict[str, Any], number: int, place: str, number_by_key: dict[str, int]
) -> Iterator[CheckFinding]:
    place = f"{place}.apiKeys"
    keys = row.get("apiKeys")
    if not isinstance(keys, list):
        yield CheckFinding(Severity.ERROR, place, "is missing or not a list")
        return
    if not keys:
        text = "no request can belong to a workspace without keys"
        yield CheckFinding(Severity.WARNING, place, text)
    for position, key in enumerate(keys):
        key_place = f"{place}[{position}]"
        if not isinstance(key, str) or not key:
            yield CheckFinding(Severity.ERROR, key_place, "is not a non-empty string")
            continue
        if not KEY.fullmatch(key):
            text = "can never match: no header can hold this key"
            yield CheckFinding(Severity.WARNING, key_place, text)
        first = number_by_key.setdefault(key, number)
        if first != number:
            text = f"workspace {first} has the same key; it identifies neither"
            yield CheckFinding(Severity.ERROR, key_place, text)


def _check_limits(row: dict[str, Any], place: str) -> Iterator[CheckFinding]:
    limits = {}
    for field in ("ratePerS", "burst"):
        value = row.get(field, 0)
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        # NaN is in no range.
        if not is_number or not 0 <= value <= MAX_INTEGER or not math.isfinite(value):
            text = "is not a number from 0 up; the workspace has no limit"
            yield CheckFinding(Severity.ERROR, f"{place}.{field}", text)
            return
        limits[field] = value
    priority = row.get("priority", 0)
    is_integer = isinstance(priority, int) and not isinstance(priority, bool)
    if not is_integer or not 0 <= priority <= MAX_INTEGER:
        text = "is not an integer from 0 up"
        yield CheckFinding(Severity.ERROR, f"{place}.priority", text)
    if limits["ratePerS"] > 0 and limits["burst"] < 1:
        text = "is below one request, but there is a limit"
        yield CheckFinding(Severity.WARNING, f"{place}.burst", text)
    elif limits["burst"] > 0 and not limits["ratePerS"]:
        text = "has no effect without ratePerS"
        yield CheckFinding(Severity.WARNING, f"{place}.burst", text)
