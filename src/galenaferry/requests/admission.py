"""Admission control of one request: retries after sheds and slot borrowing.

An instance sheds a request if it rejects it without executing it. A VM borrows a slot
of an instance if it uses one that another VM owns (see ``backends.ownership``).
"""

from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import Final

from ..attempts.budget import Budget
from ..backends.borrowing import BorrowingPolicy
from ..clock import Millis

SHED_LIMIT: Final = 8
"""Number of sheds up to which a request may be attempted again."""
TOKEN_RECHECK_MS: Final = 20.0
"""Interval at which a request checks an empty shed budget for a token."""
BORROW_INTERVAL_MS: Final = 200.0
"""Shortest time between two borrowing decisions of one request."""


class AttemptPermit(Enum):
    """Whether a request may make its next attempt now."""

    GRANTED = "granted"
    WAIT = "wait"
    DENIED = "denied"


@dataclass(slots=True)
class Admission:
    """Sheds and borrowing decisions of one request; times are in milliseconds.

    ``needs_token`` says that the next attempt has to spend a token of the shed
    budget, ``is_borrowed`` that the latest attempt uses a slot that another VM owns.
    """

    shed_count: int = 0
    last_shed_at: Millis = 0.0
    needs_token: bool = False
    is_borrowed: bool = False
    borrow_checked_at: Millis = -BORROW_INTERVAL_MS

    def on_shed(self, now: Millis) -> None:
        """Count a shed, after which the next attempt needs a token."""
        self.shed_count += 1
        self.last_shed_at = now
        self.needs_token = True

    @property
    def may_retry(self) -> bool:
        """Whether the request has been shed at most ``SHED_LIMIT`` times."""
        return self.shed_count <= SHED_LIMIT

    def acquire_permit(
        self, budget: Budget, max_wait: Millis, now: Millis
    ) -> AttemptPermit:
        """Spend the token that the next attempt needs, if it needs one.

        While the budget is empty the request waits, until ``max_wait`` milliseconds
        have passed since its last shed.
        """
        if not self.needs_token or budget.try_spend():
            self.needs_token = False
            return AttemptPermit.GRANTED
        if now - self.last_shed_at >= max_wait:
            return AttemptPermit.DENIED
        return AttemptPermit.WAIT

    def may_borrow(
        self, borrowing: BorrowingPolicy, now: Millis, random: Random
    ) -> bool:
        """Decide whether to use a slot that another VM owns.

        Within ``BORROW_INTERVAL_MS`` of the last decision the result is False.
        """
        if now < self.borrow_checked_at + BORROW_INTERVAL_MS:
            return False
        self.borrow_checked_at = now
        return borrowing.is_borrowing_allowed(random)
