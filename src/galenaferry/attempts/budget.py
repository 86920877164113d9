"""The retry budget of one service on one VM."""

from typing import Final

SMALLEST_RESERVE: Final = 2.0
LARGEST_RESERVE: Final = 50.0


class RetryBudget:
    """Tokens earned by requests and spent by further attempts.

    Every request earns ``percent`` hundredths of a token. Since every VM keeps
    to it, the offered load of the fleet stays within the same percentage.
    """

    def __init__(self) -> None:
        self._tokens = SMALLEST_RESERVE

    def earn(self, percent: int) -> None:
        """Count one request of a caller."""
        self._tokens = min(LARGEST_RESERVE, self._tokens + percent / 100.0)

    def is_spent(self) -> bool:
        """Whether no further attempt is allowed now."""
        return self._tokens < 1.0

    def spend(self) -> bool:
        """Take one token; False where none is left."""
        if self.is_spent():
            return False
        self._tokens -= 1.0
        return True
