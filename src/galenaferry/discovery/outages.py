"""Tells outages of the store from trouble that only a few VMs have with it."""

import math

from ..clock import Clock, Millis
from .messages import NEVER_AWAY_MS


class OutageDetector:
    """Outages of the store, judged by its answers to this VM and to other readers.

    The store was away if nobody is known to have got an answer for longer than it takes
    a VM that hears of no reader to get its own. Failed reads alone prove no outage:
    others may be served.

    Parameters
    ----------
    clock : Clock
    max_silence : float
        Longest time in milliseconds between two answers while the store works.

    Attributes
    ----------
    back_at : float or None
        Monotonic time in milliseconds of the first answer after the latest outage, None
        if there was none.
    """

    def __init__(self, clock: Clock, max_silence: Millis) -> None:
        self._clock = clock
        self._max_silence = max_silence
        self._answered_at: Millis | None = None
        self.back_at: Millis | None = None

    @property
    def is_away(self) -> bool:
        """Whether the store has answered nobody for too long."""
        return self._is_silent_until(self._clock.now())

    @property
    def back_ago(self) -> Millis:
        """Time since the end of the latest outage, 0 while the store is away."""
        if self.is_away:
            return 0.0
        return (
            NEVER_AWAY_MS if self.back_at is None else self._clock.now() - self.back_at
        )

    def on_answer(self, at: Millis) -> None:
        """Record that the store answered this VM at a time."""
        if self._is_silent_until(at):
            self.back_at = at
        self._on_answer(at)

    def on_told_answer(self, at: Millis, back_ago: Millis) -> None:
        """Record that the store answered another VM, which told of its ``back_ago``.

        An outage is what both have seen: if the other VM heard of answers all the time,
        only this one did not.
        """
        if self._is_silent_until(at) and back_ago < NEVER_AWAY_MS:
            self.back_at = self._clock.now() - back_ago
        self._on_answer(at)

    def on_copy_of_other_vm(self) -> None:
        """Record that a copy was received; the store may be away since before it."""
        if self._answered_at is None:
            self._answered_at = -math.inf

    def on_restored(self) -> None:
        """Record that the store came back from an older copy of itself."""
        self.back_at = self._clock.now()

    def _is_silent_until(self, time: Millis) -> bool:
        answered_at = self._answered_at
        return answered_at is not None and time - answered_at > self._max_silence

    def _on_answer(self, at: Millis) -> None:
        self._answered_at = (
            at if self._answered_at is None else max(self._answered_at, at)
        )
