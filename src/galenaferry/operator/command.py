"""Manage the configuration and the VMs of a galenaferry fleet."""

import argparse
import json
import os
import re
import sys
import time
import uuid
from collections.abc import Callable
from importlib import metadata
from pathlib import Path
from typing import Any, Final

from result import Err

from ..configuration.document import (
    EXCEPTION_PREFIX,
    Sections,
    diff_sections,
    parse_sections,
    render,
)
from ..findings import format_findings
from ..ini import parse_address
from .client import AdminResponse, AdminTarget, send_request
from .explain import explain, read_lines, render_explanation

EXIT_OK: Final = 0
EXIT_REFUSED: Final = 1
"""The file or change is not valid, the request failed, or the request id is unknown."""
EXIT_USAGE: Final = 2
EXIT_CONFLICT: Final = 3
EXIT_UNDECIDED: Final = 4
"""A change is not decided yet, or some live VMs have an older version in force."""
EXIT_UNREACHABLE: Final = 5
EXIT_UNAUTHORIZED: Final = 6

VERSION_LINE: Final = re.compile(r"^# version (\d+)$", re.MULTILINE)
"""Line of the output of ``show`` with the version that an edited file is based on."""
DECISION_TIMEOUT_SECONDS: Final = 30.0
"""Maximum time to wait for a proposed change to be accepted or refused."""
POLL_INTERVAL_SECONDS: Final = 0.1


class CommandError(Exception):
    """The command failed; ``code`` is its exit code."""

    def __init__(self, code: int, text: str) -> None:
        super().__init__(text)
        self.code = code


def main(arguments: list[str] | None = None) -> int:
    """Run one command and return its exit code."""
    options = _parser().parse_args(arguments)
    run: Callable[[argparse.Namespace], int] = options.run
    try:
        return run(options)
    except CommandError as error:
        sys.stderr.write(f"galenaferry: {error}\n")
        return error.code


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="galenaferry", description=__doc__)
    parser.add_argument(
        "--admin",
        type=parse_address,
        default=os.environ.get("GALENAFERRY_ADMIN", "127.0.0.1:9901"),
        help="IP:PORT of a VM's administration interface",
    )
    parser.add_argument("--token", default=os.environ.get("GALENAFERRY_TOKEN", ""))
    parser.add_argument("--json", action="store_true", help="print JSON")
    commands = parser.add_subparsers(required=True)
    check = commands.add_parser("check", help="validate a configuration file")
    check.add_argument("file")
    check.set_defaults(run=_check)
    apply = commands.add_parser("apply", help="propose a file's changes to the fleet")
    apply.add_argument("file")
    apply.add_argument("--author", default=os.environ.get("USER", "operator"))
    apply.add_argument("--reason", required=True)
    apply.add_argument("--base", type=int, help="version that the file is based on")
    apply.add_argument("--override", help="reason for overriding warnings")
    apply.add_argument("--id", help="id of the change, to retry it safely")
    apply.set_defaults(run=_apply)
    explain_command = commands.add_parser(
        "explain", help="explain the outcome of a request from logs"
    )
    explain_command.add_argument("request", help="id of the request")
    explain_command.add_argument(
        "files", nargs="*", type=argparse.FileType(errors="replace"), default=None
    )
    explain_command.set_defaults(run=_explain)
    version = commands.add_parser("version", help="print the program's version")
    version.set_defaults(run=_version)
    for name, run, text in (
        ("show", _show, "print the configuration in force"),
        ("exceptions", _exceptions, "list the exceptions and their reasons"),
        ("history", _history, "list the changes with time, author and reason"),
        ("status", _status, "list the configuration version in force at each VM"),
        ("dump", _dump, "print a VM's state"),
        ("metrics", _metrics, "print a VM's metrics"),
        ("drain", _drain, "start the graceful shutdown of a VM"),
    ):
        commands.add_parser(name, help=text).set_defaults(run=run)
    return parser


def _explain(options: argparse.Namespace) -> int:
    files = options.files or [sys.stdin]
    lines = read_lines(line for file in files for line in file)
    explanation = explain(options.request, lines)
    if not explanation.request_lines:
        raise CommandError(
            EXIT_REFUSED, f"no log line has the request id {options.request}"
        )
    data = {
        "own": [line.record for line in explanation.request_lines],
        "beliefs": [line.record for line in explanation.state_lines],
        "companions": list(explanation.related_requests),
    }
    _print(options, data, render_explanation(explanation))
    return EXIT_OK


def _version(options: argparse.Namespace) -> int:
    version = metadata.version("galenaferry")
    _print(options, {"version": version}, f"galenaferry {version}")
    return EXIT_OK


def _check(options: argparse.Namespace) -> int:
    text = _read_file(options.file)
    result = parse_sections(options.file, text)
    if isinstance(result, Err):
        findings = result.err_value
        rows = [finding._asdict() for finding in findings]
        _print(options, {"findings": rows}, format_findings(findings))
        return EXIT_REFUSED
    _print(options, {"findings": []}, f"{options.file}: no findings")
    return EXIT_OK


def _apply(options: argparse.Namespace) -> int:
    text = _read_file(options.file)
    result = parse_sections(options.file, text)
    if isinstance(result, Err):
        sys.stderr.write(format_findings(result.err_value) + "\n")
        return EXIT_REFUSED
    base = _base_version(options, text)
    old = _request(options, "GET", f"/v1/configuration?version={base}").data["sections"]
    edits = diff_sections(old, result.ok_value)
    if not edits:
        _print(options, {"state": "unchanged"}, "the file changes nothing")
        return EXIT_OK
    change_id = options.id or str(uuid.uuid4())
    body = {
        "base": base,
        "author": options.author,
        "reason": options.reason,
        "edits": [list(edit) for edit in edits],
    }
    if options.override:
        body["override"] = options.override
    response = _wait_for_decision(options, change_id, body)
    return _report_decision(options, change_id, response)


