"""The newest version that other VMs have told of, without any I/O."""

import math
from typing import Final, Generic, TypeVar

from ..clock import Millis
from .messages import StoreVersion

MAX_NEWS_AGE_MS: Final[Millis] = 60_000.0
"""Age from which news that no VM repeats no longer counts: the VM that told it has
left, or was wrong. Copies still need the store's confirmation."""

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

    def on_version(self, version: V, now: Millis) -> None:
        """Record that another VM has a version."""
        if version >= self._newest or self._is_old(now):
            self._newest = version
            self._heard_at = now

    def is_newer_than(self, version: V, now: Millis) -> bool:
        """Whether another VM has lately told of a newer version."""
        return self._newest > version and not self._is_old(now)

    def _is_old(self, now: Millis) -> bool:
        return now - self._heard_at > MAX_NEWS_AGE_MS
