"""Which log lines are written when there are too many: a pure decision."""

from collections import Counter
from typing import Final, NamedTuple

from ..clock import Millis

MINOR_RESERVE: Final = 0.5
"""Part of the burst that is kept from lines of ordinary successes."""


class LogLimits(NamedTuple):
    """Lines a second and at once. A line has a few hundred bytes.

    A VM at the design size logs 667 requests a second; a tenth of them, and all
    that went wrong on an ordinary day, stay within 200 lines a second.
    """

    lines_per_second: float = 200.0
    burst: float = 400.0


class LogBudget:
    """Token bucket of lines, with counts of what was left out by channel.

    Parameters
    ----------
    limits : LogLimits
    """

    def __init__(self, limits: LogLimits) -> None:
        self._limits = limits
        self._tokens = limits.burst
        self._at: Millis = 0.0
        self._omitted: Counter[str] = Counter()

    def take(self, channel: str, is_minor: bool, now: Millis) -> bool:
        """Whether a line may be written; one that may not is counted."""
        earned = max(0.0, now - self._at) / 1000.0 * self._limits.lines_per_second
        self._at = now
        self._tokens = min(self._limits.burst, self._tokens + earned)
        reserve = MINOR_RESERVE * self._limits.burst if is_minor else 0.0
        if self._tokens < reserve + 1.0:
            self._omitted[channel] += 1
            return False
        self._tokens -= 1.0
        return True

    def omit(self, channel: str) -> None:
        """Count a line that could not be written."""
        self._omitted[channel] += 1

    def take_omitted(self) -> dict[str, int]:
        """Return the counts since the last call."""
        omitted, self._omitted = dict(self._omitted), Counter()
        return omitted
