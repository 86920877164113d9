"""Requests that come while a VM still reads what it needs to serve them."""

from collections.abc import Callable
from typing import Final

from ..clock import Millis
from ..network.loop import Loop

OPENING_MS: Final[Millis] = 300.0
"""A store that answers at once is read within 50 ms, one that is slow within 240 ms;
longer than that nothing tells a caller that its request can be served."""


class Opening:
    """The first moments of a VM, until it knows the routes and the instances.

    Parameters
    ----------
    loop : Loop
    """

    def __init__(self, loop: Loop) -> None:
        self._held: list[Callable[[], None]] | None = []
        loop.after(OPENING_MS, self.end)

    def hold(self, begin: Callable[[], None]) -> bool:
        """Keep a request's beginning for the end; False where that has come."""
        if self._held is None:
            return False
        self._held.append(begin)
        return True

    def end(self) -> None:
        """Let the held requests begin; later ones begin at once."""
        held, self._held = self._held, None
        for begin in held or ():
            begin()
