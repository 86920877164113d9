"""Pacing of writes: many rows in few transactions, within the fleet's budget."""

from typing import Final

from ..clock import Millis

FLEET_TRANSACTIONS_PER_SECOND: Final = 300.0
ROWS_PER_TRANSACTION: Final = 64
MAX_PARALLEL_TRANSACTIONS: Final = 4


class Pacer:
    """Tells when this VM may send its next transaction.

    Each VM keeps to its part of the fleet's transactions. Rows that come in
    between wait and go together, so the rate of rows is bounded by the size of
    a transaction and not by their number a second.
    """

    def __init__(self) -> None:
        self._next_at: Millis = 0.0
        self._in_flight = 0

    def wait(self, now: Millis) -> Millis | None:
        """Return the wait until the next transaction, None until one ends."""
        if self._in_flight >= MAX_PARALLEL_TRANSACTIONS:
            return None
        return max(0.0, self._next_at - now)

    def begin(self, live_vm_count: int, now: Millis) -> None:
        """Note that a transaction is sent."""
        self._in_flight += 1
        self._next_at = now + live_vm_count / FLEET_TRANSACTIONS_PER_SECOND * 1000.0

    def end(self) -> None:
        """Note that a transaction was answered or given up."""
        self._in_flight -= 1
