"""Explanation of a request's outcome from the structured logs of many VMs."""

import re
from collections import defaultdict
from collections.abc import Iterable, Iterator
from typing import Any, Final, NamedTuple

from ..json_data import FIELD_ERRORS, parse_json

CONTEXT_SECONDS: Final = 10.0
"""Maximum time between a request's first line and other lines related to it."""
STATE_CHANNELS: Final = frozenset(
    ("instances", "configuration", "discovery", "placing", "settings", "node", "drain")
)
"""Log channels of state changes that may affect requests."""
LINE_PATTERN: Final = re.compile(r"^(?P<origin>[^{]*)(?P<record>\{.*\})\s*$")


class LogLine(NamedTuple):
    """One structured log line.

    ``origin`` is the text before the JSON object, whose last word is the VM.
    ``time`` is the ISO 8601 time of the record, empty without one.
    """

    origin: str
    time: str
    record: dict[str, Any]


class Explanation(NamedTuple):
    """Log lines and requests related to one request, each in order of time.

    ``request_lines`` are the lines of the request itself. ``state_lines`` are the
    state changes that its VM logged around that time. ``related_requests`` are the
    ids of other requests that failed at the same instances around that time.
    """

    request_lines: tuple[LogLine, ...]
    state_lines: tuple[LogLine, ...]
    related_requests: tuple[str, ...]


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the structured log lines in ``texts``; other lines are skipped."""
    for text in texts:
        match = LINE_PATTERN.match(text)
        if match is None:
            continue
        try:
            record = parse_json(match["record"])
        except ValueError:
            continue
        yield LogLine(match["origin"].strip(), str(record.get("time", "")), record)


def explain(request_id: str, lines: Iterable[LogLine]) -> Explanation:
    """Return the explanation of a request; it is empty without a line of it.

    State changes of single instances are included only for instances at which the
    request failed.
    """
    ordered = sorted(lines, key=lambda line: line.time)
    request_lines = [
        line for line in ordered if line.record.get("request") == request_id
    ]
    if not request_lines:
        return Explanation((), (), ())
    instances = {name for line in request_lines for name in _failed_instances(line)}
    vms = {_vm(line) for line in request_lines}
    state_lines = [
        line
        for line in ordered
        if str(line.record.get("channel")) in STATE_CHANNELS
        and "request" not in line.record
        and _is_in_context(line, request_lines[0])
        and _vm(line) in vms
        and str(line.record.get("instance", "")) in instances | {""}
    ]
    related_requests = [
        str(line.record["request"])
        for line in ordered
        if line not in request_lines
        and "request" in line.record
        and _is_in_context(line, request_lines[0])
        and instances & set(_failed_instances(line))
    ]
    return Explanation(
        tuple(request_lines), tuple(state_lines), tuple(related_requests)
    )


def render_explanation(explanation: Explanation) -> str:
    """Return the explanation as text, the oldest line first.

    At most 20 related requests are listed.
    """
    parts = []
    for line in sorted(
        (*explanation.request_lines, *explanation.state_lines), key=lambda x: x.time
    ):
        record = {k: v for k, v in line.record.items() if k not in ("time", "level")}
        if "request" in record:
            parts.append(_render_request(line, record))
            continue
        head = f"{line.time} {_vm(line)} {record.pop('channel', '')}"
        fields = " ".join(f"{k}={v}" for k, v in record.items() if k != "message")
        parts.append(f"{head}: {record.get('message', '')} {fields}".rstrip())
    count = len(explanation.related_requests)
    parts.append(f"{count} other requests failed at the same instances then")
    parts += [f"  {request}" for request in explanation.related_requests[:20]]
    return "\n".join(parts)


def _render_request(line: LogLine, record: dict[str, Any]) -> str:
    known = defaultdict(lambda: "?", record)
    rows = [
        f"{line.time} {_vm(line)} request {known['request']} on {known['route']}: "
        f"status {known['status']}, {known['ran']}, {known['took_ms']} ms"
        + (f", {record['reason']}" if record.get("reason") else "")
        + (f", workspace {record['workspace']}" if record.get("workspace") else "")
    ]
    rows += [f"    {name}: {how} after {ms} ms" for name, how, ms in _attempts(line)]
    return "\n".join(rows)


def _attempts(line: LogLine) -> list[tuple[str, str, Any]]:
    """Return the attempts of a request as instance, outcome and duration in ms.

    Lines of other programs, which need not have that form, count as without attempts.
    """
    attempts = line.record.get("attempts", [])
    try:
        return [(str(name), str(how), ms) for name, how, ms in attempts]
    except FIELD_ERRORS:
        return []


def _failed_instances(line: LogLine) -> list[str]:
    return [name for name, how, _ in _attempts(line) if not how.startswith("Answered")]


def _vm(line: LogLine) -> str:
    return line.origin.rpartition(" ")[2]


def _is_in_context(line: LogLine, other: LogLine) -> bool:
    return abs(_seconds_of_day(line) - _seconds_of_day(other)) <= CONTEXT_SECONDS


def _seconds_of_day(line: LogLine) -> float:
    """Return the time of day in seconds, 0 for a line without a time.

    The date is ignored: lines on both sides of midnight are not related, and lines of
    different days at the same time of day are.
    """
    clock = line.time.partition("T")[2].split("+")[0].rstrip("Z")
    parts = clock.split(":")
    try:
        hours, minutes, seconds = map(float, parts)
    except ValueError:
        return 0.0
    return hours * 3600.0 + minutes * 60.0 + seconds
