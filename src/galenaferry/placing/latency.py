"""How long answers of one class of work usually take, by the newest ones."""

from collections import deque
from typing import Final

from ..clock import Millis

MAX_SAMPLES: Final = 64
"""Answers that the estimate rests on: half a minute of a VM's work on a route."""
MIN_SAMPLES: Final = 10
"""Answers below which nothing is said of what nine in ten stay below."""
QUANTILE: Final = 0.9


class LatencyTracker:
    """The newest latencies of one class of work."""

    __slots__ = ("_p90", "_samples")

    def __init__(self) -> None:
        self._samples: deque[Millis] = deque(maxlen=MAX_SAMPLES)
        self._p90: Millis = 0.0

    @property
    def p90(self) -> Millis:
        """What nine in ten answers stay below, 0 while too few are known."""
        return self._p90

    def add(self, latency: Millis) -> None:
        """Take the latency of an answer."""
        self._samples.append(latency)
        if len(self._samples) >= MIN_SAMPLES:
            ordered = sorted(self._samples)
            self._p90 = ordered[int(QUANTILE * (len(ordered) - 1))]
