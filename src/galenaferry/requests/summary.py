"""Attempts and outcome of one request, for its log line and the metrics."""

from typing import Any, Final

from ..attempts.messages import (
    AttemptOutcome,
    BrokenHeld,
    BrokenResponse,
    BrokenSent,
    BrokenUnsent,
    Execution,
    Misdirected,
    NotConnected,
    RelayRefused,
)
from ..backends.messages import Instance, ListState, Use
from ..clock import Millis
from ..framing.messages import RequestHead

UNDELIVERED: Final = (NotConnected, BrokenUnsent, Misdirected, RelayRefused)
"""Outcomes of attempts that reached no instance, or another one at the address of an
instance that has ended."""
MAX_LOGGED_TARGET: Final = 200
"""Bytes of a target in a log line."""
LOST_WHILE_RUNNING: Final = (BrokenSent, BrokenHeld, BrokenResponse)
"""Outcomes of attempts whose connection may have ended with its instance."""


class RequestSummary:
    """Attempts and outcome of one request.

    ``sent_count`` is the number of attempts that may have reached their instance, and
    ``buffered_body_bytes`` the length of the answer's body if it was buffered.
    ``fingerprint`` tells which requests are the same one (``crashes.fingerprint``); it
    is empty unless a connection was lost while its instance may have run the request.
    ``workspace`` is the name of the caller's workspace, empty if there is none.

    Parameters
    ----------
    request_id : bytes
    started_at : float
        Monotonic time in milliseconds.
    head : RequestHead
    """

    __slots__ = (
        "_attempts",
        "_list_states",
        "buffered_body_bytes",
        "fingerprint",
        "head",
        "ran",
        "reason",
        "request_id",
        "route",
        "sent_count",
        "started_at",
        "status",
        "workspace",
    )

    def __init__(
        self, request_id: bytes, started_at: Millis, head: RequestHead
    ) -> None:
        self.request_id = request_id
        self.started_at = started_at
        self.head = head
        self.route = ""
        self.workspace = ""
        self.status = 0
        self.reason = ""
        self.ran = Execution.NOT_RUN
        self.sent_count = 0
        self.buffered_body_bytes = 0
        self.fingerprint = b""
        self._attempts: list[tuple[str, str, int]] = []
        self._list_states: list[ListState] = []

    @property
    def is_ordinary(self) -> bool:
        """Whether it was a success at the first attempt, at a listed instance."""
        return self.is_single_attempt_success and all(
            state.use is Use.LISTED for state in self._list_states
        )

    @property
    def is_single_attempt_success(self) -> bool:
        """Whether a single attempt was made and gave a success status."""
        return len(self._attempts) == 1 and 200 <= self.status < 300

    @property
    def outcome(self) -> str:
        """The outcome of the request as a metric attribute.

        "closed" means that the caller got no complete answer. A generated answer is
        "refused" if the request was not executed, otherwise "unknown". An answer of a
        backend server is "failed" if its status is 500 or higher.
        """
        if self.status == 0:
            return "closed"
        if self.reason:
            return "refused" if self.ran is Execution.NOT_RUN else "unknown"
        return "answered" if self.status < 500 else "failed"

    @property
    def is_rejection(self) -> bool:
        """Whether the caller was told by this VM that the request is wrong."""
        is_client_error = 400 <= self.status < 500
        return is_client_error and bool(self.reason)

    def add_attempt(
        self,
        instance: Instance,
        outcome: AttemptOutcome,
        took: Millis,
        list_state: ListState | None = None,
    ) -> None:
        """Add an attempt that ended after ``took`` milliseconds.

        ``list_state`` tells from what list its instance was chosen.
        """
        if list_state is not None:
            self._list_states.append(list_state)
        self.sent_count += not isinstance(outcome, UNDELIVERED)
        self._attempts.append((instance.name, repr(outcome), int(took)))

    def set_outcome(self, status: int, reason: str, ran: Execution) -> None:
        """Set how the request ended; status 0 stands for a closed connection."""
        self.status = status
        self.reason = reason
        self.ran = ran

    def log_fields(self, now: Millis) -> dict[str, Any]:
        """Return the fields of the request's log line."""
        fields: dict[str, Any] = {
            "request": self.request_id.decode("latin-1"),
            "route": self.route,
            "status": self.status,
            "reason": self.reason,
            "ran": self.ran.value,
            "took_ms": int(now - self.started_at),
            "attempts": self._attempts,
        }
        if self._list_states:
            fields["chosen_from"] = [
                (state.version, state.source, int(state.confirmed_ago), state.use.value)
                for state in self._list_states
            ]
        if self.workspace:
            fields["workspace"] = self.workspace
        if self.is_rejection:
            fields["host"] = (self.head.header(b"host") or b"").decode("latin-1")
            fields["target"] = self.head.target[:MAX_LOGGED_TARGET].decode("latin-1")
        if self.fingerprint:
            fields["fingerprint"] = self.fingerprint.hex()
        return fields
