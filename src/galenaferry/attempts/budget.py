"""The retry budget of one service on one VM."""

from typing import Final, Protocol

INITIAL_TOKENS: Final = 2.0
MAX_TOKENS: Final = 50.0


class Budget(Protocol):
    """Leave to make further attempts."""

    def record_request(self, percent: int) -> None:
        """Count one request of a caller."""

    def try_spend(self) -> bool:
        """Take the leave for one further attempt; False where there is none."""


class RetryBudget:
    """Tokens earned by requests and spent by further attempts.

    Every request earns ``percent`` hundredths of a token. Since every VM keeps
    to it, the offered load of the fleet stays within the same percentage. A new
    budget holds an advance, which its first requests pay back.
    """

    def __init__(self) -> None:
        self._tokens = INITIAL_TOKENS
        self._unpaid_tokens = INITIAL_TOKENS

    def record_request(self, percent: int) -> None:
        """Count one request of a caller."""
        earned = percent / 100.0
        if self._unpaid_tokens > 0.0:
            self._unpaid_tokens -= earned
            return
        self._tokens = min(MAX_TOKENS, self._tokens + earned)

    def is_exhausted(self) -> bool:
        """Whether no further attempt is allowed now."""
        return self._tokens < 1.0

    def try_spend(self) -> bool:
        """Take one token; False where none is left."""
        if self.is_exhausted():
            return False
        self._tokens -= 1.0
        return True
