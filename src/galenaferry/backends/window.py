"""The number of requests that this VM keeps in flight at one instance."""

from random import Random
from typing import Final

from ..clock import Millis

GROWTH_PER_ANSWER: Final = 0.05
SHED_SHRINK_FACTOR: Final = 0.5
MIN_PAUSE_MS: Final = 20.0
MAX_PAUSE_MS: Final = 400.0


class ConcurrencyWindow:
    """Additive growth on answers, multiplicative reduction on sheds.

    The slots of an instance are shared by VMs that don't know of each other's
    load, so its sheds are the signal that a VM's part is too large.
    """

    __slots__ = ("_pause", "_size", "paused_until")

    def __init__(self, start: int) -> None:
        self._size = float(start)
        self._pause = MIN_PAUSE_MS
        self.paused_until: Millis = 0.0

    def size(self, largest: int) -> int:
        """Return the window, at least one and at most ``largest``."""
        return max(1, min(int(self._size), largest))

    def on_answer(self, largest: int) -> None:
        """Grow after an answer that was no shed."""
        self._size = min(float(largest), self._size + GROWTH_PER_ANSWER)
        self._pause = MIN_PAUSE_MS

    def on_shed(self, is_borrowed: bool, now: Millis, random: Random) -> None:
        """Shrink and pause, longer after each shed in a row.

        An own slot that was taken by a borrower is free again soon.
        """
        if not is_borrowed:
            self.paused_until = now + MIN_PAUSE_MS * (0.5 + random.random())
            return
        self._size = max(1.0, self._size * SHED_SHRINK_FACTOR)
        self.paused_until = now + self._pause * (0.5 + random.random())
        self._pause = min(MAX_PAUSE_MS, self._pause * 2.0)
