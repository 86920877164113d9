"""Limit on the number of requests in flight from this VM to one instance.

An instance that is at its own limit sheds a request: it rejects it unexecuted.
"""

from random import Random
from typing import Final

from ..clock import Millis

GROWTH_PER_SUCCESS: Final = 0.05
"""Growth of the window per success (see ``Evidence``), in requests."""
SHED_SHRINK_FACTOR: Final = 0.5
"""Factor on the window after a shed at a borrowed slot."""
MIN_PAUSE_MS: Final = 20.0
"""Pause after the first shed, before jitter; it doubles with every further shed."""
MAX_PAUSE_MS: Final = 400.0
"""Longest pause, before jitter."""


class ConcurrencyWindow:
    """AIMD limit: additive increase on successes, multiplicative decrease on sheds.

    VMs share the slots of an instance without knowing each other's load, so a shed
    is the signal that this VM uses too many.
    """

    __slots__ = ("_pause", "_size", "paused_until")

    def __init__(self, start: int) -> None:
        self._size = float(start)
        self._pause = MIN_PAUSE_MS
        self.paused_until: Millis = 0.0

    def size(self, largest: int) -> int:
        """Return the window in requests, at least 1 and at most ``largest``."""
        return max(1, min(int(self._size), largest))

    def on_success(self, largest: int) -> None:
        """Grow after a successful attempt, and reset the pause."""
        self._size = min(float(largest), self._size + GROWTH_PER_SUCCESS)
        self._pause = MIN_PAUSE_MS

    def on_shed(self, is_borrowed: bool, now: Millis, random: Random) -> None:
        """Shrink and pause, with exponential backoff and jitter.

        A shed at an own slot causes only a short pause and no decrease: another VM
        borrowed the slot and will free it soon.
        """
        if not is_borrowed:
            self.paused_until = now + MIN_PAUSE_MS * (0.5 + random.random())
            return
        self._size = max(1.0, self._size * SHED_SHRINK_FACTOR)
        self.paused_until = now + self._pause * (0.5 + random.random())
        self._pause = min(MAX_PAUSE_MS, self._pause * 2.0)
