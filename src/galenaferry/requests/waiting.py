"""Requests that wait at this VM until an instance can take them."""

from collections import deque
from collections.abc import Callable
from typing import Final, NamedTuple

IMPORTANCE_SHARES: Final = {1: 0.5, 2: 0.8, 3: 1.0}
"""Part of the queue that work of each importance may fill."""


class Waiter(NamedTuple):
    """A waiting request; ``go`` tries again, ``is_waiting`` tells if it still is."""

    go: Callable[[], None]
    is_waiting: Callable[[], bool]


class WaitingLine:
    """First-in, first-out line of one service with a bounded length."""

    def __init__(self) -> None:
        self._waiters: deque[Waiter] = deque()

    def __len__(self) -> int:
        return len(self._waiters)

    def has_room(self, limit: int, importance: int) -> bool:
        """Whether work of ``importance`` may join; the least goes first."""
        return len(self._waiters) < limit * IMPORTANCE_SHARES[importance]

    def join(self, waiter: Waiter) -> None:
        """Add a request at the end."""
        self._waiters.append(waiter)

    def wake(self, count: int) -> None:
        """Let the first ``count`` requests that still wait try again."""
        woken = 0
        for _ in range(len(self._waiters)):
            if woken >= count or not self._waiters:
                return
            waiter = self._waiters.popleft()
            if waiter.is_waiting():
                woken += 1
                waiter.go()
