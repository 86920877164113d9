"""How readily a VM uses slots that other VMs own."""

from random import Random
from typing import Final

LEARNING_RATE: Final = 0.1
SMALLEST_READINESS: Final = 0.02
READINESS_POWER: Final = 4


class Borrowing:
    """Running share of borrowed slots that were free.

    While the service is idle nearly every borrowed slot is free, and a VM never
    waits for its own. Near full load borrowing mostly meets a shed, and a VM
    waits for its own slots instead.
    """

    def __init__(self) -> None:
        self._free_share = 1.0

    def is_worth_trying(self, random: Random) -> bool:
        """Whether to borrow now rather than to wait for an own slot."""
        readiness = max(SMALLEST_READINESS, self._free_share**READINESS_POWER)
        return random.random() < readiness

    def on_answer(self) -> None:
        """Note that a borrowed slot was free."""
        self._free_share += LEARNING_RATE * (1.0 - self._free_share)

    def on_shed(self) -> None:
        """Note that a borrowed slot was taken."""
        self._free_share -= LEARNING_RATE * self._free_share
