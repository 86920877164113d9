"""An attempt in progress with its instance: the owner of the attempt's callbacks."""

from typing import Protocol

from ..attempts.messages import AttemptOutcome
from ..backends.messages import Instance, ListState
from ..clock import Millis
from ..framing.messages import ResponseHead
from .attempt import Attempt, AttemptOwner
from .overdue import OverdueWatch


class ResponseHolder(Protocol):
    """Holder of the responses of two attempts (see ``contest``)."""

    def on_head(self, running: "RunningAttempt", head: ResponseHead) -> bool:
        """Handle the response head; return False to discard the response."""

    def on_body(self, running: "RunningAttempt", data: bytes) -> None:
        """Handle a part of the response body."""

    def on_complete(self, running: "RunningAttempt") -> None:
        """Handle the end of the response."""

    def lose(self, running: "RunningAttempt", outcome: AttemptOutcome) -> None:
        """Handle an end without a complete response."""


class RunningAttempt(AttemptOwner):
    """One attempt at one instance, whose callbacks it forwards.

    While two attempts are in progress, the responses go to the holder.

    Parameters
    ----------
    owner : AttemptOwner
        The exchange.
    instance : Instance
    is_borrowed : bool
        Whether it uses a slot that another VM owns.

    Attributes
    ----------
    attempt : Attempt or None
        None before the attempt is made and after ``release``.
    judged : AttemptOutcome or None
        What the response head stands for, once it has arrived.
    head_at : float
        Monotonic time in milliseconds at which it arrived.
    watch : OverdueWatch or None
    holder : ResponseHolder or None
    list_state : ListState or None
        From what list the instance was chosen, for the log.
    """

    __slots__ = (
        "_owner",
        "attempt",
        "head_at",
        "holder",
        "instance",
        "is_borrowed",
        "judged",
        "list_state",
        "watch",
    )

    def __init__(
        self, owner: AttemptOwner, instance: Instance, is_borrowed: bool
    ) -> None:
        self._owner = owner
        self.instance = instance
        self.is_borrowed = is_borrowed
        self.attempt: Attempt | None = None
        self.judged: AttemptOutcome | None = None
        self.head_at: Millis = 0.0
        self.watch: OverdueWatch | None = None
        self.holder: ResponseHolder | None = None
        self.list_state: ListState | None = None

    def release(self) -> None:
        """Drop the attempt and its watch.

        That breaks cycles, so that reference counting frees all of them: a garbage
        collection would delay other requests.
        """
        self.attempt = None
        self.holder = None
        if self.watch is not None:
            self.watch.cancel()
            self.watch = None

    def on_attempt_sending(self) -> None:
        """Forward the callback (called by the attempt)."""
        self._owner.on_attempt_sending()

    def on_attempt_head(self, head: ResponseHead) -> bool:
        """Forward the callback (called by the attempt)."""
        if self.holder is not None:
            return self.holder.on_head(self, head)
        return self._owner.on_attempt_head(head)

    def on_attempt_body(self, data: bytes) -> None:
        """Forward the callback (called by the attempt)."""
        if self.holder is not None:
            self.holder.on_body(self, data)
        else:
            self._owner.on_attempt_body(data)

    def on_attempt_complete(self) -> None:
        """Forward the callback (called by the attempt)."""
        if self.holder is not None:
            self.holder.on_complete(self)
        else:
            self._owner.on_attempt_complete()

    def on_attempt_ended(self, outcome: AttemptOutcome) -> None:
        """Forward the callback (called by the attempt)."""
        if self.holder is not None:
            self.holder.lose(self, outcome)
        else:
            self._owner.on_attempt_ended(outcome)

    def on_attempt_writable(self) -> None:
        """Forward the callback (called by the attempt)."""
        self._owner.on_attempt_writable()
