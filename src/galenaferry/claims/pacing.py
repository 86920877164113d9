"""Rate limit of transactions, shared by the VMs of the fleet."""

from typing import Final

from ..clock import Millis

FLEET_TRANSACTIONS_PER_SECOND: Final = 300.0
"""Limit on the transactions of all VMs together."""
ROWS_PER_TRANSACTION: Final = 64
"""Largest number of rows in a transaction."""
MAX_PARALLEL_TRANSACTIONS: Final = 4
"""Limit on the transactions of one VM that await their response."""


class Pacer:
    """Rate limiter for the transactions of this VM.

    Each VM keeps to an equal part of the fleet's transaction rate. Rows that arrive
    between two transactions are batched into the next one, so the number of rows per
    second is limited by the size of a transaction and can exceed the transaction rate.
    """

    def __init__(self) -> None:
        self._next_at: Millis = 0.0
        self._in_flight = 0

    def wait(self, now: Millis) -> Millis | None:
        """Return the time in milliseconds until the next transaction may be sent.

        It is None while too many transactions are in flight.
        """
        if self._in_flight >= MAX_PARALLEL_TRANSACTIONS:
            return None
        return max(0.0, self._next_at - now)

    def begin(self, live_vm_count: int, now: Millis) -> None:
        """Record that a transaction is sent."""
        self._in_flight += 1
        self._next_at = now + live_vm_count / FLEET_TRANSACTIONS_PER_SECOND * 1000.0

    def end(self) -> None:
        """Record that a transaction has a response or failed."""
        self._in_flight -= 1
