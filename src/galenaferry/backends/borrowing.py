"""Adaptive probability with which a VM uses slots that other VMs own.

Slots and their owners are defined in ``ownership``. An instance sheds a request, that
is, rejects it without executing it, when all its slots are occupied.
"""

from random import Random
from typing import Final

SMOOTHING_FACTOR: Final = 0.1
"""Weight of the newest outcome in the moving average of the success rate."""
MIN_BORROW_PROBABILITY: Final = 0.02
"""Lower bound of the probability, so that free slots are noticed again."""
SUCCESS_RATE_EXPONENT: Final = 4
"""The probability of borrowing is the success rate to this power."""


class BorrowingPolicy:
    """Decides by the recent success rate whether to borrow a slot.

    The success rate is an exponential moving average of the fraction of borrowed
    slots that were free. While the service is idle nearly every borrowed slot is
    free, so a VM never waits for one of its own. Near full load most requests to
    borrowed slots are shed, so a VM waits for its own slots instead.
    """

    def __init__(self) -> None:
        self._success_rate = 1.0

    def is_borrowing_allowed(self, random: Random) -> bool:
        """Whether to borrow now instead of waiting for an own slot."""
        probability = max(
            MIN_BORROW_PROBABILITY, self._success_rate**SUCCESS_RATE_EXPONENT
        )
        return random.random() < probability

    def on_success(self) -> None:
        """Record that a borrowed slot was free."""
        self._success_rate += SMOOTHING_FACTOR * (1.0 - self._success_rate)

    def on_shed(self) -> None:
        """Record that a borrowed slot was occupied."""
        self._success_rate -= SMOOTHING_FACTOR * self._success_rate
