"""Requests that arrive while a VM reads its routes and instances."""

from collections.abc import Callable
from typing import Final

from ..clock import Millis
from ..network.loop import Loop

STARTUP_HOLD_MS: Final[Millis] = 300.0
"""Longest time for which requests are held. A store that responds at once is read
within 50 ms, a slow one within 240 ms; after that nothing indicates that a request can
be served."""


class StartupQueue:
    """Holds requests until the VM knows its routes and instances.

    Parameters
    ----------
    loop : Loop
    hold : float
        Longest time for which requests are held, in milliseconds.
    on_first_request : callable
        Called when the first request arrives, whether it is held or not.
    is_newest_first : bool
        Whether the newest request is started first: where not all of them can be served
        in time, the newest have the most time left.
    """

    def __init__(
        self,
        loop: Loop,
        hold: Millis = STARTUP_HOLD_MS,
        on_first_request: Callable[[], None] = lambda: None,
        is_newest_first: bool = False,
    ) -> None:
        self._is_newest_first = is_newest_first
        self._loop = loop
        self._on_first_request: Callable[[], None] | None = on_first_request
        self._pending: list[Callable[[], None]] | None = []
        loop.after(hold, self.release)

    def enqueue(self, start: Callable[[], None]) -> bool:
        """Delay ``start`` until the release; False if that has happened."""
        if self._on_first_request is not None:
            on_first_request, self._on_first_request = self._on_first_request, None
            on_first_request()
        if self._pending is None:
            return False
        self._pending.append(start)
        return True

    def release(self) -> None:
        """Start the held requests; later ones are not held."""
        pending, self._pending = self._pending or [], None
        if self._is_newest_first:
            pending.reverse()
        for start in pending:
            # A request that fails to start must not keep the others from it.
            self._loop.call_soon(start)
