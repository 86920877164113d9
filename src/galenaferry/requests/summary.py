"""What one request went through, for the one log line that it leaves."""

from typing import Any, Final

from ..attempts.messages import (
    AttemptOutcome,
    BrokenUnsent,
    Execution,
    Misdirected,
    NotConnected,
)
from ..backends.messages import Instance
from ..clock import Millis

UNDELIVERED: Final = (NotConnected, BrokenUnsent, Misdirected)
"""Ends of attempts that reached no instance, or only one that has ended."""


class RequestSummary:
    """Attempts and the end of one request.

    ``buffered_body_bytes`` is the length of the answer's body in bytes where it was
    held.

    Parameters
    ----------
    request_id : bytes
    started_at : float
        In milliseconds.
    """

    __slots__ = (
        "_attempts",
        "buffered_body_bytes",
        "ran",
        "reason",
        "request_id",
        "route",
        "sent_count",
        "started_at",
        "status",
    )

    def __init__(self, request_id: bytes, started_at: Millis) -> None:
        self.request_id = request_id
        self.started_at = started_at
        self.route = ""
        self.status = 0
        self.reason = ""
        self.ran = Execution.NOT_RUN
        self.sent_count = 0
        self.buffered_body_bytes = 0
        self._attempts: list[tuple[str, str, int]] = []

    @property
    def is_single_attempt_success(self) -> bool:
        """Whether one attempt was made and succeeded."""
        return len(self._attempts) == 1 and 200 <= self.status < 300

    @property
    def outcome(self) -> str:
        """What became of the request, in one of a few words."""
        if self.status == 0:
            return "closed"
        if self.reason:
            return "refused" if self.ran is Execution.NOT_RUN else "unknown"
        return "answered" if self.status < 500 else "failed"

    def add_attempt(
        self, instance: Instance, ending: AttemptOutcome, took: Millis
    ) -> None:
        """Add the end of an attempt that took so many milliseconds."""
        self.sent_count += not isinstance(ending, UNDELIVERED)
        self._attempts.append((instance.name, repr(ending), int(took)))

    def set_result(self, status: int, reason: str, ran: Execution) -> None:
        """Note how the request ended; status 0 stands for a closed connection."""
        self.status = status
        self.reason = reason
        self.ran = ran

    def log_fields(self, now: Millis) -> dict[str, Any]:
        """Return the fields of the log line."""
        return {
            "request": self.request_id.decode("latin-1"),
            "route": self.route,
            "status": self.status,
            "reason": self.reason,
            "ran": self.ran.value,
            "took_ms": int(now - self.started_at),
            "attempts": self._attempts,
        }
