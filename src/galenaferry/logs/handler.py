"""Logbook handler for structured lines, as text or as one JSON object per line."""

import json
import sys
from typing import Any, Final, Protocol, TextIO

import logbook

from ..clock import Clock, Millis, SystemClock
from .output import LossyOutput
from .rate_limiter import LogRateLimiter, LogRateLimits

TEXT_FORMAT: Final = "{record.time:%H:%M:%S.%f} {record.level_name} {record.channel}"
OMITTED_REPORT_INTERVAL_MS: Final = 1_000.0
"""Minimum time between two lines that report the omitted lines."""


class LineOutput(Protocol):
    """Destination of log lines."""

    def write_line(self, line: str) -> bool:
        """Write a line and return whether it was written."""


class StructuredHandler(logbook.Handler):
    """Handler that writes a record's message and keyword fields on one line.

    Parameters
    ----------
    output : LineOutput
    as_json : bool
        Whether lines are JSON objects instead of text.
    clock : Clock
        Clock of the rate limit.
    limits : LogRateLimits
    """

    def __init__(
        self,
        output: LineOutput,
        as_json: bool,
        clock: Clock,
        limits: LogRateLimits = LogRateLimits(),  # noqa: B008
    ) -> None:
        super().__init__(level=logbook.INFO)
        self._output = output
        self._as_json = as_json
        self._clock = clock
        self._rate_limiter = LogRateLimiter(limits)
        self._omitted_reported_at: Millis = clock.now()

    def emit(self, record: Any) -> None:
        """Write a record unless it exceeds the rate limit.

        The field ``is_minor`` is not written; it marks lines that are omitted first.
        """
        now = self._clock.now()
        is_minor = record.kwargs.pop("is_minor", False)
        if self._rate_limiter.try_acquire(record.channel, is_minor, now):
            self._write(record.channel, self.format(record))
        if now - self._omitted_reported_at >= OMITTED_REPORT_INTERVAL_MS:
            self._omitted_reported_at = now
            self._write_omitted_counts()

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

    def _write_omitted_counts(self) -> None:
        omitted = self._rate_limiter.pop_omitted_counts()
        if not omitted:
            return
        line = f"log lines left out: {omitted}"
        if self._as_json:
            line = json.dumps({"channel": "logs", "message": "left out", **omitted})
        self._write("logs", line)

    def _write(self, channel: str, line: str) -> None:
        if not self._output.write_line(line):
            self._rate_limiter.count_omitted(channel)


def set_up_logs(as_json: bool, stream: TextIO = sys.stderr) -> None:
    """Write all log records of this process to ``stream``, made non-blocking."""
    output = LossyOutput(stream.fileno())
    StructuredHandler(output, as_json, SystemClock()).push_application()


def logger(name: str) -> Any:
    """Return the logger that writes to the channel ``name``."""
    return logbook.Logger(name)
