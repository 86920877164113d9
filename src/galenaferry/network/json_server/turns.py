"""The order in which the requests of a JSON server's connections are answered."""

from collections import deque
from typing import Generic, TypeVar

T = TypeVar("T")


class TurnQueue(Generic[T]):
    """Queue that takes turns between first requests and those after an answer.

    A client that asks once thus waits for at most as many requests of a crowd on open
    connections as there are other clients that ask once, and neither kind starves.
    """

    def __init__(self) -> None:
        self._first: deque[T] = deque()
        self._later: deque[T] = deque()
        self._is_turn_of_later = False

    def __len__(self) -> int:
        return len(self._first) + len(self._later)

    def append(self, item: T, is_first: bool) -> None:
        """Add an item; ``is_first`` is whether it is the first of its connection."""
        (self._first if is_first else self._later).append(item)

    def pop(self) -> T:
        """Remove and return the next item.

        Raises
        ------
        IndexError
            When the queue is empty.
        """
        is_later = bool(self._later) and (self._is_turn_of_later or not self._first)
        self._is_turn_of_later = not is_later
        return (self._later if is_later else self._first).popleft()
