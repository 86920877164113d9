"""Clocks with monotonic time for intervals and wall-clock time, in milliseconds."""

import time
from typing import Protocol

Millis = float
"""A point in time or an interval, in milliseconds."""


class Clock(Protocol):
    """Source of the current time, replaced by ``FakeClock`` in tests."""

    def now(self) -> Millis:
        """Return the monotonic time in milliseconds."""

    def wall_time(self) -> Millis:
        """Return the time since the Unix epoch in milliseconds."""


class SystemClock:
    """Clock of the operating system."""

    def now(self) -> Millis:
        """Return the monotonic time in milliseconds.

        Time during which the machine was suspended is included, so that deadlines
        and idle timeouts also elapse during a suspension.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0

    def wall_time(self) -> Millis:
        """Return the time since the Unix epoch in milliseconds."""
        return time.time() * 1000.0


class FakeClock:
    """Clock that a test advances explicitly."""

    def __init__(self, start: Millis = 0.0) -> None:
        self.reading = start

    def now(self) -> Millis:
        """Return the reading set by the test."""
        return self.reading

    def wall_time(self) -> Millis:
        """Return the reading set by the test."""
        return self.reading

    def advance(self, interval: Millis) -> None:
        """Move the clock forward by ``interval`` milliseconds."""
        self.reading += interval
