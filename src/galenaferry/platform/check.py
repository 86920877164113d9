"""Check a configuration file before it is sent to the fleet.

Prints one JSON object a line: errors, warnings and, with a second file, differences
from the version in force. The exit code is 1 if there are errors. No key is printed.
"""

import argparse
import json
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final

from result import Err, Ok, Result

from ..json_data import FIELD_ERRORS, parse_json
from ..routing.checks import PlacedRoute, check_routes
from ..routing.hosts import ServiceSettings
from .check_differences import find_differences
from .check_findings import CheckFinding, Severity, render, sort_findings
from .check_workspaces import check_workspaces
from .documents import decode_configuration

EXIT_OK: Final = 0
EXIT_ERRORS: Final = 1
MISSING_FIELD: Final = "KeyError: "
"""Start of the decoder's finding for a field that is missing."""
WIRE_NAME_BY_FIELD: Final = {
    "": "",
    "name": ".name",
    "host": ".host",
    "prefix": ".prefix",
    "weighted_services": ".trafficSplit",
    "total_timeout": ".timeoutMs",
    "max_attempts": ".maxAttempts",
}


def main(arguments: list[str] | None = None) -> int:
    """Check the files that the arguments name; return the exit code."""
    parser = argparse.ArgumentParser(
        prog="python -m galenaferry.platform.check", description=__doc__
    )
    parser.add_argument("file", type=Path)
    parser.add_argument("--in-force", type=Path, help="file of the version in force")
    parser.add_argument(
        "--instances",
        type=_parse_instances,
        action="append",
        default=[],
        metavar="SERVICE=COUNT",
        help="number of instances of a service, to check the attempts of its routes",
    )
    options = parser.parse_args(arguments)
    findings = check_files(options.file, options.in_force, dict(options.instances))
    for finding in sort_findings(findings):
        sys.stdout.write(render(finding) + "\n")
    has_errors = any(finding.severity is Severity.ERROR for finding in findings)
    return EXIT_ERRORS if has_errors else EXIT_OK


def check_files(
    path: Path, in_force_path: Path | None, instances_by_service: dict[str, int]
) -> list[CheckFinding]:
    """Return all findings in a file, and its differences from the one in force."""
    data = _read(path)
    if isinstance(data, Err):
        return [CheckFinding(Severity.ERROR, "", data.err_value)]
    findings = check_configuration(data.ok_value, instances_by_service)
    if in_force_path is None:
        return findings
    in_force = _read(in_force_path)
    if isinstance(in_force, Err):
        text = f"the version in force: {in_force.err_value}"
        return [*findings, CheckFinding(Severity.ERROR, "", text)]
    return findings + find_differences(data.ok_value, in_force.ok_value)


def check_configuration(
    data: dict[str, Any], instances_by_service: dict[str, int]
) -> list[CheckFinding]:
    """Return the errors and warnings of a configuration."""
    findings = _check_version(data)
    services = _check_services(data, findings)
    routes = []
    for number, row in _rows(data, "routes", findings):
        # This field is checked below, where its place can be named.
        decodable = {name: row[name] for name in row if name != "public"}
        decoded = _decode_alone(data, "routes", decodable)
        findings += _errors(f"routes[{number}]", decoded)
        if isinstance(decoded, Ok) and decoded.ok_value.routes:
            routes.append(PlacedRoute(number, decoded.ok_value.routes[0]))
        if not isinstance(row.get("public", False), bool):
            place = f"routes[{number}].public"
            text = "is neither true nor false"
            findings.append(CheckFinding(Severity.ERROR, place, text))
    for found in check_routes(routes, services, instances_by_service):
        place = f"routes[{found.number}]{WIRE_NAME_BY_FIELD[found.field]}"
        findings.append(CheckFinding(Severity.WARNING, place, found.text))
    used = {w.service for _, route in routes for w in route.weighted_services}
    for number, row in _rows(data, "services", []):
        name = row.get("name")
        if isinstance(name, str) and name in services and name not in used:
            text = "no route has this service"
            findings.append(
                CheckFinding(Severity.WARNING, f"services[{number}].name", text)
            )
    if "limits" not in data:
        findings.append(CheckFinding(Severity.ERROR, "limits", "is missing"))
    else:
        decoded = _decode_alone(data, "limits", data["limits"])
        findings += _errors("limits", decoded)
    return findings + check_workspaces(data)


