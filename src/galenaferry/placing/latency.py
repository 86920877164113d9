"""Latency quantile of the latest responses of one route."""

from collections import deque
from typing import Final

from ..clock import Millis

MAX_SAMPLES: Final = 64
"""Responses in the sample: about half a minute of one VM's requests on a route."""
MIN_SAMPLES: Final = 10
"""Responses below which there is no estimate."""
QUANTILE: Final = 0.9
SLOWEST_QUANTILE: Final = 0.95
SLOWEST_MIN_SAMPLES: Final = 20
"""Responses below which there is no 95th percentile: it would be the longest one."""
MIN_SPREAD: Final = 0.25
"""Share of the longest latency of a sample by which a later one may exceed it."""


class LatencyTracker:
    """Sliding sample of the latencies of one route."""

    __slots__ = ("_p90", "_p95", "_samples")

    def __init__(self) -> None:
        self._samples: deque[Millis] = deque(maxlen=MAX_SAMPLES)
        self._p90: Millis = 0.0
        self._p95: Millis = 0.0

    @property
    def p90(self) -> Millis:
        """90th percentile in ms, 0 while there are fewer than ``MIN_SAMPLES``."""
        return self._p90

    @property
    def p95(self) -> Millis:
        """95th percentile in ms, 0 with fewer than ``SLOWEST_MIN_SAMPLES``."""
        return self._p95

    def longest_expected(self) -> Millis | None:
        """Return a time in ms that hardly any response exceeds, None if unknown.

        It is the longest of the sample and as much again as that lies above the median,
        which tells a service with even latencies from one with outliers.
        """
        if len(self._samples) < MIN_SAMPLES:
            return None
        ordered = sorted(self._samples)
        longest, median = ordered[-1], ordered[len(ordered) // 2]
        return longest + max(longest - median, MIN_SPREAD * longest)

    def add(self, latency: Millis) -> None:
        """Add the latency of a response, in milliseconds."""
        self._samples.append(latency)
        if len(self._samples) >= MIN_SAMPLES:
            ordered = sorted(self._samples)
            self._p90 = ordered[int(QUANTILE * (len(ordered) - 1))]
            if len(ordered) >= SLOWEST_MIN_SAMPLES:
                self._p95 = ordered[int(SLOWEST_QUANTILE * (len(ordered) - 1))]
