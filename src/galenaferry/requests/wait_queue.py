"""Queue of requests that wait on this VM until an instance can take them."""

from collections import deque
from collections.abc import Callable
from typing import Final, NamedTuple

QUEUE_SHARE_BY_IMPORTANCE: Final = {1: 0.5, 2: 0.8, 3: 1.0}
"""Part of the queue limit up to which requests of each importance are added."""


class Waiter(NamedTuple):
    """A waiting request.

    ``retry`` attempts it again, ``is_waiting`` returns whether it still waits.
    """

    retry: Callable[[], None]
    is_waiting: Callable[[], bool]


class WaitQueue:
    """First-in, first-out queue of one service with a bounded length."""

    def __init__(self) -> None:
        self._waiters: deque[Waiter] = deque()

    def __len__(self) -> int:
        return len(self._waiters)

    def has_room(self, limit: int, importance: int) -> bool:
        """Whether a request may be added; the least important are refused first."""
        return len(self._waiters) < limit * QUEUE_SHARE_BY_IMPORTANCE[importance]

    def add(self, waiter: Waiter) -> None:
        """Add a request at the end."""
        self._waiters.append(waiter)

    def wake(self, count: int) -> None:
        """Let the first ``count`` requests that still wait retry."""
        woken = 0
        for _ in range(len(self._waiters)):
            if woken >= count or not self._waiters:
                return
            waiter = self._waiters.popleft()
            if waiter.is_waiting():
                woken += 1
                waiter.retry()
