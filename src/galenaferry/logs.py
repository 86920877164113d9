"""Structured logs by logbook: readable lines, or one JSON object a line."""

import json
import sys
from typing import Any, TextIO

import logbook

TEXT_FORMAT = "{record.time:%H:%M:%S.%f} {record.level_name} {record.channel}"


class StructuredHandler(logbook.StreamHandler):
    """Handler that writes the message and its extra fields on one line."""

    def __init__(self, stream: TextIO, as_json: bool) -> None:
        super().__init__(stream, level=logbook.INFO)
        self._as_json = as_json

    def format(self, record: Any) -> str:
        """Return the record as one line."""
        fields = dict(record.kwargs)
        if self._as_json:
            head = {
                "time": record.time.isoformat(),
                "level": record.level_name,
                "channel": record.channel,
                "message": record.msg,
            }
            return json.dumps(head | fields, default=str)
        tail = " ".join(f"{key}={value}" for key, value in fields.items())
        head_text = TEXT_FORMAT.format(record=record)
        return f"{head_text}: {record.msg} {tail}".rstrip()


def set_up_logs(as_json: bool, stream: TextIO = sys.stderr) -> None:
    """Send all log records of this process to ``stream``."""
    StructuredHandler(stream, as_json).push_application()


def logger(name: str) -> Any:
    """Return the logger of the slice called ``name``."""
    return logbook.Logger(name)
