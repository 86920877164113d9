"""Differences between a configuration and the one in force; keys are only counted."""

import json
from collections.abc import Callable, Iterator
from typing import Any, Final

from .check_findings import CheckFinding, Severity

MAX_VALUE_LENGTH: Final = 200
"""Characters of a value that are printed."""
KEY_FIELDS: Final = frozenset(("apiKeys", "apiKeyDigests"))
LIMIT_FIELDS: Final = frozenset(("priority", "ratePerS", "burst"))


def find_differences(new: dict[str, Any], old: dict[str, Any]) -> list[CheckFinding]:
    """Return what the new configuration adds, removes and changes."""
    findings = list(_compare_versions(new, old))
    for part, identify in (
        ("routes", _identify_route),
        ("services", _identify_by_name),
        ("tenants", _identify_by_name),
    ):
        findings += _compare_rows(part, identify, new, old)
    findings += _compare_fields(
        "limits", _as_object(new.get("limits")), _as_object(old.get("limits")), True
    )
    return findings


def _compare_versions(
    new: dict[str, Any], old: dict[str, Any]
) -> Iterator[CheckFinding]:
    try:
        is_newer = int(new["version"], 16) > int(old["version"], 16)
    except (LookupError, TypeError, ValueError):
        return
    if not is_newer:
        text = "is not newer than the version in force; no VM applies it"
        yield CheckFinding(Severity.WARNING, "version", text)


def _compare_rows(
    part: str,
    identify: Callable[[dict[str, Any]], str],
    new: dict[str, Any],
    old: dict[str, Any],
) -> Iterator[CheckFinding]:
    is_open = part != "tenants"
    new_rows, old_rows = (
        _rows_by_id(part, identify, new),
        _rows_by_id(part, identify, old),
    )
    for key, (number, row) in new_rows.items():
        place = f"{part}[{number}]"
        if key not in old_rows:
            yield CheckFinding(Severity.DIFFERENCE, place, f"added: {key}")
        else:
            yield from _compare_fields(place, row, old_rows[key][1], is_open)
    for key in old_rows.keys() - new_rows.keys():
        yield CheckFinding(Severity.DIFFERENCE, part, f"removed: {key}")


def _compare_fields(
    place: str, new: dict[str, Any], old: dict[str, Any], is_open: bool
) -> Iterator[CheckFinding]:
    """Compare fields; ``is_open`` says that all of their values may be printed."""
    for field in sorted(new.keys() | old.keys()):
        if new.get(field) == old.get(field):
            continue
        if field in KEY_FIELDS:
            text = _describe_keys(new.get(field), old.get(field))
        elif is_open or field in LIMIT_FIELDS:
            text = f"{_show(old, field, is_open)} becomes {_show(new, field, is_open)}"
        else:
            # The name of an unknown field may be a key in the wrong place.
            yield CheckFinding(Severity.DIFFERENCE, place, "another field changed")
            continue
        yield CheckFinding(Severity.DIFFERENCE, f"{place}.{field}", text)


def _describe_keys(new: Any, old: Any) -> str:
    if not isinstance(new, list) or not isinstance(old, list):
        return "changed; the keys can't be compared"
    added = sum(key not in old for key in new)
    removed = sum(key not in new for key in old)
    return f"{added} added, {removed} removed"


def _show(row: dict[str, Any], field: str, is_open: bool) -> str:
    if field not in row:
        return "nothing"
    if not is_open and not isinstance(row[field], int | float):
        return "an invalid value"
    return json.dumps(row[field])[:MAX_VALUE_LENGTH]


def _rows_by_id(
    part: str, identify: Callable[[dict[str, Any]], str], data: dict[str, Any]
) -> dict[str, tuple[int, dict[str, Any]]]:
    """Return numbers and rows by identity; of several with one, the last."""
    rows = data.get(part)
    if not isinstance(rows, list):
        return {}
    return {
        identify(row): (number, row)
        for number, row in enumerate(rows)
        if isinstance(row, dict)
    }


def _identify_route(row: dict[str, Any]) -> str:
    return f"{str(row.get('host')).lower()} {row.get('prefix')}"


def _identify_by_name(row: dict[str, Any]) -> str:
    name = row.get("name")
    return name if isinstance(name, str) else ""


def _as_object(value: Any) -> dict[str, Any]:
    return value if isinstance(value, dict) else {}
