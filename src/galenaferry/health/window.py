"""Outcome counts, plain and with exponential decay."""

import math
from typing import NamedTuple

from ..clock import Millis


class Rate(NamedTuple):
    """Number of requests, and of those among them with one kind of outcome."""

    requests: float
    positives: float


class Tally(NamedTuple):
    """Requests, failures and slow responses, possibly weighted by age."""

    requests: float
    failures: float
    slow: float

    def plus(self, other: "Tally") -> "Tally":
        """Return the sum of two tallies."""
        return Tally(
            self.requests + other.requests,
            self.failures + other.failures,
            self.slow + other.slow,
        )

    def minus(self, other: "Tally") -> "Tally":
        """Return the difference of two tallies, at least zero."""
        return Tally(
            max(0.0, self.requests - other.requests),
            max(0.0, self.failures - other.failures),
            max(0.0, self.slow - other.slow),
        )

    @property
    def failure_rate(self) -> Rate:
        """The failures among the requests."""
        return Rate(self.requests, self.failures)

    @property
    def slow_rate(self) -> Rate:
        """The slow responses among the requests."""
        return Rate(self.requests, self.slow)


EMPTY_TALLY = Tally(0.0, 0.0, 0.0)


class DecayingWindow:
    """Tally that decays exponentially; ``time_constant`` is in milliseconds."""

    __slots__ = ("_decayed_at", "_failures", "_requests", "_slow", "_time_constant")

    def __init__(self, time_constant: Millis) -> None:
        self._time_constant = time_constant
        self._decayed_at: Millis = 0.0
        self._requests = 0.0
        self._failures = 0.0
        self._slow = 0.0

    def add(self, requests: int, failures: int, slow: int, now: Millis) -> None:
        """Add outcomes observed at ``now``."""
        self._decay(now)
        self._requests += requests
        self._failures += failures
        self._slow += slow

    def tally(self, now: Millis) -> Tally:
        """Return the decayed tally."""
        self._decay(now)
        return Tally(self._requests, self._failures, self._slow)

    def _decay(self, now: Millis) -> None:
        if now > self._decayed_at:
            factor = math.exp((self._decayed_at - now) / self._time_constant)
            self._requests *= factor
            self._failures *= factor
            self._slow *= factor
            self._decayed_at = now