def _wait_for_decision(
    options: argparse.Namespace, change_id: str, body: dict[str, Any]
) -> AdminResponse:
    path = f"/v1/changes/{change_id}"
    ends_at = time.monotonic() + DECISION_TIMEOUT_SECONDS
    response = _request(options, "PUT", path, body)
    while response.status == 202 and time.monotonic() < ends_at:
        time.sleep(POLL_INTERVAL_SECONDS)
        response = _request(options, "GET", path)
    return response


def _report_decision(
    options: argparse.Namespace, change_id: str, response: AdminResponse
) -> int:
    data = response.data | {"id": change_id}
    match response.status:
        case 200:
            _print(options, data, f"accepted as version {data['version']}")
            return EXIT_OK
        case 409:
            lines = [f"change {change_id} conflicts with these; nothing was changed"]
            lines += [_describe_change(change) for change in data["changes"]]
            _print(options, data, "\n".join(lines))
            return EXIT_CONFLICT
        case 422:
            lines = [
                f"[{f['section']}] {f['key']}: {f['text']}" for f in data["findings"]
            ]
            _print(options, data, "\n".join(lines))
            return EXIT_REFUSED
        case 202:
            text = f"undecided: {data['reason']}\nretry with --id {change_id}"
            _print(options, data, text)
            return EXIT_UNDECIDED
    raise CommandError(
        EXIT_REFUSED, f"unexpected status {response.status}: {response.data}"
    )


def _show(options: argparse.Namespace) -> int:
    data = _request(options, "GET", "/v1/configuration").data
    text = f"# version {data['version']}\n{render(data['sections'])}"
    _print(options, data, text.rstrip())
    return EXIT_OK


def _exceptions(options: argparse.Namespace) -> int:
    sections: Sections = _request(options, "GET", "/v1/configuration").data["sections"]
    rows = [
        {"name": name.removeprefix(EXCEPTION_PREFIX)} | keys
        for name, keys in sorted(sections.items())
        if name.startswith(EXCEPTION_PREFIX)
    ]
    lines = [f"{row['name']}: {row['scope']}: {row['reason']}" for row in rows]
    _print(options, {"exceptions": rows}, "\n".join(lines) or "no exceptions")
    return EXIT_OK


def _history(options: argparse.Namespace) -> int:
    data = _request(options, "GET", "/v1/history").data
    lines = [_describe_change(change) for change in data["changes"]]
    _print(options, data, "\n".join(lines) or "no changes")
    return EXIT_OK


def _status(options: argparse.Namespace) -> int:
    data = _request(options, "GET", "/v1/fleet").data
    behind = [row for row in data["members"] if _is_behind(row, data["version"])]
    lines = [f"version {data['version']}, live VMs behind it: {len(behind)}"]
    for row in data["members"]:
        state = "leaving" if row["leaving"] else "live" if row["live"] else "silent"
        lines.append(f"{row['vm']:24} {row['zone']:12} {row['version']:6} {state}")
    _print(options, data, "\n".join(lines))
    return EXIT_OK if not behind else EXIT_UNDECIDED


def _is_behind(row: dict[str, Any], version: int) -> bool:
    return bool(row["live"] and row["version"] < version)


def _dump(options: argparse.Namespace) -> int:
    return _print_data(options, "/v1/state")


def _metrics(options: argparse.Namespace) -> int:
    return _print_data(options, "/v1/metrics")


def _print_data(options: argparse.Namespace, path: str) -> int:
    data = _request(options, "GET", path).data
    _print(options, data, json.dumps(data, indent=2))
    return EXIT_OK


def _drain(options: argparse.Namespace) -> int:
    data = _request(options, "POST", "/v1/drain").data
    _print(options, data, "graceful shutdown started")
    return EXIT_OK


def _base_version(options: argparse.Namespace, text: str) -> int:
    if options.base is not None:
        return int(options.base)
    found = VERSION_LINE.search(text)
    if found is None:
        raise CommandError(
            EXIT_USAGE,
            f"{options.file}: the line '# version N' of 'show' is missing; use --base",
        )
    return int(found.group(1))


def _describe_change(change: dict[str, Any]) -> str:
    stamp = time.strftime(
        "%Y-%m-%d %H:%M:%S", time.gmtime(change["accepted_at"] / 1000.0)
    )
    keys = ", ".join(f"[{section}] {key}" for section, key, _ in change["edits"])
    head = f"{change['version']} {stamp} {change['author']}: {change['reason']}"
    return f"{head} ({keys})"


def _request(
    options: argparse.Namespace, method: str, path: str, body: Any = None
) -> AdminResponse:
    target = AdminTarget(options.admin, options.token)
    result = send_request(target, method, path, body)
    if isinstance(result, Err):
        raise CommandError(EXIT_UNREACHABLE, result.err_value)
    response = result.ok_value
    if response.status == 401:
        raise CommandError(EXIT_UNAUTHORIZED, "the token is missing or wrong")
    if response.status in (400, 404):
        text = response.data["error"]["text"]
        raise CommandError(EXIT_REFUSED, f"{method} {path}: {text}")
    return response


def _read_file(file: str) -> str:
    try:
        return Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise CommandError(EXIT_USAGE, f"{file}: {error}") from None


def _print(options: argparse.Namespace, data: Any, text: str) -> None:
    sys.stdout.write((json.dumps(data) if options.json else text) + "\n")
