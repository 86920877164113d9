"""How long answers of one class of work usually take, by the newest ones."""

from collections import deque
from typing import Final

from ..clock import Millis

NEWEST: Final = 64
"""Answers that the estimate rests on: half a minute of a VM's work on a route."""
FEWEST: Final = 10
"""Answers below which nothing is said of what nine in ten stay below."""
QUANTILE: Final = 0.9


class UsualLatency:
    """The newest latencies of one class of work."""

    __slots__ = ("_bound", "_newest")

    def __init__(self) -> None:
        self._newest: deque[Millis] = deque(maxlen=NEWEST)
        self._bound: Millis = 0.0

    @property
    def bound(self) -> Millis:
        """What nine in ten answers stay below, 0 while too few are known."""
        return self._bound

    def add(self, latency: Millis) -> None:
        """Take the latency of an answer."""
        self._newest.append(latency)
        if len(self._newest) >= FEWEST:
            ordered = sorted(self._newest)
            self._bound = ordered[int(QUANTILE * (len(ordered) - 1))]
