"""Headers and counters of the request path."""

from dataclasses import dataclass, field
from typing import Final

from ..attempts.messages import Execution

RAN_HEADER: Final = b"galenaferry-ran"
TIME_LEFT_HEADER: Final = b"galenaferry-time-left-ms"
DRAINING_HEADER: Final = b"galenaferry-draining"
ATTEMPT_HEADER: Final = b"galenaferry-attempt"
REASON_HEADER: Final = b"galenaferry-reason"
REQUEST_ID_HEADER: Final = b"x-request-id"
IDEMPOTENCY_KEY_HEADER: Final = b"idempotency-key"
REPLAYED_HEADER: Final = b"galenaferry-replayed"
RETRY_AFTER_HEADER: Final = b"retry-after"


@dataclass(slots=True)
class RequestCounters:
    """Counts since the start of the process."""

    received: int = 0
    answered: int = 0
    refused_not_run: int = 0
    ended_unknown: int = 0
    retried: int = 0
    shed: int = 0
    broken_after_head: int = 0
    callers_left: int = 0
    remote_zone: int = 0
    framing_errors: int = 0
    queued: int = 0
    by_status: dict[int, int] = field(default_factory=dict)

    def count_refusal(self, ran: Execution) -> None:
        """Count an answer without the work of a backend server."""
        if ran is Execution.NOT_RUN:
            self.refused_not_run += 1
        else:
            self.ended_unknown += 1

    def count_status(self, status: int) -> None:
        """Count an answer by its status."""
        self.by_status[status] = self.by_status.get(status, 0) + 1
