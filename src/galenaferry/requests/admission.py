"""What a request may still do after sheds, and when it may borrow a slot."""

from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import Final

from ..attempts.budget import Budget
from ..backends.borrowing import BorrowingPolicy
from ..clock import Millis

SHED_LIMIT: Final = 8
TOKEN_RECHECK_MS: Final = 20.0
BORROW_INTERVAL_MS: Final = 200.0


class AttemptPermit(Enum):
    """Whether a request may make its next attempt."""

    GRANTED = "granted"
    WAIT = "wait"
    DENIED = "denied"


@dataclass(slots=True)
class Admission:
    """Sheds and decisions of one request; times are in milliseconds."""

    shed_count: int = 0
    last_shed_at: Millis = 0.0
    needs_token: bool = False
    is_borrowed: bool = False
    borrow_checked_at: Millis = -BORROW_INTERVAL_MS

    def on_shed(self, now: Millis) -> None:
        """Note a shed, after which the next attempt needs a token."""
        self.shed_count += 1
        self.last_shed_at = now
        self.needs_token = True

    @property
    def may_retry(self) -> bool:
        """Whether the request has not been shed too often."""
        return self.shed_count <= SHED_LIMIT

    def acquire_permit(
        self, budget: Budget, max_wait: Millis, now: Millis
    ) -> AttemptPermit:
        """Take the token that the next attempt needs, if it needs one.

        Without one a request waits for ``max_wait`` milliseconds after its shed.
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
        """Decide now and then whether to use a slot that another VM owns."""
        if now < self.borrow_checked_at + BORROW_INTERVAL_MS:
            return False
        self.borrow_checked_at = now
        return borrowing.is_borrowing_allowed(random)
