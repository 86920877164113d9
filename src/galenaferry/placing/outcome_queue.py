"""Outcomes of one turn of the loop, sent to the other VMs together."""

from collections.abc import Callable

from ..health.messages import InstanceOutcome
from ..network.loop import Loop


class OutcomeQueue:
    """Queue of outcomes for the other VMs.

    Parameters
    ----------
    loop : Loop
    broadcast : callable
        Sends outcomes to all other VMs.
    """

    def __init__(
        self, loop: Loop, broadcast: Callable[[tuple[InstanceOutcome, ...]], None]
    ) -> None:
        self._loop = loop
        self._broadcast = broadcast
        self._queued: list[InstanceOutcome] = []

    def append(self, instance_outcome: InstanceOutcome) -> None:
        """Send an outcome with the others of this turn of the loop."""
        if not self._queued:
            self._loop.call_soon(self._flush)
        self._queued.append(instance_outcome)

    def _flush(self) -> None:
        queued, self._queued = self._queued, []
        self._broadcast(tuple(queued))