def _check_version(data: dict[str, Any]) -> list[CheckFinding]:
    version = data.get("version")
    try:
        is_valid = isinstance(version, str) and int(version, 16) > 0
    except ValueError:
        is_valid = False
    if is_valid:
        return []
    text = "is not a string of hexadecimal digits above 0"
    return [CheckFinding(Severity.ERROR, "version", text)]


def _check_services(
    data: dict[str, Any], findings: list[CheckFinding]
) -> dict[str, ServiceSettings]:
    services: dict[str, ServiceSettings] = {}
    for number, row in _rows(data, "services", findings):
        decoded = _decode_alone(data, "services", row)
        findings += _errors(f"services[{number}]", decoded)
        if isinstance(decoded, Err):
            continue
        for name, settings in decoded.ok_value.service_by_name.items():
            if name in services:
                text = "another service has this name; the last one holds"
                findings.append(
                    CheckFinding(Severity.WARNING, f"services[{number}].name", text)
                )
            services[name] = settings
    return services


def _decode_alone(data: dict[str, Any], part: str, value: Any) -> Result[Any, str]:
    """Decode a part of the configuration alone, so that its findings have a place."""
    document: dict[str, Any] = {"version": "1", "routes": [], "services": []}
    document["limits"] = {
        "maxHeaderBytes": 1,
        "maxBodyBytes": 1,
        "headerTimeoutMs": 1,
        "idleTimeoutMs": 1,
    }
    document[part] = value if part == "limits" else [value]
    try:
        return decode_configuration(json.dumps(document).encode())
    except FIELD_ERRORS as error:
        return Err(f"{type(error).__name__}: {error}")


def _errors(place: str, decoded: Result[Any, str]) -> Iterator[CheckFinding]:
    texts = (
        [decoded.err_value] if isinstance(decoded, Err) else decoded.ok_value.findings
    )
    for text in texts:
        # The decoder has seen this part as the first and only one.
        for prefix in ("route 1: ", "service 1: ", "limits: "):
            text = text.removeprefix(prefix)
        if text.startswith(MISSING_FIELD):
            text = f"{text.removeprefix(MISSING_FIELD)} is missing"
        yield CheckFinding(Severity.ERROR, place, text)


def _rows(
    data: dict[str, Any], part: str, findings: list[CheckFinding]
) -> list[tuple[int, dict[str, Any]]]:
    """Return the objects of a list with their numbers; others give a finding."""
    rows = data.get(part)
    if not isinstance(rows, list):
        findings.append(CheckFinding(Severity.ERROR, part, "is missing or not a list"))
        return []
    findings += [
        CheckFinding(Severity.ERROR, f"{part}[{number}]", "is not an object")
        for number, row in enumerate(rows)
        if not isinstance(row, dict)
    ]
    return [(n, row) for n, row in enumerate(rows) if isinstance(row, dict)]


def _read(path: Path) -> Result[dict[str, Any], str]:
    try:
        data = parse_json(path.read_bytes())
    except OSError as error:
        return Err(f"can't be read: {error.strerror}")
    except ValueError as error:
        return Err(f"is not JSON: {error}")
    if not isinstance(data, dict):
        return Err("is not a JSON object")
    return Ok(data)


def _parse_instances(text: str) -> tuple[str, int]:
    service, _, count = text.rpartition("=")
    if not service or not count.isdecimal():
        raise argparse.ArgumentTypeError(f"{text!r} is not SERVICE=COUNT")
    return service, int(count)


if __name__ == "__main__":
    raise SystemExit(main())
