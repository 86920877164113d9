"""Requests that come while a VM still reads what it needs to serve them."""

from collections.abc import Callable
from typing import Final

from ..clock import Millis
from ..network.loop import Loop

STARTUP_HOLD_MS: Final[Millis] = 300.0
"""A store that answers at once is read within 50 ms, one that is slow within 240 ms;
longer than that nothing tells a caller that its request can be served."""


class StartupQueue:
    """The first moments of a VM, until it knows the routes and the instances.

    Parameters
    ----------
    loop : Loop
    """

    def __init__(self, loop: Loop) -> None:
        self._pending: list[Callable[[], None]] | None = []
        loop.after(STARTUP_HOLD_MS, self.release)

    def enqueue(self, start: Callable[[], None]) -> bool:
        """Keep a request's beginning for the end; False where that has come."""
        if self._pending is None:
            return False
        self._pending.append(start)
        return True

    def release(self) -> None:
        """Let the held requests begin; later ones begin at once."""
        pending, self._pending = self._pending, None
        for start in pending or ():
            start()
