"""Rate limit of log lines; a pure decision without input or output."""

from collections import Counter
from typing import Final, NamedTuple

from ..clock import Millis

MINOR_RESERVE_FRACTION: Final = 0.5
"""Fraction of the burst reserved for lines that are not minor.

Minor lines are those of ordinary successes. Without the reserve they would displace
the lines of failures.
"""


class LogRateLimits(NamedTuple):
    """Sustained rate and maximum burst of log lines.

    A VM at the design size logs 667 requests per second. A tenth of them, and all
    failures of an ordinary day, stay within 200 lines per second. A line has a few
    hundred bytes.
    """

    lines_per_second: float = 200.0
    burst: float = 400.0


class LogRateLimiter:
    """Token bucket for log lines that counts the omitted lines by channel.

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
        """Take a token for a line, or count the line as omitted.

        Parameters
        ----------
        channel : str
            Channel of the line.
        is_minor : bool
            Whether the line must leave the reserve of the burst untouched.
        now : float
            Monotonic time in milliseconds.

        Returns
        -------
        bool
            Whether the line may be written.
        """
        refill = (
            max(0.0, now - self._refilled_at) / 1000.0 * self._limits.lines_per_second
        )
        self._refilled_at = now
        self._tokens = min(self._limits.burst, self._tokens + refill)
        reserve = MINOR_RESERVE_FRACTION * self._limits.burst if is_minor else 0.0
        if self._tokens < reserve + 1.0:
            self._omitted[channel] += 1
            return False
        self._tokens -= 1.0
        return True

    def count_omitted(self, channel: str) -> None:
        """Count a line that was omitted for another reason, such as a full pipe."""
        self._omitted[channel] += 1

    def pop_omitted_counts(self) -> dict[str, int]:
        """Return the omitted lines by channel since the last call, and reset them."""
        omitted, self._omitted = dict(self._omitted), Counter()
        return omitted
