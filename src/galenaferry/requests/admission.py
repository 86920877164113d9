"""What a request may still do after sheds, and when it may borrow a slot."""

from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import Final

from ..attempts.budget import Budget
from ..backends.borrowing import BorrowingPolicy
from ..clock import Millis

SHED_LIMIT: Final = 8
TOKEN_WAIT_MS: Final = 20.0
BORROW_INTERVAL_MS: Final = 200.0


class Payment(Enum):
    """Whether a request may make its next attempt."""

    PAID = "paid"
    WAIT = "wait"
    GIVE_UP = "give up"


@dataclass(slots=True)
class Admission:
    """Sheds and decisions of one request; times are in milliseconds."""

    sheds: int = 0
    shed_at: Millis = 0.0
    owes_token: bool = False
    is_borrowed: bool = False
    decided_at: Millis = -BORROW_INTERVAL_MS

    def on_shed(self, now: Millis) -> None:
        """Note a shed, after which the next attempt needs a token."""
        self.sheds += 1
        self.shed_at = now
        self.owes_token = True

    @property
    def may_try_again(self) -> bool:
        """Whether the request has not been shed too often."""
        return self.sheds <= SHED_LIMIT

    def pay(self, budget: Budget, patience: Millis, now: Millis) -> Payment:
        """Take the token that the next attempt needs, if it needs one.

        Without one a request waits for ``patience`` milliseconds after its shed.
        """
        if not self.owes_token or budget.try_spend():
            self.owes_token = False
            return Payment.PAID
        if now - self.shed_at >= patience:
            return Payment.GIVE_UP
        return Payment.WAIT

    def may_borrow(
        self, borrowing: BorrowingPolicy, now: Millis, random: Random
    ) -> bool:
        """Decide now and then whether to use a slot that another VM owns."""
        if now < self.decided_at + BORROW_INTERVAL_MS:
            return False
        self.decided_at = now
        return borrowing.is_borrowing_allowed(random)
