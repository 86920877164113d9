"""The newest version that other VMs have told of, without any I/O."""

import math
from typing import Final, Generic, TypeVar

from ..clock import Millis
from .messages import StoreVersion

MAX_NEWS_AGE_MS: Final[Millis] = 60_000.0
"""Age from which news that no VM repeats no longer counts: the VM that told it has
left, or was wrong. Copies still need the store's confirmation."""
MAX_VERSIONS: Final = 32
"""Versions whose first news is remembered; of later ones only the newest is."""

V = TypeVar("V", int, StoreVersion)


class News(Generic[V]):
    """The newest version heard of, and when.

    Parameters
    ----------
    none : int or StoreVersion
        Version that stands for none.
    """

    def __init__(self, none: V) -> None:
        self._newest: V = none
        self._heard_at: Millis = -math.inf
        # Versions in ascending order, each with the time at which it was first heard.
        self._first_heard: list[tuple[V, Millis]] = []

    def on_version(self, version: V, now: Millis) -> None:
        """Record that another VM has a version."""
        is_old = self._is_old(now)
        if is_old:
            self._first_heard.clear()
        if version > self._newest or is_old:
            self._first_heard.append((version, now))
            # Keeps the oldest ones, which tell for how long a copy is behind.
            del self._first_heard[MAX_VERSIONS:]
        if version >= self._newest or is_old:
            self._newest = version
            self._heard_at = now

    def is_newer_than(
        self, version: V, now: Millis, max_age: Millis = MAX_NEWS_AGE_MS
    ) -> bool:
        """Whether another VM has told of a newer version in the last ``max_age`` ms."""
        return self._newest > version and now - self._heard_at <= max_age

    def behind_for(self, version: V, now: Millis) -> Millis:
        """Return how long a version newer than ``version`` is known, 0 if none is.

        Versions up to ``version`` are forgotten.
        """
        while self._first_heard and self._first_heard[0][0] <= version:
            del self._first_heard[0]
        if not self.is_newer_than(version, now):
            return 0.0
        return now - (self._first_heard[0][1] if self._first_heard else self._heard_at)

    def _is_old(self, now: Millis) -> bool:
        return now - self._heard_at > MAX_NEWS_AGE_MS
