"""Header names and counters of the request path."""

from dataclasses import dataclass, field
from typing import Final

from ..attempts.messages import Execution
from ..framing.messages import RequestHead

RAN_HEADER: Final = b"galenaferry-ran"
"""Whether the request was executed, as a value of ``Execution``."""
TIME_LEFT_HEADER: Final = b"galenaferry-time-left-ms"
DRAINING_HEADER: Final = b"galenaferry-draining"
ATTEMPT_HEADER: Final = b"galenaferry-attempt"
REASON_HEADER: Final = b"galenaferry-reason"
REQUEST_ID_HEADER: Final = b"x-request-id"
IDEMPOTENCY_KEY_HEADER: Final = b"idempotency-key"
REPLAYED_HEADER: Final = b"galenaferry-replayed"
RETRY_AFTER_HEADER: Final = b"retry-after"
MAX_REFUSAL_REASONS: Final = 100
"""Largest number of pairs of status and reason that are counted separately."""
OTHER_REASON: Final = "other"
MALFORMED_HEAD: Final = RequestHead(b"GET", b"/", "1.1", (), 0, False, False)
"""Placeholder for the head of a request that could not be parsed."""


@dataclass(slots=True)
class RequestCounters:
    """Counters since the start of the process.

    Attributes
    ----------
    received : int
        Requests.
    answered : int
        Complete responses of backend servers.
    refused_not_run, ended_unknown : int
        Requests without a success that were not executed, or may have been.
    retried : int
        Attempts after the first.
    shed : int
        Attempts that a backend server shed.
    broken_after_head : int
        Responses that ended early after their head was passed on.
    callers_left : int
        Requests whose caller left before the end of the answer.
    remote_zone : int
        Attempts at an instance in another zone.
    framing_errors : int
        Malformed requests.
    queued : int
        Entries into a wait queue.
    second_attempts_sent, second_attempts_won, second_attempts_cancelled : int
        Second attempts made while the first one waited, those that answered first, and
        those that the first attempt overtook.
    by_status : dict of int by int
        Answers by status.
    by_refusal : dict of int by (int, str)
        Generated answers by status and reason.
    """

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
    second_attempts_sent: int = 0
    second_attempts_won: int = 0
    second_attempts_cancelled: int = 0
    by_status: dict[int, int] = field(default_factory=dict)
    by_refusal: dict[tuple[int, str], int] = field(default_factory=dict)

    def count_unanswered(self, ran: Execution) -> None:
        """Count a request that was not executed, or for which that is unknown."""
        if ran is Execution.NOT_RUN:
            self.refused_not_run += 1
        else:
            self.ended_unknown += 1

    def count_refusal(self, status: int, reason: str, ran: Execution) -> None:
        """Count a generated answer."""
        self.count_unanswered(ran)
        key = (status, reason)
        if key not in self.by_refusal and len(self.by_refusal) >= MAX_REFUSAL_REASONS:
            key = (status, OTHER_REASON)
        self.by_refusal[key] = self.by_refusal.get(key, 0) + 1

    def count_status(self, status: int) -> None:
        """Count an answer by its status."""
        self.by_status[status] = self.by_status.get(status, 0) + 1
