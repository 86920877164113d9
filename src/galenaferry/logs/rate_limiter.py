"""Which log lines are written when there are too many: a pure decision."""

from collections import Counter
from typing import Final, NamedTuple

from ..clock import Millis

MINOR_RESERVE_FRACTION: Final = 0.5
"""Part of the burst that is kept from lines of ordinary successes."""


class LogRateLimits(NamedTuple):
    """Lines a second and at once. A line has a few hundred bytes.

    A VM at the design size logs 667 requests a second; a tenth of them, and all
    that went wrong on an ordinary day, stay within 200 lines a second.
    """

    lines_per_second: float = 200.0
    burst: float = 400.0


class LogRateLimiter:
    """Token bucket of lines, with counts of what was left out by channel.

    Parameters
    ----------
    limits : LogRateLimits
    """

    def __init__(self, limits: LogRateLimits) -> None:
        self._limits = limits
        self._tokens = limits.burst
        self._refilled_at: Millis = 0.0
        self._omitted: Counter[str] = Counter()

    def try_acquire(self, channel: str, is_minor: bool, now: Millis) -> bool:
        """Whether a line may be written; one that may not is counted."""
        earned = (
            max(0.0, now - self._refilled_at) / 1000.0 * self._limits.lines_per_second
        )
        self._refilled_at = now
        self._tokens = min(self._limits.burst, self._tokens + earned)
        reserve = MINOR_RESERVE_FRACTION * self._limits.burst if is_minor else 0.0
        if self._tokens < reserve + 1.0:
            self._omitted[channel] += 1
            return False
        self._tokens -= 1.0
        return True

    def count_omitted(self, channel: str) -> None:
        """Count a line that could not be written."""
        self._omitted[channel] += 1

    def pop_omitted_counts(self) -> dict[str, int]:
        """Return the counts since the last call."""
        omitted, self._omitted = dict(self._omitted), Counter()
        return omitted
