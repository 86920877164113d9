"""Two attempts of one request in progress, of which the first complete answer wins.

The responses of both are held, so that one attempt alone ever reaches the caller.
"""

from collections.abc import Callable
from typing import Protocol

from ..attempts.messages import (
    AttemptOutcome,
    BrokenHeld,
    BrokenResponse,
    Retry,
)
from ..attempts.outcomes import evaluate_outcome
from ..framing.messages import ResponseHead
from ..routing.table import Route
from .attempt import AttemptOwner
from .buffered_answer import BufferedAnswer, is_bufferable
from .running_attempt import RunningAttempt


class ContestOwner(Protocol):
    """Object that started the attempts."""

    def judge(self, running: RunningAttempt, head: ResponseHead) -> AttemptOutcome:
        """Return the outcome that a response head stands for."""

    def on_lost(
        self, running: RunningAttempt, outcome: AttemptOutcome, other: RunningAttempt
    ) -> None:
        """Record an attempt that failed; only the other one is in progress now."""

    def on_won(self, running: RunningAttempt, other: RunningAttempt) -> None:
        """Cancel the other attempt; the response of ``running`` is the answer."""


class Contest:
    """Holds the responses of two attempts until one of them is the answer.

    A response that is too long to be held wins once that is known. A failure never
    wins: the other attempt goes on alone.

    Parameters
    ----------
    starter : ContestOwner
    owner : AttemptOwner
        The exchange, which gets the callbacks of the attempt that is left.
    route : Route
    first : RunningAttempt
    second : RunningAttempt
    limit : int
        Size in bytes of the largest body that is held.
    may_hold : callable
        Counts the bytes that are held of both bodies as memory of the caller, and
        returns whether more of them may be held.
    """

    __slots__ = (
        "_held_by_attempt",
        "_limit",
        "_may_hold",
        "_owner",
        "_starter",
        "first",
        "route",
        "second",
    )

    def __init__(
        self,
        starter: ContestOwner,
        owner: AttemptOwner,
        route: Route,
        first: RunningAttempt,
        second: RunningAttempt,
        limit: int,
        may_hold: Callable[[int], bool],
    ) -> None:
        self._starter = starter
        self._owner = owner
        self.route = route
        self.first = first
        self.second = second
        self._limit = limit
        self._may_hold = may_hold
        self._held_by_attempt: dict[RunningAttempt, BufferedAnswer] = {}

    def other(self, running: RunningAttempt) -> RunningAttempt:
        """Return the other attempt."""
        return self.second if running is self.first else self.first

    def on_head(self, running: RunningAttempt, head: ResponseHead) -> bool:
        """Hold a response, let it win, or discard it as a failure."""
        outcome = self._starter.judge(running, head)
        if evaluate_outcome(outcome).retry is not Retry.NEVER:
            self.lose(running, outcome)
            return False
        self._held_by_attempt[running] = BufferedAnswer(head, (), self._limit)
        if not is_bufferable(head, self._limit):
            self._win(running)
        return True

    def on_body(self, running: RunningAttempt, data: bytes) -> None:
        """Hold a part of the body, or let it win if no more may be held."""
        is_within_limit = self._held_by_attempt[running].append(data)
        size = sum(held.size for held in self._held_by_attempt.values())
        if not (self._may_hold(size) and is_within_limit):
            self._win(running)

    def on_complete(self, running: RunningAttempt) -> None:
        """Let a complete response win."""
        self._win(running)
        if running.attempt is not None:
            self._owner.on_attempt_complete()

    def lose(self, running: RunningAttempt, outcome: AttemptOutcome) -> None:
        """Record a failure, and let the other attempt go on alone."""
        if isinstance(outcome, BrokenResponse):
            outcome = BrokenHeld(outcome.reason)
        other = self.other(running)
        self._starter.on_lost(running, outcome, other)
        self._pass_on(other)

    def _win(self, running: RunningAttempt) -> None:
        self._starter.on_won(running, self.other(running))
        self._pass_on(running)

    def _pass_on(self, running: RunningAttempt) -> None:
        """Give the exchange what was held of a response."""
        held = self._held_by_attempt.pop(running, None)
        self._held_by_attempt.clear()
        self._may_hold(0)
        if held is not None:
            self._owner.on_attempt_head(held.head)
            # The attempt is released if the request has ended meanwhile.
            if held.body and running.attempt is not None:
                self._owner.on_attempt_body(held.body)
