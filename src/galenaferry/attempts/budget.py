"""Retry budget of one service on one VM."""

from typing import Final, Protocol

INITIAL_TOKENS: Final = 2.0
"""Tokens of a new budget, repaid by its first requests."""
MAX_TOKENS: Final = 50.0
"""Cap on unspent tokens."""


class Budget(Protocol):
    """Limit on the number of retries."""

    def record_request(self, percent: int) -> None:
        """Count one request from a caller, which permits ``percent`` / 100 retries."""

    def try_spend(self) -> bool:
        """Reserve one retry; return False if none is available."""


class RetryBudget:
    """Token bucket that is filled by requests and drained by retries.

    Every request adds ``percent`` hundredths of a token and every retry takes a
    whole one. As every VM applies this limit, retries add at most the same
    percentage to the load of the whole fleet. A new budget starts with
    ``INITIAL_TOKENS``, and its first requests add none until they have repaid them.
    """

    def __init__(self) -> None:
        self._tokens = INITIAL_TOKENS
        self._unpaid_tokens = INITIAL_TOKENS

    def record_request(self, percent: int) -> None:
        """Count one request from a caller."""
        earned = percent / 100.0
        if self._unpaid_tokens > 0.0:
            self._unpaid_tokens -= earned
            return
        self._tokens = min(MAX_TOKENS, self._tokens + earned)

    def is_exhausted(self) -> bool:
        """Whether no retry is allowed now."""
        return self._tokens < 1.0

    def try_spend(self) -> bool:
        """Take one token; return False if none is left."""
        if self.is_exhausted():
            return False
        self._tokens -= 1.0
        return True
