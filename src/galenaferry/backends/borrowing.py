"""How readily a VM uses slots that other VMs own."""

from random import Random
from typing import Final

SMOOTHING_FACTOR: Final = 0.1
MIN_BORROW_PROBABILITY: Final = 0.02
SUCCESS_RATE_EXPONENT: Final = 4


class BorrowingPolicy:
    """Running share of borrowed slots that were free.

    While the service is idle nearly every borrowed slot is free, and a VM never
    waits for its own. Near full load borrowing mostly meets a shed, and a VM
    waits for its own slots instead.
    """

    def __init__(self) -> None:
        self._success_rate = 1.0

    def is_borrowing_allowed(self, random: Random) -> bool:
        """Whether to borrow now rather than to wait for an own slot."""
        probability = max(
            MIN_BORROW_PROBABILITY, self._success_rate**SUCCESS_RATE_EXPONENT
        )
        return random.random() < probability

    def on_answer(self) -> None:
        """Note that a borrowed slot was free."""
        self._success_rate += SMOOTHING_FACTOR * (1.0 - self._success_rate)

    def on_shed(self) -> None:
        """Note that a borrowed slot was taken."""
        self._success_rate -= SMOOTHING_FACTOR * self._success_rate
