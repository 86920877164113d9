"""Share of the requests for which a second attempt may be made."""

from typing import Final

MAX_TOKENS: Final = 5.0
"""Cap on unspent tokens, so that a calm time does not pay for many attempts at once."""


class AttemptShare:
    """Token bucket that requests fill and second attempts drain.

    It starts empty, so that second attempts never exceed their share of the requests
    since the start.

    Parameters
    ----------
    percent : float
        Second attempts per 100 requests.
    """

    __slots__ = ("_earned_by_request", "_tokens")

    def __init__(self, percent: float) -> None:
        self._earned_by_request = percent / 100.0
        self._tokens = 0.0

    @property
    def has_token(self) -> bool:
        """Whether a second attempt is left."""
        # A sum of a hundred hundredths may be slightly less than one.
        return self._tokens >= 1.0 - 1e-9

    def record_request(self) -> None:
        """Count a request of a caller."""
        self._tokens = min(MAX_TOKENS, self._tokens + self._earned_by_request)

    def spend(self) -> None:
        """Take the token of a second attempt."""
        self._tokens -= 1.0
